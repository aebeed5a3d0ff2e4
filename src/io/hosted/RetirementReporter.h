#pragma once

#include "io/hosted/MetadataStore.h"
#include "io/hosted/Protocol.h"

#include <boost/asio/awaitable.hpp>
#include <endiveroad/Directory.h>
#include <endiveroad/VmRetirement.h>
#include <endiveroad_types.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Reports VMs that the operator retires as completed. The platform removes a reported VM at once. So the report, the
/// end of the VM's registration and the check that its successor is still registered are one transaction: whatever the
/// coordinators believe of each other, at least one that was not reported is registered after it.
namespace endiveroad::io {

namespace asio = boost::asio;

/// What a RetirementReporter needs of its coordinator and of the others.
class RetirementPeers {
public:
    virtual ~RetirementPeers() = default;

    /// Names of the connected coordinators that have not announced that they leave.
    virtual std::vector<std::string> stayingCoordinators() const = 0;
    /// Throws an Error.
    virtual asio::awaitable<wire::SuccessionAnswer> askSuccession(std::string coordinator, Instant deadline) = 0;
    /// What this coordinator answers to the same question.
    virtual wire::SuccessionAnswer ownSuccession() const = 0;
    /// True if the process of this name is connected; a coordinator has the name of its VM.
    virtual bool isConnected(const std::string& vm) const = 0;
    /// True in the one coordinator that acts for all.
    virtual bool actsForAll() const = 0;
    virtual size_t openJobs() const = 0;
    /// This coordinator is leaving, or stays after all.
    virtual void onLeaving() = 0;
    virtual void onReturn() = 0;
};

class RetirementReporter {
public:
    /// Time without a connection to a coordinator on a retiring VM after which another one reports the VM.
    static constexpr Duration absenceTime = std::chrono::milliseconds(2500);

    /// Time for a coordinator to tell whether it could take the work over, and lifetime of its answer.
    static constexpr Duration queryTimeout = std::chrono::milliseconds(400);
    static constexpr Duration readinessLifetime = std::chrono::milliseconds(1000);

    /// Time for the entries and agents that are connected here to connect to a successor as well. After it, those that
    /// a serving coordinator needs suffice.
    static constexpr Duration connectTime = std::chrono::milliseconds(3000);

    static constexpr Duration storeTimeout = std::chrono::milliseconds(1600);

    using DirectorySource = std::function<std::shared_ptr<const Directory>()>;

    RetirementReporter(std::string name, const DirectoryProtocol&, MetadataStore&, RetirementPeers&, DirectorySource);

    /// Follows the operator's requests; never returns.
    asio::awaitable<void> run();

    /// True if the operator retires this VM and it has not been reported under an earlier process.
    bool isRequested() const { return own_.isRequested(); }

    /// True from the announcement that this coordinator is leaving on, unless it stays after all.
    bool isLeaving() const { return own_.isLeaving(); }

    bool isHeld() const { return own_.isHeld(); }

    /// True if it is known whether this VM has been reported already.
    bool isSettled() const;

    /// False if the registration of this coordinator must not be written, as its VM is reported or may be.
    bool mayRegister() const { return !own_.isReported() && isSettled(); }

    /// Conditions under which the registration may be written: the VM has not been reported in the meantime.
    std::vector<StoreCondition> registrationConditions() const;

    /// The registration was written, with this revision of the store.
    void onRegistered(int64_t revision);

    /// The conditions did not hold.
    void requireCheck() { checkedRequest_.reset(); }

private:
    /// The operator's request to retire a VM, and the report on it.
    struct Report {
        RetirementState state = RetirementState::Running;
        /// 0 if there is no report.
        int64_t revision = 0;
        bool completes(int64_t request) const { return state == RetirementState::Completed && revision > request; }
    };

    /// What a coordinator has answered.
    struct Candidate {
        /// Since when all its answers have told that it serves; `never` if the last one did not.
        Instant servingSince = never;
        Instant readyUntil = Instant::min();
        bool isRetiring = false;
        /// It did not answer the last query.
        bool isSilent = false;
    };

    asio::awaitable<void> followOwnRequest();
    asio::awaitable<void> checkOwnReport(int64_t request);
    asio::awaitable<void> act(RetirementAction);
    /// Tells the operator that the VM stays for now.
    asio::awaitable<void> reportRunning(int64_t request);
    asio::awaitable<void> followOtherRequests();
    asio::awaitable<void> reportAbsent(std::string vm, int64_t request);

    /// Asks the other coordinators, until one is found that is ready and stays.
    asio::awaitable<std::vector<SuccessorState>> askOthers();
    asio::awaitable<SuccessorState> ask(std::string coordinator);
    /// Names of the others; the present successor comes first.
    std::vector<std::string> othersToAsk() const;

    /// Writes the report. Returns false if the store has other registrations than the report needs.
    asio::awaitable<bool> report(std::string vm, std::string successor);
    asio::awaitable<Report> readReport(std::string vm);

    /// Revision of the listed request to retire this VM; nothing if there is none.
    std::optional<int64_t> ownRequest() const;

    std::string name_;
    const DirectoryProtocol& protocol_;
    MetadataStore& store_;
    RetirementPeers& peers_;
    DirectorySource directory_;
    VmRetirement own_;
    /// Request to retire this VM whose report has been read, and the revision of that report.
    std::optional<int64_t> checkedRequest_;
    int64_t checkedReport_ = 0;
    /// Request for which the operator has been told that the VM stays for now.
    std::optional<int64_t> runningReported_;
    /// Revision of the first registration that this process has written; 0 if there is none.
    int64_t firstRegistration_ = 0;
    /// Request to retire this VM that was completed under an earlier process.
    std::optional<int64_t> completedRequest_;
    std::map<std::string, Candidate> candidates_;
    /// Requests to retire other VMs that are completed, by VM.
    std::map<std::string, int64_t> completedRequests_;
    std::map<std::string, Instant> absentSince_;
    bool wasHeld_ = false;
};

} // namespace endiveroad::io
