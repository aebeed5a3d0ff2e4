#include "io/hosted/RetirementReporter.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"
#include "io/hosted/DirectorySync.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(100);

/// Pause after a failed call to the store.
constexpr Duration retryPause = std::chrono::milliseconds(400);

std::string registrationKey(const std::string& coordinator)
{
    return DirectorySync::coordinatorPrefix + coordinator;
}

/// 0 if the listing lacks the key.
int64_t revisionOf(const StoreListing& listing, const std::string& key)
{
    const auto found = std::find_if(listing.documents.begin(), listing.documents.end(),
        [&key](const Document& document) { return document.key == key; });
    return found == listing.documents.end() ? 0 : found->revision;
}

/// Why no coordinator could take the work over, for the log.
std::string describe(const std::vector<SuccessorState>& others)
{
    std::string text;
    for (const SuccessorState& other : others) {
        const char* state = other.isReady ? "retires as well" : "is not ready";
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", other.name, state);
    }
    return text.empty() ? "no other coordinator is connected" : text;
}

} // namespace

RetirementReporter::RetirementReporter(std::string name, const DirectoryProtocol& protocol, MetadataStore& store,
    RetirementPeers& peers, DirectorySource directory)
    : name_(std::move(name))
    , protocol_(protocol)
    , store_(store)
    , peers_(peers)
    , directory_(std::move(directory))
    , own_(name_)
{
}

asio::awaitable<void> RetirementReporter::run()
{
    while (true) {
        Duration pause = pollInterval;
        try {
            co_await followOwnRequest();
            co_await followOtherRequests();
        } catch (const Error& error) {
            log(Event::StoreUnavailable, { { "calling", "retirement" }, { "reason", error.what() } });
            pause = retryPause;
        }
        co_await sleepFor(pause);
    }
}

std::optional<int64_t> RetirementReporter::ownRequest() const
{
    const auto current = directory_();
    const auto found = current->retirements.find(name_);
    if (found == current->retirements.end())
        return std::nullopt;
    return found->second;
}

bool RetirementReporter::isSettled() const
{
    const std::optional<int64_t> request = ownRequest();
    return !request || request == checkedRequest_;
}

std::vector<StoreCondition> RetirementReporter::registrationConditions() const
{
    if (!ownRequest())
        return {};
    return { { protocol_.retirementReportKey(name_), checkedReport_ } };
}

void RetirementReporter::onRegistered(int64_t revision)
{
    if (firstRegistration_ == 0)
        firstRegistration_ = revision;
}

asio::awaitable<void> RetirementReporter::followOwnRequest()
{
    const std::optional<int64_t> request = ownRequest();
    if (request && checkedRequest_ != request)
        co_await checkOwnReport(*request);
    own_.onRequest(request == completedRequest_ ? std::nullopt : request);
    if (own_.isReported() || (!own_.isRequested() && !own_.isLeaving()))
        co_return;
    const std::vector<SuccessorState> others = co_await askOthers();
    const RetirementAction action = own_.next(others, peers_.openJobs(), now());
    const bool isNewlyHeld = own_.isHeld() && !wasHeld_;
    wasHeld_ = own_.isHeld();
    if (isNewlyHeld)
        log(Event::RetirementHeld, { { "vm", name_ }, { "reason", describe(others) } });
    co_await act(action);
    if (own_.isHeld() && runningReported_ != request)
        co_await reportRunning(*request);
}

asio::awaitable<void> RetirementReporter::checkOwnReport(int64_t request)
{
    const Report present = co_await readReport(name_);
    checkedRequest_ = request;
    checkedReport_ = present.revision;
    if (!present.completes(request))
        co_return;
    // A report that is older than this process's registration concerns an earlier VM of the same name.
    const bool isThisVm = firstRegistration_ != 0 && present.revision > firstRegistration_;
    if (isThisVm)
        own_.onReported();
    else
        completedRequest_ = request;
}

asio::awaitable<void> RetirementReporter::act(RetirementAction action)
{
    switch (action) {
    case RetirementAction::None:
        break;
    case RetirementAction::AnnounceLeaving:
        log(Event::RetirementHandover, { { "vm", name_ }, { "successor", own_.successor() } });
        peers_.onLeaving();
        break;
    case RetirementAction::AnnounceReturn:
        log(Event::RetirementInterrupted, { { "vm", name_ } });
        // A report without an answer may have taken effect.
        checkedRequest_.reset();
        peers_.onReturn();
        break;
    case RetirementAction::Report: {
        const bool isWritten = co_await report(name_, own_.successor());
        if (isWritten)
            own_.onReported();
        else
            requireCheck();
        break;
    }
    }
}

asio::awaitable<void> RetirementReporter::reportRunning(int64_t request)
{
    StoreTransaction transaction;
    const std::string key = protocol_.retirementReportKey(name_);
    transaction.conditions.push_back({ key, checkedReport_ });
    transaction.puts.push_back({ key, protocol_.encodeRetirementReport(RetirementState::Running), 0 });
    const CommitResult result = co_await store_.commit(std::move(transaction), now() + storeTimeout);
    if (!result.isCommitted) {
        requireCheck();
        co_return;
    }
    checkedReport_ = result.revision;
    runningReported_ = request;
}

