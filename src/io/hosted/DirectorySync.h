#pragma once

#include "io/hosted/Protocol.h"

#include <boost/asio/awaitable.hpp>
#include <endiveroad/Directory.h>
#include <endiveroad/DocumentSet.h>
#include <endiveroad/LeavingServers.h>
#include <endiveroad/ReaderElection.h>
#include <endiveroad_types.h>
#include <memory>
#include <optional>
#include <string>

/// Keeps a process's copy of the directory up to date. A few processes read it from the store and send the changes to
/// all others.
namespace endiveroad::io {

namespace asio = boost::asio;

class DirectoryListener {
public:
    virtual ~DirectoryListener() = default;

    virtual void onDirectory(std::shared_ptr<const Directory> before, std::shared_ptr<const Directory> current) = 0;

    /// Sends an encoded wire::DirectoryUpdate to all connected peers.
    virtual void publish(const std::string& update) = 0;
};

class DirectorySync {
public:
    /// Pause between two reads of the servers' registrations.
    static constexpr Duration readInterval = std::chrono::milliseconds(450);

    /// Time for which a watch on the operator's documents waits for a change.
    static constexpr std::chrono::milliseconds watchTime { 1000 };

    /// Pause between two reads of the coordinators' registrations.
    static constexpr Duration coordinatorInterval = std::chrono::milliseconds(2000);

    /// Pause after a failed call to the store, in a coordinator and in other processes.
    static constexpr Duration retryPause = std::chrono::milliseconds(400);
    static constexpr Duration nonCoordinatorRetryPause = std::chrono::milliseconds(1500);

    static constexpr Duration callTimeout = std::chrono::milliseconds(1500);

    /// Time for the answer to a watch after watchTime. Shorter than callTimeout, so that a change whose answer was lost
    /// is read again within 3 s of its acknowledgement.
    static constexpr Duration watchMargin = std::chrono::milliseconds(1000);

    /// Time after a store outage in which a missing server registration is kept, since the server may register again.
    /// Coordinators' registrations are removed as soon as a listing lacks them.
    static constexpr Duration reregistrationGrace = std::chrono::milliseconds(2200);

    /// Prefix under which coordinators register.
    static constexpr const char* coordinatorPrefix = "endiveroad/coordinators/";

    /// The election decides whether this process reads the store.
    DirectorySync(const DirectoryProtocol&, MetadataStore&, DirectoryListener&, ReaderElection);

    /// The current directory; never null.
    std::shared_ptr<const Directory> current() const { return current_; }

    /// Reads the servers' and coordinators' registrations while the election makes this process a reader; never
    /// returns.
    asio::awaitable<void> readServers();

    /// Watches the operator's documents under the same condition; never returns.
    asio::awaitable<void> watchOperatorDocuments();

    /// Applies an update from a peer.
    void onPeerUpdate(const std::string& peer, const std::string& payload);

    /// A server is leaving or was replaced; from now on the directory has it as draining. Returns whether this was not
    /// known.
    bool addLeaving(const DepartedServer&);
    const LeavingServers& leavingServers() const { return leavingServers_; }

    /// Encodes all documents as an update for a peer that has just connected.
    std::string encodeDocuments() const;

    /// True if this process or a connected coordinator has read the store recently.
    bool isFresh() const;

    /// True if the operator's documents that this process has were confirmed within the time: it read or watched them
    /// itself, or a coordinator that had done so sent a fresh update.
    bool isConfirmedWithin(Duration) const;

    /// True if this process has read the coordinators' registrations itself, and found none in its last reading or in
    /// news since.
    bool areNoCoordinatorsRegistered() const { return hasReadCoordinators_ && current_->coordinators.empty(); }

    static std::string encodeCoordinator(const CoordinatorRecord&);

private:
    bool shouldRead();
    Duration pauseAfterFailure() const { return election_.isCoordinator() ? retryPause : nonCoordinatorRetryPause; }
    asio::awaitable<void> readServersOnce();
    asio::awaitable<void> readCoordinatorsOnce();
    asio::awaitable<void> readOperatorDocuments();
    /// DirectoryProtocol::withoutSecrets() of each.
    std::vector<Document> withoutSecrets(std::vector<Document>) const;
    void onReadSucceeded();
    void onReadFailed(const char* what, const Error&);
    /// Merges the documents, publishes those whose meaning changed, and notifies the listener. With
    /// isRegistrationRead they come from this process's own listing of registrations, which counts for the election.
    void applyDocuments(const std::vector<Document>&, bool isRegistrationRead);
    void rebuild();
    /// Adds the keys of registrations that cannot be decoded to `unreadable`.
    void decodeCoordinators(Directory&, std::vector<std::string>& unreadable) const;

    const DirectoryProtocol& protocol_;
    MetadataStore& store_;
    DirectoryListener& listener_;
    ReaderElection election_;
    DocumentSet documents_;
    LeavingServers leavingServers_;
    std::shared_ptr<const Directory> current_;
    std::vector<std::string> unreadable_;
    /// Revision after which the operator's documents are watched; nothing if they have to be listed first.
    std::optional<int64_t> operatorRevision_;
    Instant nextCoordinatorReadAt_ = Instant::min();
    /// Before this time, servers that are missing from a listing are kept.
    Instant removalsAllowedFrom_ = Instant::min();
    /// Until this time the operator's documents count as freshly read.
    Instant operatorFreshUntil_ = Instant::min();
    /// Last confirmation of the operator's documents.
    Instant confirmedAt_ = Instant::min();
    bool isReading_ = false;
    bool isStoreUnreachable_ = false;
    bool hasReadCoordinators_ = false;
};

} // namespace endiveroad::io
