#pragma once

#include <endiveroad/BatchJob.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <string>

/// Cache of the texts of items that a job ended without listing, for a later job that has the same items.
namespace endiveroad {

class GeneratedTextCache {
public:
    /// How long a text is kept.
    static constexpr Duration lifetime = std::chrono::seconds(40);
    /// While this many texts are kept, no text is stored or refreshed.
    static constexpr size_t maxTexts = 2000;

    /// Stores the texts of an ended job's items that are not in its result list, except for terminated items.
    void keep(const BatchJob&, Instant now);

    /// Text of the item with this id, or nothing if there is none or it has expired.
    std::optional<GeneratedText> find(const std::string& item, Instant now) const;

    size_t size() const { return texts_.size(); }

private:
    struct Entry {
        GeneratedText text;
        Instant expiry;
    };

    /// By item id.
    std::map<std::string, Entry> texts_;
};

} // namespace endiveroad
