#include "io/Survey.h"

#include "core/http/JsonReader.h"
#include "io/Clock.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

using Json = nlohmann::json;

namespace {

/// Approximate size limit of a combined document. The answer that exceeds it and all later ones are reported with state
/// "left-out".
constexpr size_t maxCombinedBytes = 32U << 20;

constexpr uint64_t maxInteger = std::numeric_limits<int64_t>::max();

std::string scopeName(SurveyScope scope)
{
    switch (scope) {
    case SurveyScope::Self:
        return "self";
    case SurveyScope::Region:
        return "region";
    case SurveyScope::All:
        return "all";
    }
    return "self";
}

SurveyScope scopeFromName(const std::string& name)
{
    for (SurveyScope scope : { SurveyScope::Self, SurveyScope::Region, SurveyScope::All }) {
        if (scopeName(scope) == name)
            return scope;
    }
    throw BadRequestError(fmt::format("question.scope is \"{}\"; expected self, region or all", name));
}

/// State shared by the concurrent requests of one query; lives until the last of them has ended.
struct Survey {
    std::vector<SurveyAnswer> answers;
    size_t open = 0;
    asio::steady_timer finished;
};

asio::awaitable<void> askTarget(std::shared_ptr<Survey> survey, size_t index, SurveyTarget target, SurveyQuery query)
{
    try {
        survey->answers[index].json = co_await askPeer(target.connection, query.withScope(target.scope));
    } catch (const Error&) {
        // A process that does not answer is reported as unreachable.
    }
    if (--survey->open == 0)
        survey->finished.cancel();
}

/// The documents of single processes in an answer: its list of processes if it is a combined one, else itself.
Json splitByProcess(const Json& answer)
{
    return answer.contains("processes") ? answer.at("processes") : Json::array({ answer });
}

} // namespace

std::string SurveyQuery::encode() const
{
    return Json {
        { "scope", scopeName(scope) }, { "sinceWallMs", timeline.sinceWallMs }, { "job", timeline.job },
        { "request", timeline.request }, { "limit", timeline.limit }, { "metrics", wantsMetrics ? 1 : 0 }
    }.dump();
}

SurveyQuery SurveyQuery::decode(MessageType type, const std::string& argument)
{
    const Json json = parseStrictJson(argument, "question");
    JsonReader reader(json, "question");
    SurveyQuery query;
    query.type = type;
    query.scope = scopeFromName(reader.text("scope"));
    query.timeline.sinceWallMs = static_cast<int64_t>(reader.integer("sinceWallMs", 0, maxInteger));
    query.timeline.job = reader.text("job");
    query.timeline.request = reader.text("request");
    query.timeline.limit = reader.integer("limit", 0, maxInteger);
    query.wantsMetrics = reader.integer("metrics", 0, 1) == 1;
    if (query.wantsMetrics && query.scope != SurveyScope::Self)
        throw BadRequestError("question.metrics is 1; expected 0 unless question.scope is \"self\"");
    reader.rejectUnknownFields();
    return query;
}

SurveyQuery SurveyQuery::withScope(SurveyScope narrower) const
{
    SurveyQuery query = *this;
    query.scope = narrower;
    return query;
}

asio::awaitable<std::string> askPeer(PeerConnectionPtr peer, SurveyQuery query)
{
    wire::TextRequest request;
    request.argument = query.encode();
    const int hops = query.scope == SurveyScope::Self ? 1 : query.scope == SurveyScope::Region ? 2 : 3;
    const Instant deadline = now() + surveyTimeout * hops;
    const std::string payload = co_await peer->call(query.type, wire::encode(request), deadline);
    co_return wire::decode<wire::TextAnswer>(payload).json;
}

asio::awaitable<std::vector<SurveyAnswer>> askPeers(std::vector<SurveyTarget> targets, SurveyQuery query)
{
    const auto executor = co_await asio::this_coro::executor;
    auto survey = std::make_shared<Survey>(Survey { {}, 0, asio::steady_timer(executor) });
    for (const SurveyTarget& target : targets)
        survey->answers.push_back({ target.name, target.role, std::nullopt });
    for (size_t index = 0; index < targets.size(); ++index) {
        const SurveyTarget& target = targets[index];
        if (!target.connection)
            continue;
        ++survey->open;
        spawn(executor, [survey, index, target, query] { return askTarget(survey, index, target, query); });
    }
    while (survey->open > 0)
        co_await waitUntil(survey->finished, never);
    co_return std::move(survey->answers);
}

std::string combineAnswers(const SurveyQuery& query, const std::string& self, const std::string& selfJson,
    const std::vector<SurveyAnswer>& answers)
{
    Json document { { "askedOf", self }, { "scope", scopeName(query.scope) },
        { "processes", splitByProcess(Json::parse(selfJson)) } };
    size_t bytes = selfJson.size();
    for (const SurveyAnswer& answer : answers) {
        bytes += answer.json ? answer.json->size() : 0;
        if (!answer.json || bytes > maxCombinedBytes) {
            document["processes"].push_back({ { "name", answer.name }, { "role", answer.role },
                { "state", answer.json ? "left-out" : "unreachable" } });
            continue;
        }
        for (Json& part : splitByProcess(Json::parse(*answer.json)))
            document["processes"].push_back(std::move(part));
    }
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace endiveroad::io
