#include "io/StoreClient.h"

#include "io/ProcessMetrics.h"

#include "core/base/ByteCodec.h"

#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

using Json = nlohmann::json;

namespace {

/// etcd's JSON gateway uses base64 with padding.
std::string encoded(std::string_view bytes)
{
    std::string text = toBase64(bytes);
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
}

std::string decoded(std::string text)
{
    while (!text.empty() && text.back() == '=')
        text.pop_back();
    return fromBase64(text);
}

/// An integer field; 0 if missing. etcd's JSON gateway writes 64-bit integers as strings.
int64_t integer(const Json& object, const char* key)
{
    if (!object.contains(key))
        return 0;
    const Json& value = object.at(key);
    return value.is_string() ? std::stoll(value.get<std::string>()) : value.get<int64_t>();
}

StoredValue toStoredValue(const Json& keyValue)
{
    return { decoded(keyValue.value("value", "")), integer(keyValue, "mod_revision") };
}

std::string rangeBody(const std::string& key)
{
    Json request;
    request["key"] = encoded(key);
    return request.dump();
}

std::string swapBody(const std::string& key, int64_t expectedRevision, const std::string& value)
{
    const std::string name = encoded(key);
    const Json compare { { "key", name }, { "target", "MOD" }, { "result", "EQUAL" },
        { "mod_revision", std::to_string(expectedRevision) } };
    const Json put { { "request_put", { { "key", name }, { "value", encoded(value) } } } };
    const Json transaction { { "compare", Json::array({ compare }) }, { "success", Json::array({ put }) } };
    return transaction.dump();
}

std::string watchBody(const std::string& key, int64_t afterRevision)
{
    const Json request { { "key", encoded(key) }, { "start_revision", std::to_string(afterRevision + 1) } };
    return Json { { "create_request", request } }.dump();
}

} // namespace

EtcdStoreClient::EtcdStoreClient(HttpClient& http, Address address)
    : http_(http)
    , address_(std::move(address))
{
}

asio::awaitable<std::string> EtcdStoreClient::post(std::string target, std::string body, Instant deadline)
{
    HttpRequest request = jsonRequest("POST", std::move(target), std::move(body));
    processMetrics().count(Counter::StoreCalls);
    try {
        HttpResponse response = co_await http_.request(address_, std::move(request), deadline);
        if (response.status != 200)
            throw StoreUnavailableError(fmt::format("{} answered {}", address_.text(), response.status));
        co_return std::move(response.body);
    } catch (const Error& error) {
        processMetrics().count(Counter::StoreFailures);
        throw StoreUnavailableError(error.what());
    }
}

asio::awaitable<std::optional<StoredValue>> EtcdStoreClient::read(std::string key, Instant deadline)
{
    const std::string answer = co_await post("/v3/kv/range", rangeBody(key), deadline);
    try {
        const Json json = Json::parse(answer);
        if (!json.contains("kvs") || json.at("kvs").empty())
            co_return std::nullopt;
        co_return toStoredValue(json.at("kvs").at(0));
    } catch (const std::exception& error) {
        throw StoreUnavailableError(fmt::format("the answer cannot be read: {}", error.what()));
    }
}

asio::awaitable<bool> EtcdStoreClient::compareAndSwap(
    std::string key, int64_t expectedRevision, std::string value, Instant deadline)
{
    const std::string answer = co_await post("/v3/kv/txn", swapBody(key, expectedRevision, value), deadline);
    try {
        co_return Json::parse(answer).value("succeeded", false);
    } catch (const std::exception& error) {
        throw StoreUnavailableError(fmt::format("the answer cannot be read: {}", error.what()));
    }
}

asio::awaitable<void> EtcdStoreClient::remove(std::string key, Instant deadline)
{
    co_await post("/v3/kv/deleterange", rangeBody(key), deadline);
}

asio::awaitable<void> EtcdStoreClient::watch(
    std::string key, int64_t afterRevision, Instant deadline, OnChange onChange)
{
    HttpRequest request = jsonRequest("POST", "/v3/watch", watchBody(key, afterRevision));
    processMetrics().count(Counter::StoreCalls);
    std::string pending;
    auto onBody = [&](std::string_view piece) {
        pending.append(piece);
        for (size_t end = pending.find('\n'); end != std::string::npos; end = pending.find('\n')) {
            const Json message = Json::parse(pending.substr(0, end));
            pending.erase(0, end + 1);
            const Json result = message.value("result", Json::object());
            const Json events = result.value("events", Json::array());
            for (const Json& event : events) {
                if (!onChange(toStoredValue(event.at("kv"))))
                    return false;
            }
        }
        return true;
    };
    try {
        co_await http_.stream(address_, std::move(request), deadline, onBody);
    } catch (const std::exception& error) {
        throw StoreUnavailableError(error.what());
    }
}

} // namespace endiveroad::io
