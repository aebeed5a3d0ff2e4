#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <endiveroad/ContentId.h>
#include <endiveroad/CrashTrial.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Memory of requests under which backend servers have ended, shared by all processes of a deployment. It bounds how
/// often such a request reaches servers, whatever sends it again: a caller, an entry, a coordinator or a restart.
namespace endiveroad {

/// Who sends a content again after it was rejected. Call: the caller, who is told when. Owed: nobody; a job that was
/// accepted waits for it, so it is sent again as soon as possible.
enum class ContentKind { Call, Owed };

/// What is known of one content. Processes exchange records and merge them; the order and number of merges make no
/// difference.
struct CrashRecord {
    ContentId content;
    /// Raised each time the content is answered after crashes, which makes them void. Of two records of a content, the
    /// one with the higher generation replaces the other.
    int64_t generation = 0;
    /// The servers that ended under the content, each start of a server under a name of its own.
    std::set<std::string> crashedServers;
    /// Ends under trials.
    std::set<FailedTrial> failedTrials;
    /// When a process first knew that the content had reached CrashRegister::blockThreshold.
    Instant thresholdAt = never;
    CrashTrial trial;
    /// The content is not sent to servers before this time if one of the failed trials counts.
    Instant blockedUntil = Instant::min();
    ContentKind kind = ContentKind::Call;

    auto operator<=>(const CrashRecord&) const = default;

    /// True if the records differ in the last trial at most.
    bool isSameButTrial(CrashRecord other) const
    {
        other.trial = trial;
        return *this == other;
    }
};

/// Whether a content may be sent to a server now. Trial: this request finds out whether the content crashes servers,
/// and no other is sent meanwhile. Announced: this process will send the trial to the server, when it is due. Pending:
/// a trial is under way or announced, and none has ended a server yet. Blocked: a trial has ended a server.
enum class CrashAdmission { Admitted, Trial, Announced, Pending, Blocked };

/// An attempt under which a server ended.
struct CrashReport {
    ContentId content;
    /// Name of the start of the server.
    std::string serverStart;
    Instant sentAt;
    ContentKind kind = ContentKind::Call;

    auto operator<=>(const CrashReport&) const = default;
};

class CrashRegister {
public:
    /// Number of crashes from which a content is sent as a trial only. Servers that end together for another reason
    /// reach it as well, so the first trial follows at once; it tells the one from the other.
    static constexpr size_t blockThreshold = 3;

    /// Number of crashes from which a content is a suspect, which runs apart from other suspects.
    static constexpr size_t suspectThreshold = blockThreshold - 1;

    /// Length of the block after each failed trial; the last one holds for all further ones. Three trials later than
    /// the third crash is known are the users' limit.
    static constexpr std::array<Duration, 3> callBlocks { std::chrono::seconds(10), std::chrono::seconds(40),
        std::chrono::minutes(5) };

    /// The same for owed contents, which the users want to be placed again within 5 s unless they go on crashing
    /// servers. The first row holds for trials that are not late, the second for late ones.
    static constexpr std::array<Duration, 2> owedBlocks { std::chrono::milliseconds(500), std::chrono::seconds(1) };
    static constexpr std::array<Duration, 3> lateOwedBlocks { std::chrono::seconds(4), std::chrono::seconds(40),
        std::chrono::minutes(5) };
    static constexpr Duration longestBlock = std::chrono::minutes(5);

    /// Time between the announcement of a trial and its sending. Other processes learn of it, and requests that the
    /// server has may end.
    static constexpr Duration announceTime = std::chrono::milliseconds(30);

    /// Time after that in which the process has to send it; then another one may announce the next.
    static constexpr Duration announceGrace = std::chrono::milliseconds(50);

    /// Time for the outcome of a trial to become known, in which no other is sent.
    static constexpr Duration trialTime = std::chrono::seconds(5);

    /// A trial that no server ran, or under whose end another content may be the cause, is followed by another at once
    /// if it was sent within this time after the content reached blockThreshold. The users' limit counts later ones.
    static constexpr Duration freeTrialTime = std::chrono::seconds(2);

    /// Number of failed trials that another content excuses.
    static constexpr size_t maxExcusedTrials = 1;

    /// Time after the last crash for which a record is kept.
    static constexpr Duration recordLifetime = std::chrono::minutes(10);

    /// Time for the crashes of neighbours to become known here.
    static constexpr Duration settleTime = std::chrono::milliseconds(500);

