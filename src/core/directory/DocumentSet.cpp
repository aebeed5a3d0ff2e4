#include <endiveroad/DocumentSet.h>
#include <set>

namespace endiveroad {

bool DocumentSet::merge(const Document& document)
{
    const auto [stored, isNew] = documents_.try_emplace(document.key, document);
    if (isNew)
        return true;
    if (stored->second.revision >= document.revision)
        return false;
    stored->second = document;
    return true;
}

std::vector<Document> DocumentSet::missingIn(
    std::string_view prefix, const std::vector<Document>& listing, int64_t asOf) const
{
    std::set<std::string_view> listed;
    for (const Document& document : listing)
        listed.insert(document.key);
    std::vector<Document> missing;
    for (const Document* document : find(prefix)) {
        if (document->revision <= asOf && !listed.contains(document->key))
            missing.push_back({ document->key, asOf, {}, true });
    }
    return missing;
}

std::vector<const Document*> DocumentSet::find(std::string_view prefix) const
{
    std::vector<const Document*> found;
    for (auto next = documents_.lower_bound(std::string(prefix)); next != documents_.end(); ++next) {
        if (!next->first.starts_with(prefix))
            break;
        if (!next->second.isRemoved)
            found.push_back(&next->second);
    }
    return found;
}

} // namespace endiveroad
