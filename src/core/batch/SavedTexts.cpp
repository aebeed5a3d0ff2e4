#include <algorithm>
#include <endiveroad/SavedTexts.h>

namespace endiveroad {

namespace {

/// Bytes that an event takes beside its data.
constexpr size_t eventOverhead = 24;

bool isWorthSaving(const ItemState& item, Instant now)
{
    const bool isListed = item.stage == ItemStage::Listed;
    const bool isGivenUp = item.result && item.result->state == ResultState::Terminated;
    if (isListed || isGivenUp || item.text.events.empty())
        return false;
    const bool wasResumed = item.text.events.size() > item.eventsOfRun;
    const Instant until = item.text.isComplete ? item.lastEventAt : now;
    return wasResumed || item.startedAt + SavedTexts::leastAge <= until;
}

size_t bytesOf(const PartialText& text)
{
    size_t bytes = text.score.size();
    for (const GeneratedEvent& event : text.events)
        bytes += event.data.size() + eventOverhead;
    return bytes;
}

} // namespace

std::vector<SavedText> SavedTexts::due(const BatchJob& job, Instant now) const
{
    std::vector<size_t> worthy;
    for (size_t i = 0; i < job.items().size(); ++i) {
        if (isWorthSaving(job.items()[i], now))
            worthy.push_back(i);
    }
    std::stable_sort(worthy.begin(), worthy.end(),
        [&](size_t a, size_t b) { return job.items()[a].text.events.size() > job.items()[b].text.events.size(); });
    std::vector<SavedText> texts;
    size_t bytes = 0;
    for (size_t index : worthy) {
        const PartialText& text = job.items()[index].text;
        bytes += bytesOf(text);
        if (bytes > maxBytes)
            break;
        texts.push_back({ job.spec().items[index].id, text });
    }
    const bool hasGrown = std::any_of(texts.begin(), texts.end(), [this](const SavedText& saved) {
        const auto known = savedEvents_.find(saved.item);
        return known == savedEvents_.end() || known->second < saved.text.events.size();
    });
    return hasGrown ? texts : std::vector<SavedText>();
}

void SavedTexts::onSaved(const std::vector<SavedText>& texts)
{
    savedEvents_.clear();
    for (const SavedText& saved : texts)
        savedEvents_[saved.item] = saved.text.events.size();
}

} // namespace endiveroad
