#pragma once

#include <compare>
#include <cstddef>
#include <endiveroad/BatchJob.h>
#include <optional>
#include <string>

/// Which items of batch jobs can be sent. An item becomes the head and the body of a request to a backend server, and
/// so does its scoring call.
namespace endiveroad {

enum class ItemPart { Id, Path, Header, ScoringId, ScoringHost, ScoringPath };

struct ItemFault {
    ItemPart part = ItemPart::Id;
    /// Quotes no text of the item.
    std::string reason;

    auto operator<=>(const ItemFault&) const = default;
};

/// Why an item cannot be sent; nothing if it can. Headers that concern one connection only are no fault, since they are
/// not sent, unless they state another framing than that of the item's body.
std::optional<ItemFault> itemFault(const BatchItem&);

} // namespace endiveroad
