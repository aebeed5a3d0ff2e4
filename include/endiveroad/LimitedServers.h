#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <endiveroad/Directory.h>
#include <endiveroad/LeavingServers.h>
#include <endiveroad/PermitQueue.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What processes know of the request limits that backend servers name in their answers.
namespace endiveroad {

/// Number of a limit. Those of one issuer grow.
struct LimitNumber {
    /// Differs between processes and between their starts; 0 if no issuer has numbered the limit yet.
    int64_t issuer = 0;
    int64_t sequence = 0;

    auto operator<=>(const LimitNumber&) const = default;
};

/// A limit as the process that issues the permits for a server has it.
struct LimitRecord {
    ServerIncarnation server;
    /// Requests a second from all processes together; nothing if the server names no limit any more.
    std::optional<double> limit;
    /// An answer without a limit ends the limit under whose number its request was permitted, and no newer one.
    LimitNumber number;

    auto operator<=>(const LimitRecord&) const = default;
};

/// When a process may send to a limited server.
struct PermitOutlook {
    /// Earliest time of the next request.
    Instant nextAt = Instant::min();
    /// Expected time between two requests of this process.
    Duration interval {};

    auto operator<=>(const PermitOutlook&) const = default;
};

/// The limited servers that one process knows, and the permits that it holds for them.
class LimitedServers {
public:
    /// Time after which a permit that was not used is void, so that permits held by many processes cannot add up.
    static constexpr Duration permitLifetime = std::chrono::seconds(1);

    /// Uses in this time tell how many permits a process needs at once.
    static constexpr Duration usePeriod = std::chrono::milliseconds(200);

    /// Time for which a limited server is remembered after the last answer or grant for it.
    static constexpr Duration recordLifetime = std::chrono::minutes(10);

    /// Beyond this number, the records that expire first are forgotten.
    static constexpr size_t maxRecords = 4096;

    /// An answer of the server has named a limit, or none. `permitNumber` is that of the permit under which its request
    /// was sent; nothing if no limit was known then. Returns what the issuer has to be told; nothing if it is no news.
    std::optional<LimitRecord> onAnswer(
        const ServerIncarnation&, std::optional<double> limit, std::optional<LimitNumber> permitNumber, Instant now);

    /// The issuer's view has arrived. Returns whether it changes whether the server is limited.
    bool onRecord(const LimitRecord&, Instant now);

    bool isLimited(const ServerIncarnation& server) const { return find(server) != nullptr; }

    /// The record of a limited server.
    std::optional<LimitRecord> record(const ServerIncarnation&) const;

    /// Permits were issued to this process.
    void onGrant(const ServerIncarnation&, int32_t count, Duration interval, Instant now);

    /// None will be issued before the time.
    void onDenied(const ServerIncarnation&, Instant retryAt, Duration interval);

    /// True if the server has no limit, or this process holds a permit.
    bool mayTake(const ServerIncarnation&, Instant now) const;

    /// Uses a permit and returns its number; nothing if there is none or the server has no limit.
    std::optional<LimitNumber> take(const ServerIncarnation&, Instant now);

    /// Number of permits that this process holds.
    size_t permits(const ServerIncarnation&, Instant now) const;

    /// Number of permits that it used in the last usePeriod.
    size_t recentUses(const ServerIncarnation&, Instant now) const;

    PermitOutlook outlook(const ServerIncarnation&, Instant now) const;

    /// Forgets expired records, and those of servers that the directory knows by a later start.
    void retain(const Directory&, Instant now);

    /// Ordered by id.
    std::vector<LimitRecord> all() const;

private:
    struct Record {
        int64_t startedMs = 0;
        double limit = 0;
        LimitNumber number;
        Instant expiry = never;
        Instant nextAt = Instant::min();
        Duration interval {};
        /// Expiries of the permits that are held.
        std::deque<Instant> permits;
        /// Times of the last uses.
        std::deque<Instant> uses;
    };

    const Record* find(const ServerIncarnation&) const;
    Record* find(const ServerIncarnation&);
    /// Creates a record, in place of one of an earlier start.
    Record& insert(const ServerIncarnation&, double limit, Instant now);

    /// By server id.
    std::map<std::string, Record> records_;
};

/// The issuer's side: one queue for each limited server whose permits this process issues.
class PermitIssuer {
public:
    /// Time after the end of a limit in which a process that asks under the number of another issuer has not heard of
    /// the end yet.
    static constexpr Duration endSpreadTime = std::chrono::seconds(5);

    /// `issuer` is for LimitNumber.
    explicit PermitIssuer(int64_t issuer)
        : lastNumber_ { issuer, 0 }
    {
    }

    /// A process was told of a limit, or of its end, by an answer of the server. A higher limit and the end count only
    /// if the answer's request was permitted under the limit in force, since older answers may come late. Returns the
    /// record to be published if the server is limited now and was not before, or the other way round.
    std::optional<LimitRecord> onHeard(const LimitRecord&, Instant now);

    /// A process asks for permits. A limit that this issuer does not know, since another one issued the permits before,
    /// is taken from what the process knows. Returns the record to be published, if any.
    std::optional<LimitRecord> onAsked(const LimitRecord& known, Instant now);

    /// The queue of the server; null if it has no limit.
    PermitQueue* queue(const ServerIncarnation&);

    /// The record in force; without a limit if the server has none.
    LimitRecord record(const ServerIncarnation&) const;

    /// Forgets servers that the directory knows by a later start.
    void retain(const Directory&);

private:
    struct Issue {
        int64_t startedMs = 0;
        /// Of the limit in force, or of the one that ended last.
        LimitNumber number;
        Instant endedAt = Instant::min();
        std::optional<PermitQueue> queue;
    };

    Issue& issueOf(const ServerIncarnation&);

    LimitNumber lastNumber_;
    /// By server id.
    std::map<std::string, Issue> issues_;
};

} // namespace endiveroad
