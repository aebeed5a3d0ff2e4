#include <endiveroad/GeneratedTextCache.h>

namespace endiveroad {

void GeneratedTextCache::keep(const BatchJob& job, Instant now)
{
    std::erase_if(texts_, [now](const auto& entry) { return entry.second.expiry <= now; });
    for (size_t i = 0; i < job.items().size() && texts_.size() < maxTexts; ++i) {
        const ItemState& item = job.items()[i];
        const bool isTerminated = item.result && item.result->state == ResultState::Terminated;
        if (!item.text.events.empty() && !isTerminated)
            texts_[job.spec().items[i].id] = { item.text, now + lifetime };
    }
}

std::optional<GeneratedText> GeneratedTextCache::find(const std::string& item, Instant now) const
{
    const auto found = texts_.find(item);
    if (found == texts_.end() || found->second.expiry <= now)
        return std::nullopt;
    return found->second.text;
}

} // namespace endiveroad
