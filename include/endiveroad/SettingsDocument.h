#pragma once

#include <cstddef>
#include <cstdint>
#include <endiveroad/SettingsTree.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The settings tree as it is kept in the key-value service and sent between processes. The tree is split into parts of
/// bounded size; one head lists the keys of the parts of each revision. A part is immutable: a change to the settings
/// writes new parts first and then replaces the head, so that a reader sees all of the change or none of it.
namespace endiveroad {

/// A subset of the nodes of a tree. The text is a JSON tree from the root down that holds only these nodes.
struct SettingsPart {
    /// "<hash of the text>-<write id>", so that two writes never share a key, even for the same text.
    std::string key;
    std::string text;

    auto operator<=>(const SettingsPart&) const = default;
};

/// Largest text of a part, in bytes. The key-value service stores values of up to one megabyte.
inline constexpr size_t maxPartBytes = 900'000;

/// A pool with more replicas than this stores them in separate parts, with about this many or fewer in each.
inline constexpr size_t replicasPerPart = 256;

/// Splits a tree into texts of parts by part name. The organisation, each region and each pool get a part; the replicas
/// of a large pool get several. Throws SettingsInvalidError if a part is larger than maxPartBytes.
std::map<std::string, std::string> splitSettings(const SettingsValue& tree);

/// Key under which the write of this id stores a part with this text.
std::string partKey(const std::string& text, const std::string& writeId);

/// Whether the hash in a part's key is that of the text.
bool isKeyForText(const std::string& key, const std::string& text);

/// One revision with the texts of all its parts.
struct SettingsDocument {
    int64_t revision = 0;
    std::string writeId;
    std::map<std::string, SettingsPart> parts;

    auto operator<=>(const SettingsDocument&) const = default;

    /// Hash of the revision, the write id, and the names and keys of the parts.
    uint64_t digest() const;

    /// Merges the parts into the whole tree. Throws SettingsInvalidError if a part is not JSON or two parts set the
    /// same value.
    SettingsValue tree() const;
};

/// What changed from one document, the base, to a later one. If baseRevision is 0, the delta holds all parts.
struct SettingsDelta {
    int64_t baseRevision = 0;
    int64_t revision = 0;
    std::string writeId;
    /// Digest of the later document; applyTo() checks its result against it.
    uint64_t digest = 0;
    /// New and changed parts by name.
    std::map<std::string, SettingsPart> parts;
    /// Names of the parts that only the base has.
    std::vector<std::string> removed;

    auto operator<=>(const SettingsDelta&) const = default;

    static SettingsDelta between(const SettingsDocument& base, const SettingsDocument&);

    /// The later document. Returns nothing if the base has another revision than baseRevision, a part's text does not
    /// match its key, or the digest of the result differs.
    std::optional<SettingsDocument> applyTo(const SettingsDocument& base) const;
};

/// A record of the history: one revision, and how to undo it.
struct SettingsRevision {
    int64_t revision = 0;
    std::string writeId;
    std::string author;
    /// When the operator's command wrote the revision: ms since the Unix epoch, by that machine's clock.
    int64_t appliedMs = 0;
    /// How to restore the parts of the previous revision, by part name: the previous key of each part that this
    /// revision changed or removed, and nothing for each part that it added, which is removed.
    std::map<std::string, std::optional<std::string>> undo;

    auto operator<=>(const SettingsRevision&) const = default;
};

/// The value under the head key of the key-value service: the parts in force and the history of revisions.
struct SettingsHead {
    /// Number of revisions that are kept, the one in force included; older ones cannot be rolled back to.
    static constexpr size_t maxHistory = 50;

    /// Keys of the parts of the revision in force, by part name.
    std::map<std::string, std::string> parts;
    /// Newest first; the first is the revision in force.
    std::vector<SettingsRevision> history;
    /// Keys of parts that no revision of the history uses any more. The next write deletes them from the key-value
    /// service.
    std::vector<std::string> retired;

    auto operator<=>(const SettingsHead&) const = default;

    int64_t revision() const { return history.empty() ? 0 : history.front().revision; }
    std::string writeId() const { return history.empty() ? std::string() : history.front().writeId; }

    /// The revision that the write of this id made; nothing if the history does not have it.
    std::optional<int64_t> revisionOf(const std::string& writeId) const;

    /// Keys of the parts of a revision by part name; nothing if the history does not have the revision.
    std::optional<std::map<std::string, std::string>> partsAt(int64_t revision) const;

    /// The head after a write of these parts. Fills in the number and the undo list of the new revision.
    SettingsHead next(std::map<std::string, std::string> parts, SettingsRevision) const;

    std::string encode() const;

    /// Throws SettingsInvalidError if the text is not an encoded head.
    static SettingsHead decode(std::string_view);
};

} // namespace endiveroad
