#pragma once

#include "io/hosted/Protocol.h"

#include <boost/asio/awaitable.hpp>
#include <endiveroad/Directory.h>
#include <endiveroad/DocumentSet.h>
#include <endiveroad/ReaderElection.h>
#include <endiveroad_types.h>
#include <memory>
#include <optional>
#include <string>

/// Keeps a process's view of the directory: read from the store by a few processes, told to all others.
namespace endiveroad::io {

namespace asio = boost::asio;

class DirectoryListener {
public:
    virtual ~DirectoryListener() = default;

    virtual void onDirectory(std::shared_ptr<const Directory> before, std::shared_ptr<const Directory> present) = 0;

    /// Sends an encoded DirectoryUpdate to all connected peers.
    virtual void publish(const std::string& update) = 0;
};

class DirectoryKeeper {
public:
    /// Pause between two readings of the servers' registrations.
    static constexpr Duration readInterval = std::chrono::milliseconds(450);

    /// Time for which a watch of the operator's documents waits for a change.
    static constexpr std::chrono::milliseconds watchTime { 1000 };

    /// Pause between two readings of the coordinators' registrations.
    static constexpr Duration coordinatorInterval = std::chrono::milliseconds(2000);

    /// Pause after a failed call, of a coordinator and of other processes.
    static constexpr Duration retryPause = std::chrono::milliseconds(400);
    static constexpr Duration retryPauseOfOthers = std::chrono::milliseconds(1500);

    static constexpr Duration callTimeout = std::chrono::milliseconds(1500);

    /// Time after an outage of the store in which a registration that is missing may still come back.
    static constexpr Duration returnGrace = std::chrono::milliseconds(2200);

    /// Prefix under which coordinators register.
    static constexpr const char* coordinatorPrefix = "endiveroad/coordinators/";

    DirectoryKeeper(const DirectoryProtocol&, MetadataStore&, DirectoryListener&, ReaderElection);

    /// The present view; never null.
    std::shared_ptr<const Directory> current() const { return current_; }

    /// Reads the store whenever no other process does.
    asio::awaitable<void> readServers();
    asio::awaitable<void> followOperator();

    /// Takes what a peer told.
    void onUpdate(const std::string& peer, const std::string& payload);

    /// Everything known, for a peer that has just connected.
    std::string everything() const;

    /// True if the view is read from the store by this or a connected process.
    bool isFresh() const;

    static std::string encodeCoordinator(const CoordinatorRecord&);

private:
    bool shouldRead();
    Duration pauseAfterFailure() const { return election_.isCoordinator() ? retryPause : retryPauseOfOthers; }
    asio::awaitable<void> readServersOnce();
    asio::awaitable<void> readCoordinatorsOnce();
    asio::awaitable<void> readOperatorOnce();
    void onReadSucceeded();
    void onReadFailed(const char* what, const Error&);
    /// Merges, publishes what means something new, and tells the listener.
    void take(const std::vector<Document>&, bool isFresh);
    void rebuild();
    void decodeCoordinators(Directory&) const;

    const DirectoryProtocol& protocol_;
    MetadataStore& store_;
    DirectoryListener& listener_;
    ReaderElection election_;
    DocumentSet documents_;
    std::shared_ptr<const Directory> current_;
    std::vector<std::string> unreadable_;
    /// Revision from which the operator's documents are watched; nothing if they have to be listed first.
    std::optional<int64_t> operatorAsOf_;
    Instant coordinatorsDueAt_ = Instant::min();
    Instant removalsFrom_ = Instant::min();
    Instant operatorFreshUntil_ = Instant::min();
    bool isReading_ = false;
    bool isStoreAway_ = false;
};

} // namespace endiveroad::io
