#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Copy of a part of a store with a single revision counter, put together from whatever source reports a key first.
namespace endiveroad {

/// State of one key. A removed key keeps the revision of its removal, so that an older value cannot bring it back.
struct Document {
    std::string key;
    int64_t revision = 0;
    std::string value;
    bool isRemoved = false;

    auto operator<=>(const Document&) const = default;
};

/// For each key the state with the highest revision ever seen: merging is commutative and idempotent, and no key goes
/// back to an older state.
class DocumentSet {
public:
    /// Takes a state if it is newer than the one known. Returns whether it was taken.
    bool merge(const Document&);

    /// Keys of the prefix that are known, but missing in a listing that was begun at revision asOf, as removed
    /// documents; they are not merged.
    std::vector<Document> missingIn(std::string_view prefix, const std::vector<Document>& listing, int64_t asOf) const;

    /// All documents, removed ones included, by key.
    const std::map<std::string, Document>& all() const { return documents_; }

    /// Documents of a prefix that are not removed.
    std::vector<const Document*> find(std::string_view prefix) const;

private:
    std::map<std::string, Document> documents_;
};

} // namespace endiveroad
