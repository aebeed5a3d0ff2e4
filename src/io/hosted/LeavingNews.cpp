#include "io/hosted/LeavingNews.h"

#include "io/Log.h"
#include "wire/Codec.h"

#include <vector>

namespace endiveroad::io {

namespace {

std::optional<std::string> encode(const std::vector<DepartedServer>& servers)
{
    if (servers.empty())
        return std::nullopt;
    wire::LeavingNotice notice;
    for (const auto& [server, departure] : servers) {
        wire::LeavingServer encoded;
        encoded.id = server.id;
        encoded.startedMs = server.startedMs;
        encoded.isReplaced = departure == Departure::Replaced;
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
    // A mismatch without another server's id shows nothing.
    const bool isReplaced
        = answer.verdict == ReplicaVerdict::ServerMismatch && !answer.server.empty() && answer.server != receiver.id;
    if (isReplaced && learn({ receiver, Departure::Replaced }))
        log(Event::ServerReplaced, { { "server", receiver.id }, { "successor", answer.server } });
    const ServerIncarnation sender = senderOf(answer, receiver);
    if (answer.isLeaving && learn({ sender, Departure::Leaving }))
        log(Event::ServerLeaving, { { "server", sender.id }, { "startedMs", std::to_string(sender.startedMs) } });
}

void LeavingNews::onEnded(const ServerIncarnation& server)
{
    if (learn({ server, Departure::Replaced }))
        log(Event::ServerReplaced, { { "server", server.id }, { "successor", "" } });
}

bool LeavingNews::learn(const DepartedServer& departed)
{
    const bool isNews = directorySync_.addLeaving(departed);
    if (isNews)
        publish_(*encode({ departed }));
    return isNews;
}

std::optional<std::string> LeavingNews::onNotice(const std::string& payload)
{
    const auto notice = wire::decode<wire::LeavingNotice>(payload);
    std::vector<DepartedServer> news;
    for (const wire::LeavingServer& encoded : notice.servers) {
        const DepartedServer server { { encoded.id, encoded.startedMs },
            encoded.isReplaced ? Departure::Replaced : Departure::Leaving };
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
