#include "io/hosted/DirectorySync.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

namespace {

/// Interval at which a process that does not read the store checks whether it has to.
constexpr Duration electionInterval = std::chrono::milliseconds(50);

/// Time after a successful watch or listing in which the operator's documents count as fresh.
constexpr Duration operatorFreshness = std::chrono::milliseconds(2500);

wire::Document toWire(const Document& document)
{
    wire::Document encoded;
    encoded.key = document.key;
    encoded.revision = document.revision;
    encoded.value = document.value;
    encoded.isRemoved = document.isRemoved;
    return encoded;
}

std::string summary(const Directory& directory)
{
    return fmt::format("configuration {}, servers {}, coordinators {}",
        directory.routing ? directory.routing->version : 0, directory.servers.size(), directory.coordinators.size());
}

/// The software versions of the service that serve side by side, with the number of servers of each.
std::string softwareSummary(const Directory& directory, const std::string& service)
{
    std::map<std::string, size_t> counts;
    for (const ServerRecord* server : directory.readyServers(service))
        ++counts[server->softwareVersion];
    std::string text;
    for (const auto& [version, count] : counts)
        text += fmt::format("{}{}: {}", text.empty() ? "" : ", ", version.empty() ? "unknown" : version, count);
    return text;
}

std::set<std::string> servicesOf(const Directory& directory)
{
    std::set<std::string> services;
    for (const auto& [id, server] : directory.servers)
        services.insert(server.service);
    return services;
}

} // namespace

DirectorySync::DirectorySync(
    const DirectoryProtocol& protocol, MetadataStore& store, DirectoryListener& listener, ReaderElection election)
    : protocol_(protocol)
    , store_(store)
    , listener_(listener)
    , election_(std::move(election))
    , current_(std::make_shared<const Directory>())
{
}

bool DirectorySync::shouldRead()
{
    const bool should = election_.shouldRead(now());
    if (should == isReading_)
        return should;
    isReading_ = should;
    operatorRevision_.reset();
    log(Event::DirectoryReader, { { "reads", should ? "yes" : "no" } });
    return should;
}

bool DirectorySync::isFresh() const
{
    return election_.hasRecentRead(now());
}

bool DirectorySync::isConfirmedWithin(Duration time) const
{
    return now() < confirmedAt_ + time;
}

asio::awaitable<void> DirectorySync::readServers()
{
    while (true) {
        if (!shouldRead()) {
            co_await sleepFor(electionInterval);
            continue;
        }
        Duration pause = readInterval;
        try {
            co_await readServersOnce();
            if (now() >= nextCoordinatorReadAt_)
                co_await readCoordinatorsOnce();
            onReadSucceeded();
        } catch (const Error& error) {
            onReadFailed("servers", error);
            pause = pauseAfterFailure();
        }
        co_await sleepFor(pause);
    }
}

asio::awaitable<void> DirectorySync::watchOperatorDocuments()
{
    while (true) {
        if (!shouldRead()) {
            co_await sleepFor(electionInterval);
            continue;
        }
        Duration pause = Duration::zero();
        try {
            co_await readOperatorDocuments();
            operatorFreshUntil_ = now() + operatorFreshness;
            confirmedAt_ = now();
        } catch (const HistoryLostError&) {
            operatorRevision_.reset();
            pause = electionInterval;
        } catch (const Error& error) {
            onReadFailed("operator", error);
            operatorRevision_.reset();
            pause = pauseAfterFailure();
        }
        if (pause > Duration::zero())
            co_await sleepFor(pause);
    }
}

asio::awaitable<void> DirectorySync::readServersOnce()
{
    const std::string prefix = protocol_.serverPrefix();
    const StoreListing listing = co_await store_.list(prefix, false, now() + callTimeout);
    std::vector<Document> documents = listing.documents;
    // Registrations that expired during a store outage return soon after it, so they are not removed at once.
    if (now() >= removalsAllowedFrom_) {
        for (Document& missing : documents_.missingIn(prefix, listing.documents, listing.asOf))
            documents.push_back(std::move(missing));
    }
    applyDocuments(documents, true);
}

asio::awaitable<void> DirectorySync::readCoordinatorsOnce()
{
    const StoreListing listing = co_await store_.list(coordinatorPrefix, true, now() + callTimeout);
    std::vector<Document> documents = listing.documents;
    for (Document& missing : documents_.missingIn(coordinatorPrefix, listing.documents, listing.asOf))
        documents.push_back(std::move(missing));
    applyDocuments(documents, true);
    hasReadCoordinators_ = true;
    nextCoordinatorReadAt_ = now() + coordinatorInterval;
}

asio::awaitable<void> DirectorySync::readOperatorDocuments()
{
    const std::string prefix = protocol_.operatorPrefix();
    if (operatorRevision_) {
        const Instant deadline = now() + watchMargin + std::chrono::duration_cast<Duration>(watchTime);
        const StoreChanges changes = co_await store_.watch(prefix, *operatorRevision_, watchTime, deadline);
        // Keep the revision after an empty answer: if the watch has silently stopped delivering changes, its revision
        // falls out of the store's history in time, and the call throws HistoryLostError.
        for (const Document& document : changes.documents)
            operatorRevision_ = std::max(*operatorRevision_, document.revision);
        applyDocuments(withoutSecrets(changes.documents), false);
        co_return;
    }
    const StoreListing listing = co_await store_.list(prefix, false, now() + callTimeout);
    std::vector<Document> documents = listing.documents;
    for (Document& missing : documents_.missingIn(prefix, listing.documents, listing.asOf))
        documents.push_back(std::move(missing));
    operatorRevision_ = listing.asOf;
    applyDocuments(withoutSecrets(std::move(documents)), false);
}

