#pragma once

#include <cstdint>
#include <deque>
#include <endiveroad/Time.h>
#include <string>
#include <vector>

namespace endiveroad {

/// Home agent of an idempotency key: the first by rendezvous hashing over the replicas that the settings declare. Keeps
/// former declarations, since a key that moved here may have run at its former home.
class KeyHomes {
public:
    /// Time after which a revision is in force at every process that callers can reach.
    static constexpr Duration spreadMargin = std::chrono::seconds(10);

    static constexpr size_t maxFormer = 8;

    explicit KeyHomes(std::string self);

    /// Takes the replicas of a revision, in force here since wallMs. One that skips numbers may hide a declaration
    /// before it, so that every key counts as moved; so does the first that this process sees, unless it is revision 1.
    /// Older revisions are ignored.
    void onReplicas(std::vector<std::string> names, int64_t revision, int64_t wallMs);

    /// Another process states since when a revision has been in force there, which shortens the doubt at a start.
    void onInForceSince(int64_t revision, int64_t wallMs);

    bool isHome(const std::string& key) const;

    /// Wall time in ms: the key may have run at another home if it was made earlier. 0 if it was always at home here.
    int64_t doubtfulBefore(const std::string& key) const;

private:
    struct Former {
        std::vector<std::string> names;
        int64_t endMs = 0;
    };

    static bool isOwner(const std::string& self, const std::string& key, const std::vector<std::string>& names);

    std::string self_;
    std::vector<std::string> names_;
    int64_t revision_ = 0;
    std::deque<Former> former_;
    int64_t allBeforeMs_ = 0;
    int64_t firstRevision_ = 0;
    int64_t firstBeforeMs_ = 0;
};

} // namespace endiveroad
