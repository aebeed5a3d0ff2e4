#pragma once

#include <cstdint>
#include <deque>
#include <endiveroad/Time.h>
#include <string>
#include <vector>

namespace endiveroad {

/// Maps each idempotency key to its home, the one agent that may run calls with the key: the first by rendezvous
/// hashing over the replicas that the settings declare. Remembers former sets of replicas, because a key whose home is
/// now this agent may have run at its former home.
class KeyHomes {
public:
    /// Time within which a new settings revision takes effect at every process that callers can reach.
    static constexpr Duration propagationTime = std::chrono::seconds(10);

    /// Number of former sets that are remembered. When the oldest is dropped, uncertainUntil() of every key becomes at
    /// least the end of that set, since its replicas are no longer known.
    static constexpr size_t maxFormerReplicaSets = 8;

    explicit KeyHomes(std::string self);

    /// Sets the replicas that a revision declares, in force at this process since wallMs. If revisions were skipped,
    /// one of them may have declared other replicas, so every key may have had another home until propagationTime after
    /// wallMs. The same holds for the first revision that this process sees, unless it is revision 1. Older revisions
    /// are ignored.
    void onReplicas(std::vector<std::string> names, int64_t revision, int64_t wallMs);

    /// Another process reports that the revision has been in force there since wallMs. If it is the first revision that
    /// this process saw, keys may have had another home only until propagationTime after the earlier of this time and
    /// the time passed to onReplicas(). Reports about other revisions are ignored.
    void onInForceSince(int64_t revision, int64_t wallMs);

    /// True if this agent is the home of the key.
    bool isHome(const std::string& key) const;

    /// Latest creation time (wall time in ms) at which the key may have run at another agent; 0 if it cannot have.
    int64_t uncertainUntil(const std::string& key) const;

private:
    /// A set of replicas that an earlier revision declared. From endMs (wall time) on no process uses it any more.
    struct FormerReplicaSet {
        std::vector<std::string> names;
        int64_t endMs = 0;
    };

    static bool isHomeAmong(const std::string& self, const std::string& key, const std::vector<std::string>& names);

    std::string self_;
    std::vector<std::string> names_;
    int64_t revision_ = 0;
    std::deque<FormerReplicaSet> formerReplicaSets_;
    /// Lower bound of uncertainUntil() for all keys, due to skipped revisions and dropped former sets.
    int64_t allUncertainUntilMs_ = 0;
    /// First revision that this process saw; 0 if that was revision 1, which nothing precedes.
    int64_t firstSeenRevision_ = 0;
    /// Like allUncertainUntilMs_, due to the unknown revisions before firstSeenRevision_.
    int64_t firstUncertainUntilMs_ = 0;
};

} // namespace endiveroad
