#pragma once

#include <compare>
#include <endiveroad/BatchJob.h>
#include <string>
#include <vector>

/// Which texts of a batch job are worth a place in the store before they are results. Agents and owner hold them as
/// well; the store's copy counts only if both are lost at once. No I/O.
namespace endiveroad {

/// Text of an item that is not listed yet.
struct SavedText {
    std::string item;
    PartialText text;

    auto operator<=>(const SavedText&) const = default;
};

/// What the store holds of one job's texts.
class SavedTexts {
public:
    /// Length of a run from which its text is worth a save: shorter ones are soon made again.
    static constexpr Duration leastAge = std::chrono::milliseconds(2500);

    /// Bytes of texts that are saved of one job; the longest texts go first, since a step waits for them.
    static constexpr size_t maxBytes = 600U << 10;

    /// Texts that are to replace what the store holds of the job; empty if they have not grown since.
    std::vector<SavedText> due(const BatchJob&, Instant now) const;

    /// The texts lie in the store.
    void onSaved(const std::vector<SavedText>&);

private:
    /// Events that the store holds, by item.
    std::map<std::string, size_t> savedEvents_;
};

} // namespace endiveroad
