#include <endiveroad/KeyHomes.h>

#include <algorithm>
#include <endiveroad/Rendezvous.h>

namespace endiveroad {

namespace {

constexpr int64_t propagationTimeMs
    = std::chrono::duration_cast<std::chrono::milliseconds>(KeyHomes::propagationTime).count();

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
    const int64_t endMs = wallMs + propagationTimeMs;
    if (isFirst && isSkipped) {
        firstSeenRevision_ = revision;
        firstUncertainUntilMs_ = endMs;
    } else if (isSkipped) {
        allUncertainUntilMs_ = std::max(allUncertainUntilMs_, endMs);
    }
    revision_ = revision;
    std::sort(names.begin(), names.end());
    if (names == names_)
        return;
    if (!isFirst)
        formerReplicaSets_.push_back({ std::move(names_), endMs });
    names_ = std::move(names);
    if (formerReplicaSets_.size() > maxFormerReplicaSets) {
        allUncertainUntilMs_ = std::max(allUncertainUntilMs_, formerReplicaSets_.front().endMs);
        formerReplicaSets_.pop_front();
    }
}

void KeyHomes::onInForceSince(int64_t revision, int64_t wallMs)
{
    if (revision == firstSeenRevision_)
        firstUncertainUntilMs_ = std::min(firstUncertainUntilMs_, wallMs + propagationTimeMs);
}

bool KeyHomes::isHomeAmong(const std::string& self, const std::string& key, const std::vector<std::string>& names)
{
    const auto owners = rendezvousOwners(key, names, 1);
    return !owners.empty() && owners.front() == self;
}

bool KeyHomes::isHome(const std::string& key) const
{
    return isHomeAmong(self_, key, names_);
}

int64_t KeyHomes::uncertainUntil(const std::string& key) const
{
    int64_t until = std::max(allUncertainUntilMs_, firstUncertainUntilMs_);
    for (const FormerReplicaSet& former : formerReplicaSets_) {
        if (former.endMs > until && !isHomeAmong(self_, key, former.names))
            until = former.endMs;
    }
    return until;
}

} // namespace endiveroad
