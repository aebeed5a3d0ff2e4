#include "io/agent/CallRunner.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"

#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

constexpr Duration unknownRetryDelay = std::chrono::milliseconds(500);

wire::CallAnswer makeRefusal(wire::Outcome::type outcome, ErrorCode code, const std::string& detail, Instant retryAt)
{
    wire::CallAnswer answer;
    answer.outcome = outcome;
    answer.errorCode = std::string(codeText(code));
    answer.detail = detail;
    answer.retryAfterMs = retryAt == never ? 0 : static_cast<int32_t>(millisecondsLeft(retryAt));
    return answer;
}

/// Cancels an HTTP request when the peer cancels its call. Must be destroyed before the request's HttpCancellation.
class CancellationLink {
public:
    CancellationLink(PeerCancellationPtr cancellation, HttpCancellation& request)
        : cancellation_(std::move(cancellation))
    {
        if (cancellation_)
            cancellation_->onCancel([&request] { request.cancel(); });
    }
    CancellationLink(const CancellationLink&) = delete;
    CancellationLink& operator=(const CancellationLink&) = delete;
    ~CancellationLink()
    {
        if (cancellation_)
            cancellation_->onCancel(nullptr);
    }

private:
    PeerCancellationPtr cancellation_;
};

const char* refusalReason(Refusal refusal)
{
    switch (refusal) {
    case Refusal::Full:
        return "the backend server has no free slot";
    case Refusal::Draining:
        return "the agent is draining";
    case Refusal::ServerDown:
        return "the backend server does not answer";
    case Refusal::DeadlinePassed:
        return "the deadline passed before the call was started";
    case Refusal::AlreadyRefused:
        return "the request was refused shortly before";
    case Refusal::None:
    case Refusal::AlreadyAdmitted:
    case Refusal::VersionUnsuitable:
        break;
    }
    return "the agent cannot run the request";
}

wire::CallAnswer toAnswer(const CallOutcome& outcome)
{
    wire::CallAnswer answer;
    answer.outcome = wire::Outcome::Done;
    answer.status = outcome.status;
    answer.body = outcome.body;
    for (const auto& [name, value] : outcome.headers) {
        wire::Header header;
        header.name = name;
        header.value = value;
        answer.headers.push_back(std::move(header));
    }
    return answer;
}

} // namespace

CallRunner::CallRunner(HttpClient& http, CrashGuard& crashGuard, Admission& admission, std::string agent,
    Address server, int64_t startedWallMs)
    : http_(http)
    , crashGuard_(crashGuard)
    , server_(std::move(server))
    , admission_(
          admission, std::move(agent), startedWallMs, now() - std::chrono::milliseconds(wallMs() - startedWallMs))
{
}

void CallRunner::onPool(const PoolDeclaration& pool, int64_t revision)
{
    std::vector<std::string> names;
    for (const auto& [name, replica] : pool.replicas)
        names.push_back(name);
    admission_.onReplicas(std::move(names), revision, now());
    admission_.setOutcomeRetention(pool.call.outcomeRetention);
}

asio::awaitable<wire::CallAnswer> CallRunner::run(
    wire::CallRequest request, Instant deadline, PeerCancellationPtr cancellation)
{
    CallMetadata call;
    call.id = RequestId::parse(request.requestId);
    call.deadline = deadline;
    if (!request.isIdempotent && !request.idempotencyKey.empty())
        call.key = CallKey { request.idempotencyKey, static_cast<uint64_t>(request.fingerprint), request.keyCreatedMs };
    CallDecision decision = admission_.begin(call, now());
    if (decision.verdict == CallDecision::Verdict::CreatedInFuture
        && decision.retryAt < std::min<Instant>(deadline, now() + maxClockLead)) {
        co_await sleepFor(decision.retryAt - now());
        decision = admission_.resume(call, now());
    }
    while (decision.verdict == CallDecision::Verdict::Wait && now() < deadline) {
        co_await waitForRunningAttempt(call);
        decision = admission_.resume(call, now());
    }
    if (decision.verdict != CallDecision::Verdict::Run)
        co_return answerWithoutRun(call, decision);
    wire::CallAnswer answer = co_await runAdmitted(request, call, std::move(cancellation));
    if (call.key)
        wakeWaiters(call.key->text);
    co_return answer;
}

