#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Local copy of part of a key-value store with a single revision counter. Its documents may come from
/// the store or from other processes, in any order.
namespace endiveroad {

/// State of one key. A removed key stays as a tombstone with the revision of its removal, so that an older value that
/// arrives later cannot restore it.
struct Document {
    std::string key;
    int64_t revision = 0;
    std::string value;
    bool isRemoved = false;

    auto operator<=>(const Document&) const = default;
};

/// Holds, for each key, the state with the highest revision seen so far. Merging is commutative and idempotent, and no
/// key returns to an older state.
class DocumentSet {
public:
    /// Stores the document if it is newer than the one stored for its key. Returns whether it was stored.
    bool merge(const Document&);

    /// Tombstones for the keys of the prefix that a listing of the store at revision asOf lacks. Documents newer than
    /// asOf are left out. The tombstones are returned without being merged.
    std::vector<Document> missingIn(std::string_view prefix, const std::vector<Document>& listing, int64_t asOf) const;

    /// All documents by key, including tombstones.
    const std::map<std::string, Document>& all() const { return documents_; }

    /// Documents of the prefix, without tombstones.
    std::vector<const Document*> find(std::string_view prefix) const;

private:
    std::map<std::string, Document> documents_;
};

} // namespace endiveroad
