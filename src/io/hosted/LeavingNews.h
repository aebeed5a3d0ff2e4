#pragma once

#include "io/hosted/DirectorySync.h"
#include "io/hosted/Protocol.h"

#include <functional>
#include <optional>
#include <string>

/// What this process hears of servers that are leaving or were replaced, from answers and from peers. Such a server
/// gets no new work, whatever its registration says and whether or not the store can be reached.
namespace endiveroad::io {

class LeavingNews : public ServerAnswerListener {
public:
    /// Sends an encoded wire::LeavingNotice to all connected peers.
    using Publish = std::function<void(const std::string& notice)>;

    LeavingNews(DirectorySync&, Publish);

    /// Publishes what the answer says if it is news.
    void onAnswer(const ReplicaAnswer&, const ServerIncarnation& receiver) override;

    /// The server gets no new work until it registers again.
    void onEnded(const ServerIncarnation&) override;

    /// Applies a notice of a peer. Returns an encoded notice of the part that is news, if any.
    std::optional<std::string> onNotice(const std::string& payload);

    /// All known servers of this kind as a notice for a peer that has just connected; nothing if there are none.
    std::optional<std::string> encodeAll() const;

private:
    /// Publishes what was not known; returns whether it was news.
    bool learn(const DepartedServer&);

    /// The server that an answer comes from; its id is empty if that is not known.
    ServerIncarnation senderOf(const ReplicaAnswer&, const ServerIncarnation& receiver) const;

    DirectorySync& directorySync_;
    Publish publish_;
};

} // namespace endiveroad::io
