#pragma once

#include "io/HttpClient.h"
#include "io/Signal.h"
#include "io/hosted/MetadataStore.h"
#include "io/hosted/Protocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <endiveroad/DutyLease.h>
#include <endiveroad/HostedSettings.h>
#include <endiveroad/UsageCounter.h>
#include <endiveroad/UsageReport.h>
#include <endiveroad_types.h>
#include <set>
#include <string>

/// The duties towards the platform at a coordinator: acquires and keeps the lease on them, collects the usage that
/// entries have counted, fixes the report of each window in the store and sends it.
namespace endiveroad::io {

namespace asio = boost::asio;

/// Sends requests to the platform's API. Throws as HttpClient::request() does.
class DutyTransport {
public:
    virtual ~DutyTransport() = default;
    virtual asio::awaitable<HttpResponse> send(HttpRequest, Instant deadline) = 0;
};

class HttpDutyTransport : public DutyTransport {
public:
    /// A connection is not reused for a request within this time after its last use: a late second copy of an answer
    /// would look like the answer to the next request.
    static constexpr Duration connectionRestTime = std::chrono::seconds(1);

    HttpDutyTransport(HttpClient& http, Address address)
        : http_(http)
        , address_(std::move(address))
    {
    }

    asio::awaitable<HttpResponse> send(HttpRequest, Instant deadline) override;

private:
    HttpClient& http_;
    Address address_;
};

/// What a DutyHolder needs of its coordinator and of other processes.
class DutyPeers {
public:
    virtual ~DutyPeers() = default;

    /// True in the one coordinator that acquires the duties first if nobody holds them.
    virtual bool isDutyCandidate() const = 0;
    /// False if this coordinator leaves.
    virtual bool mayHoldDuties() const = 0;
    /// Tells all coordinators and entries.
    virtual void announceHolder(const wire::DutyHolderNotice&) = 0;
    virtual void sendUsage(const std::string& coordinator, const wire::UsageNotice&) = 0;
};

class DutyHolder {
public:
    static constexpr const char* holderKey = "endiveroad/duties/holder";
    static constexpr const char* usageKey = "endiveroad/duties/usage";

    static constexpr Duration noticeInterval = std::chrono::seconds(1);

    /// Time after the end of a window at which its report is fixed. Entries send counts twice a second and know of a
    /// call when it is answered; the rest of DutySettings::usageReportTime is left for retries and a change of holder.
    static constexpr Duration collectionTime = std::chrono::seconds(3);

    /// Most reports in the stored document. More windows are fixed once some of them are reported.
    static constexpr size_t maxPending = 32;

    /// Windows that ended earlier than this before the start of the first holder are not reported.
    static constexpr Duration firstWindowSlack = std::chrono::seconds(60);

    DutyHolder(asio::io_context&, std::string name, int64_t incarnation, DutySettings, MetadataStore&,
        const DutyProtocol&, DutyTransport&, DutyPeers&);

    /// Acquires and renews the lease; returns after end().
    asio::awaitable<void> runLease();
    /// Fixes and sends reports; returns after end().
    asio::awaitable<void> runReports();
    /// Tells other processes who holds the duties; returns after end().
    asio::awaitable<void> runNotices();

    /// Ends the lease, if it is held, once the calls under way have ended, and does not acquire it again.
    asio::awaitable<void> end();

    void onHolder(const wire::DutyHolderNotice&);
    void onUsage(const wire::UsageNotice&);

    /// True while this process is certain to hold the duties.
    bool isHolder() const { return lease_.remaining(time()) > Duration::zero(); }

    size_t pendingReports() const { return pending_.reports().size() - reported_.size(); }

private:
    static DutyTime time();

    /// One step of runLease().
    asio::awaitable<void> keepLease();
    asio::awaitable<void> acquire();
    asio::awaitable<void> renew();
    /// Ends the lease once the calls under way have ended.
    asio::awaitable<void> endLease();
    void lose(const std::string& reason);

    /// True if a call may be sent that ends by the deadline.
    bool mayCall(int64_t token, Instant deadline) const;
    /// One step of runReports().
    asio::awaitable<void> report();
    asio::awaitable<void> loadPending(int64_t token);
    /// Fixes the reports of the windows that have ended some time ago.
    asio::awaitable<void> fixReports(int64_t token);
    /// Adds reports that are due to be fixed. Returns how many.
    size_t addDueReports(PendingReports&) const;
    /// The first window that is reported at all.
    int64_t firstWindow() const;
    asio::awaitable<void> sendReports(int64_t token);
    /// Returns false if no further report should be sent now.
    asio::awaitable<bool> sendReport(const UsageReport&, int64_t token);
    bool finishReport(const UsageReport&, int64_t token, DutyOutcome, int status);

    std::string name_;
    int64_t incarnation_;
    DutySettings settings_;
    MetadataStore& store_;
    const DutyProtocol& protocol_;
    DutyTransport& transport_;
    DutyPeers& peers_;
    /// Who holds the duties, or what they have fixed, has changed.
    Signal changed_;
    DutyLease lease_;
    /// Lease in the store; 0 if there is none.
    int64_t storeLease_ = 0;
    UsageLedger ledger_;
    /// The stored document, and its revision in the store, as the holder of `pendingToken_` knows it; 0 if it is not
    /// known.
    PendingReports pending_;
    int64_t pendingRevision_ = 0;
    int64_t pendingToken_ = 0;
    /// Windows of pending_ whose reports the platform has carried out.
    std::set<int64_t> reported_;
    /// Earliest time of the next call to the platform.
    Instant nextCallAt_ = Instant::min();
    int callsUnderWay_ = 0;
    bool isEnding_ = false;
    bool hasEnded_ = false;
    /// Token of the holder that was last sent what this process knows of the entries' counts.
    int64_t informedToken_ = 0;
};

} // namespace endiveroad::io
