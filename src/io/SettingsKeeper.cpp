#include "io/SettingsKeeper.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/PeerConnection.h"

#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

using Json = nlohmann::json;

std::string SettingsDocument::encode() const
{
    return Json { { "revision", revision }, { "writeId", writeId }, { "tree", Json::parse(tree) } }.dump();
}

SettingsDocument SettingsDocument::decode(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        return { json.at("revision").get<int64_t>(), json.at("writeId").get<std::string>(), json.at("tree").dump() };
    } catch (const Json::exception& error) {
        throw SettingsInvalidError(fmt::format("the stored document cannot be read: {}", error.what()));
    }
}

SettingsKeeper::SettingsKeeper(OnChange onChange)
    : onChange_(std::move(onChange))
{
}

void SettingsKeeper::offer(std::string_view encoded)
{
    try {
        const SettingsDocument document = SettingsDocument::decode(encoded);
        if (document.revision <= revision())
            return;
        auto settings = std::make_shared<const Settings>(Settings::fromDocument(document.tree, document.revision));
        auto before = std::exchange(current_, settings);
        encoded_ = encoded;
        log(Event::SettingsInForce, { { "revision", std::to_string(document.revision) } });
        onChange_(before, settings);
    } catch (const Error& error) {
        log(Event::SettingsRefused, { { "reason", error.what() } });
    }
}

asio::awaitable<void> SettingsKeeper::follow(StoreClient& store)
{
    bool isAvailable = true;
    while (true) {
        try {
            const auto stored = co_await store.read(std::string(storeKey), now() + readTimeout);
            if (!std::exchange(isAvailable, true))
                log(Event::StoreAvailable);
            if (stored)
                offer(stored->value);
            co_await store.watch(std::string(storeKey), stored ? stored->modRevision : 0, now() + watchLifetime,
                [this](const StoredValue& value) { offer(value.value); });
        } catch (const Error& error) {
            // A watch ends at its lifetime without the service being away; the next read tells.
            if (error.code() == ErrorCode::StoreUnavailable && std::exchange(isAvailable, false))
                log(Event::StoreUnavailable, { { "reason", error.what() } });
        }
        co_await sleepFor(retryDelay);
    }
}

} // namespace endiveroad::io
