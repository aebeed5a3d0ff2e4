#include <endiveroad/KeyHomes.h>

#include <algorithm>
#include <endiveroad/Rendezvous.h>

namespace endiveroad {

namespace {

constexpr int64_t spreadMarginMs
    = std::chrono::duration_cast<std::chrono::milliseconds>(KeyHomes::spreadMargin).count();

} // namespace

KeyHomes::KeyHomes(std::string self)
    : self_(std::move(self))
{
}

void KeyHomes::onReplicas(std::vector<std::string> names, int64_t revision, int64_t wallMs)
{
    if (revision <= revision_)
        return;
    const bool isFirst = revision_ == 0;
    const bool isSkipped = revision != revision_ + 1;
    const int64_t endMs = wallMs + spreadMarginMs;
    if (isFirst && isSkipped) {
        firstRevision_ = revision;
        firstBeforeMs_ = endMs;
    } else if (isSkipped) {
        allBeforeMs_ = std::max(allBeforeMs_, endMs);
    }
    revision_ = revision;
    std::sort(names.begin(), names.end());
    if (names == names_)
        return;
    if (!isFirst)
        former_.push_back({ std::move(names_), endMs });
    names_ = std::move(names);
    if (former_.size() > maxFormer) {
        allBeforeMs_ = std::max(allBeforeMs_, former_.front().endMs);
        former_.pop_front();
    }
}

void KeyHomes::onInForceSince(int64_t revision, int64_t wallMs)
{
    if (revision == firstRevision_)
        firstBeforeMs_ = std::min(firstBeforeMs_, wallMs + spreadMarginMs);
}

bool KeyHomes::isOwner(const std::string& self, const std::string& key, const std::vector<std::string>& names)
{
    const auto owners = rendezvousOwners(key, names, 1);
    return !owners.empty() && owners.front() == self;
}

bool KeyHomes::isHome(const std::string& key) const
{
    return isOwner(self_, key, names_);
}

int64_t KeyHomes::doubtfulBefore(const std::string& key) const
{
    int64_t before = std::max(allBeforeMs_, firstBeforeMs_);
    for (const Former& former : former_) {
        if (former.endMs > before && !isOwner(self_, key, former.names))
            before = former.endMs;
    }
    return before;
}

} // namespace endiveroad