asio::awaitable<void> RetirementReporter::followOtherRequests()
{
    const auto current = directory_();
    std::erase_if(absentSince_, [&current](const auto& entry) { return !current->retirements.contains(entry.first); });
    for (const auto& [vm, request] : current->retirements) {
        const auto completed = completedRequests_.find(vm);
        if (vm == name_ || (completed != completedRequests_.end() && completed->second == request))
            continue;
        if (peers_.isConnected(vm)) {
            absentSince_.erase(vm);
            continue;
        }
        const Instant since = absentSince_.try_emplace(vm, now()).first->second;
        if (now() < since + absenceTime)
            continue;
        const bool isMine = peers_.actsForAll() && peers_.ownSuccession().isServing;
        if (isMine)
            co_await reportAbsent(vm, request);
    }
}

asio::awaitable<void> RetirementReporter::reportAbsent(std::string vm, int64_t request)
{
    const Report present = co_await readReport(vm);
    const bool isCompleted = present.completes(request) || co_await report(vm, name_);
    if (!isCompleted)
        co_return;
    completedRequests_[vm] = request;
    absentSince_.erase(vm);
}

std::vector<std::string> RetirementReporter::othersToAsk() const
{
    std::vector<std::string> names = peers_.stayingCoordinators();
    std::sort(names.begin(), names.end());
    std::stable_partition(names.begin(), names.end(), [this](const auto& name) { return name == own_.successor(); });
    return names;
}

asio::awaitable<std::vector<SuccessorState>> RetirementReporter::askOthers()
{
    std::vector<SuccessorState> states;
    for (const std::string& name : othersToAsk()) {
        states.push_back(co_await ask(name));
        const bool isFound = states.back().isReady && !states.back().isRetiring;
        if (isFound)
            break;
    }
    co_return states;
}

asio::awaitable<SuccessorState> RetirementReporter::ask(std::string coordinator)
{
    Candidate& candidate = candidates_[coordinator];
    try {
        const wire::SuccessionAnswer answer = co_await peers_.askSuccession(coordinator, now() + queryTimeout);
        const wire::SuccessionAnswer own = peers_.ownSuccession();
        candidate.isRetiring = answer.isRetiring;
        candidate.servingSince = answer.isServing ? std::min(candidate.servingSince, now()) : never;
        const bool isReachedByAll = answer.entries >= own.entries && answer.agents >= own.agents;
        const bool isReady = answer.isServing && (isReachedByAll || now() >= candidate.servingSince + connectTime);
        candidate.readyUntil = isReady ? now() + readinessLifetime : Instant::min();
        candidate.isSilent = false;
    } catch (const Error& error) {
        if (!candidate.isSilent)
            log(Event::SuccessorUnavailable, { { "coordinator", coordinator }, { "reason", error.what() } });
        candidate.isSilent = true;
    }
    co_return SuccessorState { coordinator, candidate.isRetiring, now() < candidate.readyUntil };
}

asio::awaitable<bool> RetirementReporter::report(std::string vm, std::string successor)
{
    const StoreListing registrations
        = co_await store_.list(DirectorySync::coordinatorPrefix, false, now() + storeTimeout);
    const std::string vmKey = registrationKey(vm);
    const std::string successorKey = registrationKey(successor);
    const int64_t vmRevision = revisionOf(registrations, vmKey);
    const int64_t successorRevision = revisionOf(registrations, successorKey);
    if (successorRevision == 0) {
        log(Event::RetirementRejected,
            { { "vm", vm }, { "successor", successor }, { "reason", "it is not registered" } });
        co_return false;
    }
    StoreTransaction transaction;
    transaction.conditions.push_back({ successorKey, successorRevision });
    transaction.conditions.push_back({ vmKey, vmRevision });
    const std::string value = protocol_.encodeRetirementReport(RetirementState::Completed);
    transaction.puts.push_back({ protocol_.retirementReportKey(vm), value, 0 });
    if (vmRevision != 0)
        transaction.removals.push_back(vmKey);
    const CommitResult result = co_await store_.commit(std::move(transaction), now() + storeTimeout);
    if (!result.isCommitted) {
        log(Event::RetirementRejected,
            { { "vm", vm }, { "successor", successor }, { "reason", "the registrations have changed" } });
        co_return false;
    }
    log(Event::RetirementDone, { { "vm", vm }, { "successor", successor } });
    co_return true;
}

asio::awaitable<RetirementReporter::Report> RetirementReporter::readReport(std::string vm)
{
    Report report;
    const std::optional<Document> stored
        = co_await store_.read(protocol_.retirementReportKey(vm), now() + storeTimeout);
    if (!stored)
        co_return report;
    report.state = protocol_.decodeRetirementReport(stored->value);
    report.revision = stored->revision;
    co_return report;
}

} // namespace endiveroad::io