asio::awaitable<void> CallRunner::waitForRunningAttempt(const CallMetadata& call)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const auto position = waiters_.emplace(call.key->text, &timer);
    co_await waitUntil(timer, call.deadline);
    waiters_.erase(position);
}

void CallRunner::wakeWaiters(const std::string& key)
{
    const auto [first, last] = waiters_.equal_range(key);
    for (auto waiter = first; waiter != last; ++waiter)
        waiter->second->cancel();
}

wire::CallAnswer CallRunner::answerWithoutRun(const CallMetadata& call, const CallDecision& decision) const
{
    switch (decision.verdict) {
    case CallDecision::Verdict::Replay:
        return toAnswer(*admission_.outcome(call.key->text));
    case CallDecision::Verdict::Conflict:
        return makeRefusal(
            wire::Outcome::Unknown, ErrorCode::KeyConflict, "the key was used with another request", never);
    case CallDecision::Verdict::CreatedInFuture:
        return makeRefusal(
            wire::Outcome::Unknown, ErrorCode::BadRequest, "the creation time of the key lies in the future", never);
    case CallDecision::Verdict::NotRun:
        return makeRefusal(wire::Outcome::NotRun,
            decision.refusal == Refusal::DeadlinePassed ? ErrorCode::DeadlineExceeded : ErrorCode::NotRun,
            refusalReason(decision.refusal), decision.retryAt);
    case CallDecision::Verdict::Run:
    case CallDecision::Verdict::Wait:
    case CallDecision::Verdict::Unknown:
        break;
    }
    return makeRefusal(wire::Outcome::Unknown, ErrorCode::OutcomeUnknown, "an earlier attempt may have run",
        now() + unknownRetryDelay);
}

asio::awaitable<wire::CallAnswer> CallRunner::runAdmitted(
    const wire::CallRequest& request, const CallMetadata& call, PeerCancellationPtr cancellation)
{
    HttpRequest message { request.method, request.target, {}, request.body };
    for (const wire::Header& header : request.headers)
        message.headers.emplace_back(header.name, header.value);
    message.headers.emplace_back("X-Request-Id", request.requestId);
    log(Event::CallStarted, { { "request", request.requestId } });
    processMetrics().count(Counter::BackendCalls);
    const Instant start = now();
    HttpCancellation httpCancellation;
    const CancellationLink link(call.key ? nullptr : cancellation, httpCancellation);
    ServerAttempt attempt = attemptOf(request);
    std::string failure;
    try {
        const HttpResponse response
            = co_await http_.request(server_, std::move(message), call.deadline, &httpCancellation);
        processMetrics().record(Latency::BackendCall, now() - start, now());
        log(Event::CallFinished, { { "request", request.requestId }, { "status", std::to_string(response.status) } });
        crashGuard_.onAnswered(attempt);
        CallOutcome outcome { response.status, response.headers, response.body };
        wire::CallAnswer answer = toAnswer(outcome);
        admission_.finish(call, std::move(outcome), now());
        co_return answer;
    } catch (const RequestUnsendableError& error) {
        admission_.finishNotRun(call, now());
        co_return makeRefusal(wire::Outcome::NotRun, ErrorCode::RequestUnsendable, error.what(), never);
    } catch (const ServerUnavailableError& error) {
        admission_.finishNotRun(call, now());
        co_return makeRefusal(wire::Outcome::NotRun, ErrorCode::NotRun, error.what(),
            now() + (call.key ? OutcomeTable::refusedKeyBlockTime : CallAdmission::retryDelay));
    } catch (const Error& error) {
        admission_.finishUnknown(call, now());
        failure = error.what();
    }
    if (!httpCancellation.isCancelled())
        co_await crashGuard_.inspect(std::move(attempt));
    co_return makeRefusal(wire::Outcome::Unknown, ErrorCode::OutcomeUnknown, failure, now() + unknownRetryDelay);
}

ServerAttempt CallRunner::attemptOf(const wire::CallRequest& request) const
{
    const ContentId content = ContentId::of(request.method, request.pool, request.target, request.body);
    return { request.requestId, content, server_.text(), crashGuard_.startAt(server_), now() };
}

} // namespace endiveroad::io
