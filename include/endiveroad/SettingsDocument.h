#pragma once

#include <cstddef>
#include <cstdint>
#include <endiveroad/SettingsTree.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The settings tree as it is stored and passed between processes: parts of bounded size, and one head that names the
/// parts of a revision. A part never changes; a change writes new parts and then a new head, so that it takes effect as
/// a whole.
namespace endiveroad {

/// A part of a tree: a tree of its own that holds some of the nodes, as JSON text.
struct SettingsPart {
    /// Unique for the text and the write that made it: "<hash of the text>-<write id>".
    std::string key;
    std::string text;

    auto operator<=>(const SettingsPart&) const = default;
};

/// Largest part, in bytes; the key-value service holds values up to one megabyte.
inline constexpr size_t maxPartBytes = 900'000;

/// Replicas of a pool that share a part.
inline constexpr size_t replicasPerPart = 256;

/// Splits a tree into parts by name: the organisation, each region, each pool, and the replicas of large pools. Throws
/// SettingsInvalidError if a part is larger than maxPartBytes.
std::map<std::string, std::string> splitSettings(const SettingsValue& tree);

/// Key of a part with this text that a write makes.
std::string partKey(const std::string& text, const std::string& writeId);

/// Whether a part under this key has this text.
bool hasText(const std::string& key, const std::string& text);

/// One revision with the texts of all its parts.
struct SettingsDocument {
    int64_t revision = 0;
    std::string writeId;
    std::map<std::string, SettingsPart> parts;

    auto operator<=>(const SettingsDocument&) const = default;

    /// Equal for documents of the same revision, write and parts.
    uint64_t digest() const;

    /// The whole tree. Throws SettingsInvalidError if the parts do not fit together.
    SettingsValue tree() const;
};

/// How to come from one document to a later one. A change whose base revision is 0 holds all parts.
struct SettingsDelta {
    int64_t baseRevision = 0;
    int64_t revision = 0;
    std::string writeId;
    uint64_t digest = 0;
    /// Parts that differ from the base.
    std::map<std::string, SettingsPart> parts;
    std::vector<std::string> removed;

    auto operator<=>(const SettingsDelta&) const = default;

    static SettingsDelta between(const SettingsDocument& base, const SettingsDocument&);

    /// The later document, or nothing if the base is another one or the digest does not fit.
    std::optional<SettingsDocument> applyTo(const SettingsDocument& base) const;
};

/// A revision of the past.
struct SettingsRevision {
    int64_t revision = 0;
    std::string writeId;
    std::string author;
    /// Wall time in ms since the epoch, by the operator's clock.
    int64_t appliedMs = 0;
    /// What to put back to come from this revision to the one before: keys of parts by name, or none for a part that
    /// this revision added.
    std::map<std::string, std::optional<std::string>> undo;

    auto operator<=>(const SettingsRevision&) const = default;
};

/// The value of the head key.
struct SettingsHead {
    /// Revisions that can be rolled back to.
    static constexpr size_t maxHistory = 50;

    /// Keys of the parts of the revision in force, by name.
    std::map<std::string, std::string> parts;
    /// Newest first; the first is the revision in force.
    std::vector<SettingsRevision> history;
    /// Keys that no revision in the history names any more; the next write removes them from the service.
    std::vector<std::string> retired;

    auto operator<=>(const SettingsHead&) const = default;

    int64_t revision() const { return history.empty() ? 0 : history.front().revision; }
    std::string writeId() const { return history.empty() ? std::string() : history.front().writeId; }

    /// The revision that a write made, if the history still has it.
    std::optional<int64_t> revisionOf(const std::string& writeId) const;

    /// Keys of the parts of a revision in the history; nothing for one that is not.
    std::optional<std::map<std::string, std::string>> partsAt(int64_t revision) const;

    /// The head after a write. The undo list of the revision is filled in; the number is the next.
    SettingsHead next(std::map<std::string, std::string> parts, SettingsRevision) const;

    std::string encode() const;

    /// Throws SettingsInvalidError.
    static SettingsHead decode(std::string_view);
};

} // namespace endiveroad
