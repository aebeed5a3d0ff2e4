#include "io/EngineClient.h"

#include <charconv>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

using Json = nlohmann::json;

namespace {

constexpr std::string_view fingerprintPrefix = "weights-";
constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view endMarker = "[DONE]";

WeightVersion versionOf(std::string_view fingerprint)
{
    if (!fingerprint.starts_with(fingerprintPrefix))
        return unknownVersion;
    fingerprint.remove_prefix(fingerprintPrefix.size());
    WeightVersion version = unknownVersion;
    std::from_chars(fingerprint.data(), fingerprint.data() + fingerprint.size(), version);
    return version;
}

EngineChunk toChunk(std::string_view line)
{
    const Json json = Json::parse(line);
    const Json& choice = json.at("choices").at(0);
    EngineChunk chunk;
    chunk.text = choice.value("text", "");
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
        chunk.finishReason = choice["finish_reason"].get<std::string>();
    if (choice.contains("token_ids"))
        chunk.tokens = static_cast<uint32_t>(choice["token_ids"].size());
    else
        chunk.tokens = chunk.text.empty() ? 0 : 1;
    if (json.contains("system_fingerprint") && json["system_fingerprint"].is_string())
        chunk.version = versionOf(json["system_fingerprint"].get<std::string>());
    return chunk;
}

std::string loadBody(WeightVersion version, const std::string& weights, uint64_t fence)
{
    return Json { { "version", version }, { "weights", weights }, { "fence", fence } }.dump();
}

std::string completionBody(const EngineCompletion& completion)
{
    const Json body { { "model", completion.model }, { "prompt", completion.prompt },
        { "max_tokens", completion.maxTokens }, { "stream", true }, { "priority", completion.priority },
        { "request_id", completion.requestId } };
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

CompletionsEngineClient::CompletionsEngineClient(HttpClient& http, Address address)
    : http_(http)
    , address_(std::move(address))
{
}

asio::awaitable<VersionTracker::EngineStatus> CompletionsEngineClient::status(Instant deadline)
{
    const HttpResponse response = co_await http_.request(address_, jsonRequest("GET", "/status", {}), deadline);
    if (response.status != 200)
        throw OutcomeUnknownError(fmt::format("the engine's status call answered {}", response.status));
    try {
        const Json json = Json::parse(response.body);
        VersionTracker::EngineStatus status;
        status.boot = json.at("boot").get<std::string>();
        status.loads = json.at("loads").get<uint64_t>();
        status.isLoading = json.at("loading").get<bool>();
        status.version = json.at("version").get<WeightVersion>();
        status.fence = json.value("fence", uint64_t { 0 });
        status.software = json.value("software", "");
        co_return status;
    } catch (const Json::exception& error) {
        throw OutcomeUnknownError(fmt::format("the engine's status cannot be read: {}", error.what()));
    }
}

asio::awaitable<bool> CompletionsEngineClient::load(
    WeightVersion version, std::string weights, uint64_t fence, Instant deadline)
{
    HttpRequest request = jsonRequest("POST", "/load", loadBody(version, weights, fence));
    const HttpResponse response = co_await http_.request(address_, std::move(request), deadline);
    co_return response.status == 200;
}

asio::awaitable<bool> CompletionsEngineClient::complete(EngineCompletion completion, Instant deadline,
    std::function<bool(const EngineChunk&)> onChunk, HttpCancellation& cancellation)
{
    HttpRequest request = jsonRequest("POST", "/v1/completions", completionBody(completion));
    request.headers.emplace_back("X-Request-Id", completion.requestId);
    std::string pending;
    bool isEnded = false;
    auto onBody = [&](std::string_view piece) {
        pending.append(piece);
        size_t begin = 0;
        for (size_t end = pending.find('\n'); end != std::string::npos; end = pending.find('\n', begin)) {
            const std::string_view line = std::string_view(pending).substr(begin, end - begin);
            begin = end + 1;
            if (!line.starts_with(dataPrefix))
                continue;
            const std::string_view data = line.substr(dataPrefix.size());
            if (data.starts_with(endMarker))
                isEnded = true;
            else if (!onChunk(toChunk(data)))
                return false;
        }
        pending.erase(0, begin);
        return true;
    };
    try {
        const HttpResponse response
            = co_await http_.stream(address_, std::move(request), deadline, onBody, &cancellation);
        if (response.status != 200)
            throw ServerUnavailableError(fmt::format("the engine answered {}", response.status));
    } catch (const Json::exception& error) {
        throw AnswerBrokenError(fmt::format("the engine's stream cannot be read: {}", error.what()));
    }
    co_return isEnded;
}

} // namespace endiveroad::io
