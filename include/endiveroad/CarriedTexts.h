#pragma once

#include <endiveroad/BatchJob.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <string>

/// Text of items that a job left unlisted, for a later job that names the same items again.
namespace endiveroad {

class CarriedTexts {
public:
    /// Time for which a text is kept, and texts that are kept at most.
    static constexpr Duration lifetime = std::chrono::seconds(40);
    static constexpr size_t maxTexts = 2000;

    /// Keeps what an ended job has of items that are not listed. Items that were given up leave nothing.
    void keep(const BatchJob&, Instant now);

    /// Text of an item; nothing if there is none.
    std::optional<PartialText> find(const std::string& item, Instant now) const;

    size_t size() const { return texts_.size(); }

private:
    struct Entry {
        PartialText text;
        Instant expiry;
    };

    /// By item.
    std::map<std::string, Entry> texts_;
};

} // namespace endiveroad
