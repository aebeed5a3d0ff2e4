#include "io/hosted/LeavingNews.h"

#include "io/Log.h"
#include "wire/Codec.h"

#include <vector>

namespace endiveroad::io {

namespace {

std::optional<std::string> encode(const std::vector<ServerIncarnation>& servers)
{
    if (servers.empty())
        return std::nullopt;
    wire::LeavingNotice notice;
    for (const ServerIncarnation& server : servers) {
        wire::LeavingServer encoded;
        encoded.id = server.id;
        encoded.startedMs = server.startedMs;
        notice.servers.push_back(std::move(encoded));
    }
    return wire::encode(notice);
}

} // namespace

LeavingNews::LeavingNews(DirectorySync& directorySync, Publish publish)
    : directorySync_(directorySync)
    , publish_(std::move(publish))
{
}

ServerIncarnation LeavingNews::senderOf(const ReplicaAnswer& answer, const ServerIncarnation& receiver) const
{
    if (answer.verdict != ReplicaVerdict::ServerMismatch)
        return receiver;
    const auto directory = directorySync_.current();
    const auto sender = directory->servers.find(answer.server);
    if (sender == directory->servers.end())
        return { answer.server, 0 };
    return ServerIncarnation::of(sender->second);
}

void LeavingNews::onAnswer(const ReplicaAnswer& answer, const ServerIncarnation& receiver)
{
    if (!answer.unknownLeavingValue.empty())
        log(Event::LeavingUnclear, { { "server", receiver.id }, { "value", answer.unknownLeavingValue } });
    if (!answer.isLeaving)
        return;
    const ServerIncarnation sender = senderOf(answer, receiver);
    if (!directorySync_.addLeaving(sender))
        return;
    log(Event::ServerLeaving, { { "server", sender.id }, { "startedMs", std::to_string(sender.startedMs) } });
    publish_(*encode({ sender }));
}

std::optional<std::string> LeavingNews::onNotice(const std::string& payload)
{
    const auto notice = wire::decode<wire::LeavingNotice>(payload);
    std::vector<ServerIncarnation> news;
    for (const wire::LeavingServer& encoded : notice.servers) {
        const ServerIncarnation server { encoded.id, encoded.startedMs };
        if (directorySync_.addLeaving(server))
            news.push_back(server);
    }
    return encode(news);
}

std::optional<std::string> LeavingNews::encodeAll() const
{
    return encode(directorySync_.leavingServers().all());
}

} // namespace endiveroad::io
