#include "io/agent/CallRunner.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/PeerConnection.h"

#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

wire::CallAnswer refusal(wire::Outcome::type outcome, ErrorCode code, const std::string& detail)
{
    wire::CallAnswer answer;
    answer.outcome = outcome;
    answer.errorCode = std::string(codeText(code));
    answer.detail = detail;
    answer.retryAfterMs = outcome == wire::Outcome::NotRun ? CallRunner::retryAfterMs : 0;
    return answer;
}

wire::CallAnswer notRun(Refusal reason)
{
    switch (reason) {
    case Refusal::Full:
        return refusal(wire::Outcome::NotRun, ErrorCode::NotRun, "the backend server has no free slot");
    case Refusal::Draining:
        return refusal(wire::Outcome::NotRun, ErrorCode::NotRun, "the backend server is leaving");
    case Refusal::ServerDown:
        return refusal(wire::Outcome::NotRun, ErrorCode::NotRun, "the backend server does not answer");
    case Refusal::DeadlinePassed:
        return refusal(
            wire::Outcome::NotRun, ErrorCode::DeadlineExceeded, "the deadline passed before the call was begun");
    case Refusal::None:
    case Refusal::RefusedBefore:
    case Refusal::VersionUnsuitable:
        break;
    }
    return refusal(wire::Outcome::NotRun, ErrorCode::NotRun, "the request was refused before");
}

CallOutcome toOutcome(const wire::CallAnswer& answer)
{
    CallOutcome outcome { answer.status, {}, answer.body };
    for (const wire::Header& header : answer.headers)
        outcome.headers.emplace_back(header.name, header.value);
    return outcome;
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

CallRunner::CallRunner(HttpClient& http, Admission& admission, Address server, int64_t startedWallMs)
    : http_(http)
    , admission_(admission)
    , server_(std::move(server))
    , outcomes_(startedWallMs, clockMargin)
{
}

asio::awaitable<wire::CallAnswer> CallRunner::run(wire::CallRequest request, Instant deadline)
{
    if (!request.isIdempotent && !request.idempotencyKey.empty())
        co_return co_await runKeyed(std::move(request), deadline);
    const Refusal reason = admission_.admit(request.requestId, true, deadline, now());
    if (reason != Refusal::None)
        co_return notRun(reason);
    wire::CallAnswer answer = co_await runAdmitted(request, deadline);
    admission_.finish();
    co_return answer;
}

asio::awaitable<wire::CallAnswer> CallRunner::runKeyed(wire::CallRequest request, Instant deadline)
{
    const auto verdict = outcomes_.begin(request.idempotencyKey, static_cast<uint64_t>(request.fingerprint),
        request.keyCreatedMs, wallMs(), policy_.outcomeRetention, now());
    switch (verdict) {
    case OutcomeTable::Verdict::Conflict:
        co_return refusal(wire::Outcome::NotRun, ErrorCode::KeyConflict, "the key was used with another request");
    case OutcomeTable::Verdict::Unknown:
        co_return refusal(
            wire::Outcome::Unknown, ErrorCode::OutcomeUnknown, "an earlier attempt with this key may have run");
    case OutcomeTable::Verdict::Wait:
    case OutcomeTable::Verdict::Replay:
        co_return co_await waitForOutcome(request, deadline);
    case OutcomeTable::Verdict::Run:
        break;
    }
    const Refusal reason = admission_.admit(request.requestId, true, deadline, now());
    if (reason != Refusal::None) {
        outcomes_.withdraw(request.idempotencyKey);
        co_return notRun(reason);
    }
    wire::CallAnswer answer = co_await runAdmitted(request, deadline);
    admission_.finish();
    const Instant keepUntil = now() + policy_.outcomeRetention;
    if (answer.outcome == wire::Outcome::Done)
        outcomes_.finish(request.idempotencyKey, toOutcome(answer), keepUntil);
    else if (answer.outcome == wire::Outcome::NotRun)
        outcomes_.withdraw(request.idempotencyKey);
    else
        outcomes_.finishUnknown(request.idempotencyKey, keepUntil);
    co_return answer;
}

asio::awaitable<wire::CallAnswer> CallRunner::waitForOutcome(const wire::CallRequest& request, Instant deadline)
{
    while (outcomes_.isRunning(request.idempotencyKey) && now() < deadline)
        co_await sleepFor(repeatPoll);
    if (const CallOutcome* outcome = outcomes_.outcome(request.idempotencyKey))
        co_return toAnswer(*outcome);
    co_return refusal(
        wire::Outcome::Unknown, ErrorCode::OutcomeUnknown, "the first attempt with this key has no known outcome");
}

asio::awaitable<wire::CallAnswer> CallRunner::runAdmitted(const wire::CallRequest& request, Instant deadline)
{
    HttpRequest message { request.method, request.target, {}, request.body };
    for (const wire::Header& header : request.headers)
        message.headers.emplace_back(header.name, header.value);
    message.headers.emplace_back("X-Request-Id", request.requestId);
    log(Event::CallStarted, { { "request", request.requestId } });
    try {
        const HttpResponse response = co_await http_.request(server_, std::move(message), deadline);
        log(Event::CallFinished, { { "request", request.requestId }, { "status", std::to_string(response.status) } });
        co_return toAnswer({ response.status, response.headers, response.body });
    } catch (const ServerUnavailableError& error) {
        co_return refusal(wire::Outcome::NotRun, ErrorCode::NotRun, error.what());
    } catch (const Error& error) {
        co_return refusal(wire::Outcome::Unknown, ErrorCode::OutcomeUnknown, error.what());
    }
}

} // namespace endiveroad::io
