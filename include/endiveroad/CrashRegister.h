#pragma once

#include <cstdint>
#include <endiveroad/ContentId.h>
#include <endiveroad/Time.h>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Memory of requests under which backend servers have ended, shared by all processes of a deployment. It bounds how
/// often such a request reaches servers, whatever sends it again: a caller, an entry, a coordinator or a restart.
namespace endiveroad {

/// What is known of one content. Processes exchange records and merge them; the order and number of merges make no
/// difference.
struct CrashRecord {
    ContentId content;
    /// Raised each time the content is answered after crashes, which makes them void. Of two records of a content, the
    /// one with the higher generation replaces the other.
    int64_t generation = 0;
    /// The servers that ended under the content, each start of a server under a name of its own.
    std::set<std::string> crashedServers;
    /// The content is not sent to servers before this time.
    Instant blockedUntil = Instant::min();

    auto operator<=>(const CrashRecord&) const = default;
};

/// Whether a content may be sent to a server now. Trial: its block has ended, and this request finds out whether it
/// still crashes servers.
enum class CrashAdmission { Admitted, Trial, Blocked };

/// Outcome of a merge. Changed: the own record changed. Voided: it did, and it has news for the sender of the record.
enum class CrashMerge { Unchanged, Changed, Voided };

class CrashRegister {
public:
    /// Number of crashes from which a content is blocked.
    static constexpr size_t blockThreshold = 3;

    /// Number of crashes from which a content is a suspect, which runs apart from other suspects.
    static constexpr size_t suspectThreshold = blockThreshold - 1;

    /// Length of the first block. Each further crash doubles it.
    static constexpr Duration firstBlock = std::chrono::seconds(10);
    static constexpr Duration longestBlock = std::chrono::minutes(5);

    /// After a block has ended, one request with the content is sent to a server. Time for its outcome to become known,
    /// in which no other is sent.
    static constexpr Duration trialTime = std::chrono::seconds(5);

    /// Time after the last crash for which a record is kept.
    static constexpr Duration recordLifetime = std::chrono::minutes(10);

    /// Time for the crashes of neighbours to become known here.
    static constexpr Duration settleTime = std::chrono::milliseconds(500);

    /// Time after an answer for which crashes under the content are taken for coincidence. It keeps contents that many
    /// callers send, and that run on several servers at once, from being blocked when those servers fail together.
    static constexpr Duration answerLifetime = std::chrono::minutes(1);

    /// A record whose block ends later than the known one by no more than this changes nothing; transmission shifts it.
    static constexpr Duration mergeTolerance = std::chrono::milliseconds(200);

    /// The records and answers that expire first are forgotten beyond these numbers.
    static constexpr size_t maxRecords = 1000;
    static constexpr size_t maxAnswers = 4096;

    /// Time until which the content is not sent to servers; in the past if it is not blocked. A crash counts for the
    /// block only if no other content was there at more crashes: a neighbour of a content that crashes servers is there
    /// at some of its crashes. What was blocked for settleTime stays blocked, whatever is learned of other contents.
    Instant blockedUntil(const ContentId&) const;

    bool isSuspect(const ContentId&) const;

    /// Asked before each attempt at a server. A trial changes the record: the content is blocked again for trialTime.
    CrashAdmission admit(const ContentId&, Instant now);

    /// This process sent the content to a server; onEnd() follows.
    void onStart(const ContentId&, const std::string& server);
    void onEnd(const ContentId&, const std::string& server);

    /// Servers that have a suspect of this process other than the content.
    std::set<std::string> serversWithOtherSuspects(const ContentId&) const;

    /// A server ended while it had the content. Returns whether the record changed. It does not if the content was
    /// answered lately.
    bool onCrash(const ContentId&, const std::string& serverStart, Instant now);

    /// A server answered the content, whatever the status. Returns whether the record changed.
    bool onAnswered(const ContentId&, Instant now);

    /// Merges a record of another process. Crashes that it reports are void if the content was answered here lately.
    CrashMerge merge(const CrashRecord&, Instant now);

    /// The record of a content; one without crashes if there is none.
    CrashRecord record(const ContentId&) const;
    std::vector<CrashRecord> records() const;

    /// Number of contents that are blocked.
    size_t blockedCount(Instant now) const;

private:
    struct Entry {
        CrashRecord record;
        Instant expiry = never;
        /// When a block that still holds becomes final.
        Instant settledAt = never;
        bool isBlockFinal = false;
    };

    struct Answer {
        ContentId content;
        Instant expiry;
    };

    /// Length of the block after this number of crashes; zero below blockThreshold.
    static Duration blockAfter(size_t crashes);

    bool hasBlock(const Entry&) const;
    /// Call after each change of a record.
    void settleBlocks(Instant now);
    /// Number of the record's crashes that no content with more crashes explains.
    size_t unexplainedCrashes(const CrashRecord&) const;
    bool hasOtherSuspect(const ContentId&, const std::string& server) const;
    bool wasAnsweredLately(const ContentId&, Instant now) const;
    /// Makes the crashes of a record void.
    static void clear(Entry&);
    void rememberAnswer(const ContentId&, Instant now);
    void removeExpired(Instant now);

    std::map<ContentId, Entry> entries_;
    /// Contents that this process has sent to a server and not heard of yet, by server.
    std::map<std::string, std::multiset<ContentId>> running_;
    /// In order of expiry.
    std::list<Answer> answers_;
    std::map<ContentId, std::list<Answer>::iterator> answerPositions_;
};

} // namespace endiveroad