std::vector<Document> DirectorySync::withoutSecrets(std::vector<Document> documents) const
{
    for (Document& document : documents)
        document = protocol_.withoutSecrets(std::move(document));
    return documents;
}

void DirectorySync::onReadSucceeded()
{
    if (!isStoreUnreachable_)
        return;
    isStoreUnreachable_ = false;
    removalsAllowedFrom_ = now() + reregistrationGrace;
    log(Event::StoreAvailable);
}

void DirectorySync::onReadFailed(const char* what, const Error& error)
{
    if (!isStoreUnreachable_)
        log(Event::StoreUnavailable, { { "reading", what }, { "reason", error.what() } });
    isStoreUnreachable_ = true;
    removalsAllowedFrom_ = never;
}

void DirectorySync::onPeerUpdate(const std::string& peer, const std::string& payload)
{
    const auto update = wire::decode<wire::DirectoryUpdate>(payload);
    if (update.isFresh)
        election_.onPeerRead(peer, now());
    std::vector<Document> documents;
    for (const wire::Document& document : update.documents)
        documents.push_back({ document.key, document.revision, document.value, document.isRemoved });
    applyDocuments(documents, false);
    if (update.isFresh)
        confirmedAt_ = now();
}

bool DirectorySync::addLeaving(const DepartedServer& server)
{
    const bool isNews = leavingServers_.add(server, now());
    if (isNews)
        rebuild();
    return isNews;
}

std::string DirectorySync::encodeDocuments() const
{
    wire::DirectoryUpdate update;
    for (const auto& [key, document] : documents_.all())
        update.documents.push_back(toWire(document));
    return wire::encode(update);
}

void DirectorySync::applyDocuments(const std::vector<Document>& documents, bool isRegistrationRead)
{
    wire::DirectoryUpdate update;
    for (const Document& document : documents) {
        const auto stored = documents_.all().find(document.key);
        const bool isChange = stored == documents_.all().end() || !protocol_.isEquivalent(stored->second, document);
        if (documents_.merge(document) && isChange)
            update.documents.push_back(toWire(document));
    }
    if (isRegistrationRead)
        election_.onOwnRead(now());
    // Other processes rely on coordinators' reads only.
    update.isFresh = election_.isCoordinator() && isRegistrationRead && operatorFreshUntil_ > now();
    const bool isChanged = !update.documents.empty();
    if (isChanged || update.isFresh)
        listener_.publish(wire::encode(update));
    if (isChanged)
        rebuild();
}

void DirectorySync::rebuild()
{
    std::vector<std::string> unreadable;
    Directory directory = protocol_.decode(documents_, unreadable);
    decodeCoordinators(directory, unreadable);
    leavingServers_.apply(directory, now());
    directory.markReplacedServers();
    for (const std::string& entry : unreadable) {
        if (std::find(unreadable_.begin(), unreadable_.end(), entry) == unreadable_.end())
            log(Event::DirectoryUnreadable, { { "entry", entry } });
    }
    unreadable_ = std::move(unreadable);
    // Without a configuration that can be decoded, the previous one stays in force.
    if (!directory.routing)
        directory.routing = current_->routing;
    const auto before = current_;
    current_ = std::make_shared<const Directory>(std::move(directory));
    if (*before == *current_)
        return;
    log(Event::DirectoryChanged, { { "state", summary(*current_) } });
    for (const std::string& service : servicesOf(*current_)) {
        const std::string versions = softwareSummary(*current_, service);
        if (versions != softwareSummary(*before, service))
            log(Event::SoftwareChanged, { { "service", service }, { "versions", versions } });
    }
    listener_.onDirectory(before, current_);
}

void DirectorySync::decodeCoordinators(Directory& directory, std::vector<std::string>& unreadable) const
{
    for (const Document* document : documents_.find(coordinatorPrefix)) {
        CoordinatorRecord record;
        record.name = document->key.substr(std::string_view(coordinatorPrefix).size());
        try {
            const auto object = nlohmann::json::parse(document->value);
            record.failureDomain = object.value("failureDomain", "");
            record.peer = Address::parse(object.value("peer", ""));
        } catch (const std::exception&) {
            // Only coordinators write under this prefix, so a value that cannot be decoded was written by a later
            // version of the coordinator.
            unreadable.push_back(document->key);
            continue;
        }
        std::string name = record.name;
        directory.coordinators.emplace(std::move(name), std::move(record));
    }
}

std::string DirectorySync::encodeCoordinator(const CoordinatorRecord& record)
{
    return nlohmann::json { { "peer", record.peer.text() }, { "failureDomain", record.failureDomain } }.dump();
}

} // namespace endiveroad::io
