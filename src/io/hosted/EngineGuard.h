#pragma once

#include "io/Signal.h"
#include "io/hosted/Protocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

/// The agent's view of the engine replica beside it, and the only giver of orders to it.
namespace endiveroad::io {

namespace asio = boost::asio;

class EngineGuard {
public:
    static constexpr Duration queryTimeout = std::chrono::milliseconds(400);

    /// Time between questions: while an order is carried out, while the replica does not answer, and else.
    static constexpr Duration loadingInterval = std::chrono::milliseconds(80);
    static constexpr Duration silentInterval = std::chrono::milliseconds(250);
    static constexpr Duration restInterval = std::chrono::milliseconds(2000);

    /// Time after which an order that was not confirmed is given again.
    static constexpr Duration orderTimeout = std::chrono::milliseconds(600);

    /// Time after which a load is given up.
    static constexpr Duration loadTimeout = std::chrono::seconds(12);

    /// Called when anything that other processes are told has changed.
    using OnChange = std::function<void()>;

    EngineGuard(asio::io_context&, HttpClient&, const ReplicaProtocol&, MetadataStore&, Address replica,
        std::string name, OnChange);

    /// Follows the replica's state.
    asio::awaitable<void> follow();

    /// The replica is registered under this id, or under none.
    void setServer(std::string id);
    /// Empty if none is registered, or the one that is registered is no longer there.
    const std::string& server() const { return isServerGone_ ? noServer_ : server_; }

    /// The replica says that it is not the registered one.
    void onOtherServer();

    /// Whether the replica answers.
    bool isUp() const { return isUp_; }

    /// A run of the replica broke or stalled: asks for its state at once.
    void suspect();

    const std::map<std::string, int64_t>& versions() const { return state_.versions; }
    int64_t version(const std::string& model) const;
    const std::string& loadingModel() const { return loadingModel_; }

    /// An answer of the replica stated a version.
    void onVersionSeen(const std::string& model, int64_t version);

    /// Orders the replica to load a version, unless a load is under way or it has the version.
    void load(const std::string& model, int64_t version);

private:
    asio::awaitable<bool> query();
    asio::awaitable<void> carryOut(std::string model, int64_t version);
    asio::awaitable<OrderOutcome> order(const std::string& model, int64_t version);
    asio::awaitable<void> obtainFence();

    asio::io_context& context_;
    HttpClient& http_;
    const ReplicaProtocol& protocol_;
    MetadataStore& store_;
    Address replica_;
    std::string name_;
    OnChange onChange_;
    Signal wake_;
    std::string server_;
    std::string noServer_;
    bool isServerGone_ = false;
    EngineState state_;
    std::string loadingModel_;
    /// Grows with every start of an agent, since it is a revision of the store; 0 until there is one.
    int64_t fence_ = 0;
    bool isUp_ = false;
};

} // namespace endiveroad::io