    /// A record whose block ends later than the known one by no more than this changes nothing; transmission shifts it.
    static constexpr Duration mergeTolerance = std::chrono::milliseconds(200);

    /// The records that expire first are forgotten beyond this number.
    static constexpr size_t maxRecords = 1000;

    /// Time until which the content is not sent to servers; in the past if it may be sent now. A crash counts
    /// only if no other content was there at more crashes: a neighbour of a content that crashes servers is there
    /// at some of its crashes. What was held back for settleTime is so for good, whatever is learned of other contents.
    Instant blockedUntil(const ContentId&) const;

    /// True if the content is held back until a trial shows whether it crashes servers, and none has ended one yet.
    bool isPending(const ContentId&) const;

    bool isSuspect(const ContentId&) const;

    /// Asked before each attempt at a server. Trial and Announced change the record: others keep away from the server,
    /// and the content is held back until the trial ends. ticket: a number that is drawn at random for each call.
    CrashAdmission admit(const ContentId&, const std::string& server, uint64_t ticket, Instant now);

    /// The trial that this process has announced and not sent yet; nothing if there is none or it has expired.
    std::optional<CrashTrial> ownAnnouncement(const ContentId&, Instant now) const;

    /// No server ran an attempt that was sent at this time. wasReceived: one answered so. Returns whether the record
    /// changed.
    bool onNotRun(const ContentId&, Instant sentAt, bool wasReceived, Instant now);

    /// This process sent the content to a server; onEnd() follows.
    void onStart(const ContentId&, const std::string& server);
    void onEnd(const ContentId&, const std::string& server);

    /// Servers that have a suspect of this process other than the content.
    std::set<std::string> serversWithOtherSuspects(const ContentId&) const;

    /// Servers that have a trial of another content, of any process, or have one announced.
    std::set<std::string> serversWithOtherTrials(const ContentId&, Instant now) const;

    /// True if the server has a trial of another content that precedes the last trial of this one.
    bool isServerTaken(const ContentId&, const std::string& server, Instant now) const;

    /// A server ended while it had a content. Returns whether the record changed.
    bool onCrash(const CrashReport&, Instant now);

    /// A server answered the content, whatever the status. Returns whether the record changed.
    bool onAnswered(const ContentId&);

    /// Merges a record of another process. Returns whether the own one changed.
    bool merge(const CrashRecord&, Instant now);

    /// The record of a content; one without crashes if there is none.
    CrashRecord record(const ContentId&) const;
    std::vector<CrashRecord> records() const;

    /// Number of contents that are held back.
    size_t blockedCount(Instant now) const;

private:
    struct Entry {
        CrashRecord record;
        Instant expiry = never;
        /// Since when only trials are sent. An attempt that this process sent later was one.
        Instant trialsSince = never;
        /// Whether that stays so, whatever is learned of other contents.
        bool isBlockFinal = false;
        /// Ticket of the last trial that this process has announced; 0 if it has announced none.
        uint64_t ownTicket = 0;
    };

    /// Length of the block after the last trial has failed.
    Duration blockOf(const CrashRecord&, bool isLate) const;

    bool hasBlock(const Entry&) const;
    /// True if a trial has shown that the content crashes servers.
    bool isProven(const Entry&) const;
    /// Number of the failed trials that count: those that no other content excuses.
    size_t countedFailures(const CrashRecord&) const;
    /// True if another content was at the server as well, and has not been answered since.
    bool hadOtherCause(const ContentId&, const FailedTrial&) const;
    bool wasTrial(const Entry&, Instant sentAt) const;
    /// True if a crash of an attempt that was sent at this time is the outcome of the trial that is under way.
    static bool endsTrial(const Entry&, Instant sentAt);
    static bool isAnnouncedHere(const Entry&);
    /// Call after each change of a record.
    void settleBlocks(Instant now);
    /// Number of the record's crashes that no content with more crashes explains.
    size_t unexplainedCrashes(const CrashRecord&) const;
    bool hasOtherSuspect(const ContentId&, const std::string& server) const;
    /// Makes the crashes of a record void.
    static void clear(Entry&);
    void removeExpired(Instant now);

    std::map<ContentId, Entry> entries_;
    /// Contents that this process has sent to a server and not heard of yet, by server.
    std::map<std::string, std::multiset<ContentId>> running_;
};

} // namespace endiveroad
