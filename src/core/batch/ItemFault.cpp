#include <algorithm>
#include <cctype>
#include <endiveroad/HttpHead.h>
#include <endiveroad/ItemFault.h>

namespace endiveroad {

namespace {

constexpr const char* idReason = "it is empty, or has a control character or space at one of its ends";
constexpr const char* pathReason
    = "it does not begin with a slash, or has a fragment or a character other than visible ASCII";
constexpr const char* hostReason = "it is no host";
constexpr const char* transferEncodingReason = "the body of an item has no transfer encoding";
constexpr const char* contentLengthReason = "the header Content-Length is not the length of the body";

bool isId(const std::string& id)
{
    return !id.empty() && id.size() <= maxHeaderValueBytes && isFieldValue(id);
}

std::string lowerCase(std::string text)
{
    std::transform(
        text.begin(), text.end(), text.begin(), [](unsigned char character) { return std::tolower(character); });
    return text;
}

/// Why an item with this header cannot be sent; nothing if it can.
std::optional<std::string> itemHeaderFault(const std::string& name, const std::string& value, size_t bodyBytes)
{
    if (auto fault = headerFault(name, value))
        return fault;
    const std::string lowerName = lowerCase(name);
    if (lowerName == "transfer-encoding")
        return transferEncodingReason;
    if (lowerName == "content-length" && value != std::to_string(bodyBytes))
        return contentLengthReason;
    return std::nullopt;
}

std::optional<ItemFault> scoringFault(const ScoringCall& call)
{
    if (!isId(call.id))
        return ItemFault { ItemPart::ScoringId, idReason };
    if (!isHost(call.host))
        return ItemFault { ItemPart::ScoringHost, hostReason };
    if (!isOriginForm(call.path))
        return ItemFault { ItemPart::ScoringPath, pathReason };
    return std::nullopt;
}

} // namespace

std::optional<ItemFault> itemFault(const BatchItem& item)
{
    if (!isId(item.id))
        return ItemFault { ItemPart::Id, idReason };
    if (!isOriginForm(item.path))
        return ItemFault { ItemPart::Path, pathReason };
    for (const auto& [name, value] : item.headers) {
        if (auto reason = itemHeaderFault(name, value, item.body.size()))
            return ItemFault { ItemPart::Header, std::move(*reason) };
    }
    return item.scoring ? scoringFault(*item.scoring) : std::nullopt;
}

} // namespace endiveroad
