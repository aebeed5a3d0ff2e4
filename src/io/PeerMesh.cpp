#include "io/PeerMesh.h"

#include "io/Clock.h"
#include "io/Log.h"

#include <endiveroad/Error.h>

namespace endiveroad::io {

PeerMesh::PeerMesh(asio::io_context& context, PeerHandler& handler,
    std::function<void(const std::string&, const PeerConnectionPtr&)> onOpened)
    : context_(context)
    , handler_(handler)
    , onOpened_(std::move(onOpened))
{
}

void PeerMesh::setTargets(const std::map<std::string, Address>& wanted)
{
    std::vector<PeerConnectionPtr> dropped;
    std::erase_if(targets_, [&](const auto& entry) {
        const auto found = wanted.find(entry.first);
        const bool isGone = found == wanted.end() || found->second != entry.second.address;
        if (isGone && entry.second.connection)
            dropped.push_back(entry.second.connection);
        return isGone;
    });
    for (const auto& [name, address] : wanted) {
        const auto [position, isNew] = targets_.try_emplace(name, Target { address, nullptr, nextGeneration_ });
        if (!isNew)
            continue;
        const uint64_t generation = nextGeneration_++;
        spawn(context_.get_executor(), [this, name = name, generation] { return maintain(name, generation); });
    }
    for (const PeerConnectionPtr& connection : dropped)
        connection->close();
}

bool PeerMesh::isCurrent(const std::string& name, uint64_t generation) const
{
    const auto found = targets_.find(name);
    return found != targets_.end() && found->second.generation == generation;
}

asio::awaitable<void> PeerMesh::maintain(std::string name, uint64_t generation)
{
    Duration pause = firstReconnectDelay;
    while (isCurrent(name, generation)) {
        PeerConnectionPtr connection;
        bool isRefused = false;
        try {
            connection = co_await PeerConnection::connect(targets_.at(name).address, handler_);
        } catch (const AccessRefusedError&) {
            isRefused = true;
        } catch (const Error&) {
            // The peer is unreachable; the loop tries again.
        }
        if (connection && !isCurrent(name, generation))
            connection->close();
        if (connection && connection->isOpen()) {
            connection->peerName = name;
            targets_.at(name).connection = connection;
            log(Event::PeerConnected, { { "peer", name } });
            onOpened_(name, connection);
            // Polled; a lost connection is noticed within maxReconnectDelay.
            while (connection->isOpen())
                co_await sleepFor(maxReconnectDelay);
            pause = firstReconnectDelay;
        }
        co_await sleepFor(isRefused ? accessRefusedDelay : pause);
        pause = std::min(2 * pause, maxReconnectDelay);
    }
}

PeerConnectionPtr PeerMesh::connection(const std::string& name) const
{
    const auto found = targets_.find(name);
    if (found == targets_.end() || !found->second.connection || !found->second.connection->isOpen())
        return nullptr;
    return found->second.connection;
}

std::vector<PeerConnectionPtr> PeerMesh::connections() const
{
    std::vector<PeerConnectionPtr> result;
    for (const auto& [name, target] : targets_) {
        if (target.connection && target.connection->isOpen())
            result.push_back(target.connection);
    }
    return result;
}

void PeerMesh::close()
{
    setTargets({});
}

} // namespace endiveroad::io
