#pragma once

#include "io/Clock.h"
#include "io/Tasks.h"
#include "io/hosted/DirectorySync.h"
#include "wire/Codec.h"

#include <endiveroad/Error.h>

/// A store and a directory format for tests of what keeps the directory.
namespace endiveroad::test {

using namespace endiveroad::io;

/// Decodes each server's key as its id and ignores the values.
class KeyOnlyDirectoryProtocol : public DirectoryProtocol {
public:
    std::string operatorPrefix() const override { return "routes/"; }
    std::string serverPrefix() const override { return "servers/"; }
    Directory decode(const DocumentSet& documents, std::vector<std::string>&) const override
    {
        Directory directory;
        for (const Document* document : documents.find("servers/"))
            directory.servers[document->key].id = document->key;
        return directory;
    }
    Document withoutSecrets(Document document) const override
    {
        if (document.value == "secret")
            document.value = "digest";
        return document;
    }
    bool isEquivalent(const Document& a, const Document& b) const override { return a.isRemoved == b.isRemoved; }
    std::string retirementReportKey(const std::string& vm) const override { return "retired/" + vm; }
    std::string encodeRetirementReport(RetirementState state) const override
    {
        return state == RetirementState::Completed ? "completed" : "running";
    }
    RetirementState decodeRetirementReport(const std::string& value) const override
    {
        return value == "completed" ? RetirementState::Completed : RetirementState::Running;
    }
};

/// Lists a fixed set of keys, or fails as unreachable.
class KeyListStore : public MetadataStore {
public:
    asio::awaitable<std::optional<Document>> read(std::string, Instant) override { co_return std::nullopt; }
    asio::awaitable<StoreListing> list(std::string prefix, bool, Instant) override
    {
        if (isUnreachable)
            throw StoreUnavailableError("away");
        StoreListing listing;
        listing.asOf = ++revision;
        for (const std::string& key : keys) {
            if (key.starts_with(prefix))
                listing.documents.push_back({ key, revision, value, false });
        }
        co_return listing;
    }
    asio::awaitable<StoreChanges> watch(std::string, int64_t, std::chrono::milliseconds, Instant deadline) override
    {
        const bool isSilent = isWatchSilent;
        co_await sleepFor(isSilent ? deadline - now() : std::chrono::milliseconds(50));
        if (isUnreachable || isSilent)
            throw StoreUnavailableError("away");
        StoreChanges answer;
        answer.documents = std::move(changes);
        changes.clear();
        co_return answer;
    }
    asio::awaitable<CommitResult> commit(StoreTransaction, Instant) override { co_return CommitResult {}; }
    asio::awaitable<int64_t> grantLease(std::chrono::milliseconds, Instant) override { co_return 1; }
    asio::awaitable<bool> renewLease(int64_t, Instant) override { co_return true; }
    asio::awaitable<void> endLease(int64_t, Instant) override { co_return; }

    std::vector<std::string> keys { "servers/a", "servers/b" };
    int64_t revision = 10;
    /// Value of every listed document.
    std::string value;
    /// Returned by the next watch.
    std::vector<Document> changes;
    /// Answers to watches are lost.
    bool isWatchSilent = false;
    bool isUnreachable = false;
};

class Listener : public DirectoryListener {
public:
    void onDirectory(std::shared_ptr<const Directory>, std::shared_ptr<const Directory> current) override
    {
        servers = current->servers.size();
    }
    void publish(const std::string& update) override
    {
        freshUpdates += wire::decode<wire::DirectoryUpdate>(update).isFresh ? 1 : 0;
        published += update;
    }

    size_t servers = 0;
    int freshUpdates = 0;
    /// All updates, as sent.
    std::string published;
};

} // namespace endiveroad::test
