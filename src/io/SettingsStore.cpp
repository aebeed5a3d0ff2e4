#include "io/SettingsStore.h"

#include "io/Clock.h"
#include "io/Tasks.h"

#include <endiveroad/Error.h>
#include <endiveroad/SettingsExplain.h>
#include <fmt/format.h>
#include <random>
#include <set>

namespace endiveroad::io {

namespace {

constexpr size_t maxShownChanges = 20;

std::string storeKeyOf(const std::string& part)
{
    return std::string(SettingsStore::partPrefix) + part;
}

std::string formatChanges(const SettingsValue& before, const SettingsValue& after)
{
    const auto changes = compareSettings(before, after);
    std::string text;
    for (size_t i = 0; i < std::min(changes.size(), maxShownChanges); ++i)
        text += "\n    " + changes[i].text();
    if (changes.size() > maxShownChanges)
        text += fmt::format("\n    and {} more", changes.size() - maxShownChanges);
    return text.empty() ? "\n    nothing" : text;
}

/// Chooses the keys of a tree's parts: the key in the base if the text is unchanged, else a new one. Adds the new keys
/// and their texts to created.
std::map<std::string, std::string> chooseKeys(const SettingsValue& tree, const SettingsHead& base,
    const std::string& writeId, std::map<std::string, std::string>& created)
{
    std::map<std::string, std::string> keys;
    for (auto& [name, text] : splitSettings(tree)) {
        const auto found = base.parts.find(name);
        if (found != base.parts.end() && isKeyForText(found->second, text)) {
            keys[name] = found->second;
            continue;
        }
        keys[name] = partKey(text, writeId);
        created[keys[name]] = text;
    }
    return keys;
}

SettingsRevision revisionOf(const SettingsWrite& write)
{
    SettingsRevision revision;
    revision.writeId = write.writeId;
    revision.author = write.author;
    revision.appliedMs = write.appliedMs;
    return revision;
}

} // namespace

BackoffRetryPolicy::BackoffRetryPolicy(Instant deadline)
    : deadline_(deadline)
{
}

Instant BackoffRetryPolicy::callDeadline() const
{
    return std::min(deadline_, now() + callTimeout);
}

asio::awaitable<bool> BackoffRetryPolicy::waitBeforeRetry(int attempt)
{
    static thread_local std::minstd_rand random { std::random_device {}() };
    const Duration bound = std::min(maxDelay, firstDelay * (1 << std::min(attempt, 10)));
    const Duration delay(std::uniform_int_distribution<int64_t>(1, bound.count())(random));
    if (now() + delay >= deadline_)
        co_return false;
    co_await sleepFor(delay);
    co_return true;
}

SettingsStore::SettingsStore(StoreClient& client, StoreRetryPolicy& retryPolicy)
    : client_(client)
    , retryPolicy_(retryPolicy)
{
}

asio::awaitable<std::optional<StoredValue>> SettingsStore::read(std::string key)
{
    for (int attempt = 0;; ++attempt) {
        std::string failure;
        try {
            co_return co_await client_.read(key, retryPolicy_.callDeadline());
        } catch (const StoreUnavailableError& error) {
            failure = error.what();
        }
        const bool mayRetry = co_await retryPolicy_.waitBeforeRetry(attempt);
        if (!mayRetry)
            throw StoreUnavailableError(failure);
    }
}

asio::awaitable<bool> SettingsStore::create(std::string key, std::string value)
{
    for (int attempt = 0;; ++attempt) {
        std::string failure;
        try {
            co_return co_await client_.compareAndSwap(key, 0, value, retryPolicy_.callDeadline());
        } catch (const StoreUnavailableError& error) {
            failure = error.what();
        }
        const bool mayRetry = co_await retryPolicy_.waitBeforeRetry(attempt);
        if (!mayRetry)
            throw StoreUnavailableError(failure);
    }
}

asio::awaitable<SettingsStore::StoredHead> SettingsStore::readHead()
{
    const auto stored = co_await read(std::string(headKey));
    StoredHead result;
    if (stored) {
        result.head = SettingsHead::decode(stored->value);
        result.modRevision = stored->modRevision;
        headModRevision_ = stored->modRevision;
    }
    co_return result;
}

asio::awaitable<SettingsHead> SettingsStore::head()
{
    const StoredHead stored = co_await readHead();
    co_return stored.head;
}

asio::awaitable<std::optional<SettingsDocument>> SettingsStore::loadParts(
    std::map<std::string, std::string> keys, SettingsDocument known)
{
    SettingsDocument document;
    for (const auto& [name, key] : keys) {
        const auto found = known.parts.find(name);
        if (found != known.parts.end() && found->second.key == key) {
            document.parts.insert(*found);
            continue;
        }
        const auto stored = co_await read(storeKeyOf(key));
        if (!stored)
            co_return std::nullopt;
        SettingsPart part;
        part.key = key;
        part.text = stored->value;
        document.parts.emplace(name, std::move(part));
    }
    co_return document;
}

asio::awaitable<std::optional<SettingsDocument>> SettingsStore::load(SettingsDocument known)
{
    for (int attempt = 0;; ++attempt) {
        const StoredHead stored = co_await readHead();
        if (stored.head.revision() == 0)
            co_return std::nullopt;
        // Parts may be missing because the head was replaced meanwhile; then the next attempt reads the new head.
        auto document = co_await loadParts(stored.head.parts, known);
        if (document) {
            document->revision = stored.head.revision();
            document->writeId = stored.head.writeId();
            co_return document;
        }
        const bool mayRetry = co_await retryPolicy_.waitBeforeRetry(attempt);
        if (!mayRetry)
            throw StoreUnavailableError("a part of the settings is missing");
    }
}

asio::awaitable<void> SettingsStore::removeAll(std::vector<std::string> keys)
{
    for (const std::string& key : keys)
        co_await client_.remove(storeKeyOf(key), retryPolicy_.callDeadline());
}

asio::awaitable<int64_t> SettingsStore::swapHead(StoredHead before, SettingsHead after)
{
    const std::string value = after.encode();
    for (int attempt = 0;; ++attempt) {
        std::string failure = "the head did not change";
        try {
            const bool isWritten = co_await client_.compareAndSwap(
                std::string(headKey), before.modRevision, value, retryPolicy_.callDeadline());
            if (isWritten)
                co_return after.revision();
        } catch (const StoreUnavailableError& error) {
            failure = error.what();
        }
        // The write may have taken effect although its answer was lost. A retry has the same expected revision, so it
        // cannot take effect twice.
        const StoredHead current = co_await readHead();
        const auto revision = current.head.revisionOf(after.writeId());
        if (revision)
            co_return *revision;
        if (current.modRevision > before.modRevision)
            co_return 0;
        const bool mayRetry = co_await retryPolicy_.waitBeforeRetry(attempt);
        if (!mayRetry)
            throw StoreUnavailableError(failure);
    }
}

asio::awaitable<std::string> SettingsStore::conflictText(SettingsHead before, SettingsHead after, SettingsValue wanted)
{
    const int64_t base = before.revision();
    std::string text = fmt::format("revision {} is in force, not {}", after.revision(), base);
    const SettingsDocument none;
    // The service keeps the parts of the base as long as the history contains its revision.
    const auto baseKeys = after.partsAt(base);
    if (!baseKeys && base != 0)
        co_return text;
    std::map<std::string, std::string> keysOfBase;
    if (baseKeys)
        keysOfBase = *baseKeys;
    const auto baseDocument = co_await loadParts(keysOfBase, none);
    if (!baseDocument)
        co_return text;
    const auto current = co_await loadParts(after.parts, *baseDocument);
    if (!current)
        co_return text;
    const SettingsValue baseTree = baseDocument->tree();
    text += fmt::format("\n  {} changed since revision {}:{}", after.history.front().author, base,
        formatChanges(baseTree, current->tree()));
    text += fmt::format("\n  your change would be:{}", formatChanges(baseTree, wanted));
    co_return text;
}

asio::awaitable<int64_t> SettingsStore::apply(SettingsWrite write, SettingsValue tree)
{
    const StoredHead before = co_await readHead();
    if (write.expectedRevision && *write.expectedRevision != before.head.revision()) {
        SettingsHead expected;
        expected.history.emplace_back();
        expected.history.front().revision = *write.expectedRevision;
        const std::string text = co_await conflictText(expected, before.head, tree);
        throw SettingsConflictError(text);
    }
    std::map<std::string, std::string> created;
    auto keys = chooseKeys(tree, before.head, write.writeId, created);
    SettingsHead after = before.head.next(std::move(keys), revisionOf(write));
    bool hasRemovedRetired = true;
    try {
        co_await removeAll(before.head.retired);
    } catch (const StoreUnavailableError&) {
        hasRemovedRetired = false;
    }
    if (!hasRemovedRetired)
        after.retired.insert(after.retired.end(), before.head.retired.begin(), before.head.retired.end());
    std::vector<std::string> createdKeys;
    for (const auto& [key, text] : created) {
        createdKeys.push_back(key);
        co_await create(storeKeyOf(key), text);
    }
    int64_t revision = 0;
    std::string failure;
    try {
        revision = co_await swapHead(before, after);
    } catch (const StoreUnavailableError& error) {
        failure = error.what();
    }
    if (!failure.empty())
        throw StoreUnavailableError(
            fmt::format("{}; write {} may be in force: see settings history", failure, write.writeId));
    if (revision != 0)
        co_return revision;
    // Another write has replaced the head, so this one can no longer take effect.
    const StoredHead current = co_await readHead();
    const std::string text = co_await conflictText(before.head, current.head, tree);
    try {
        co_await removeAll(createdKeys);
    } catch (const StoreUnavailableError&) {
        // The unused parts remain in the service, where they only take up space.
    }
    throw SettingsConflictError(text);
}

asio::awaitable<int64_t> SettingsStore::rollBack(SettingsWrite write, int64_t revision)
{
    const StoredHead current = co_await readHead();
    const auto keys = current.head.partsAt(revision);
    if (!keys)
        throw NotFoundError(fmt::format("the history has no revision {}", revision));
    const SettingsDocument none;
    const auto document = co_await loadParts(*keys, none);
    if (!document)
        throw StoreUnavailableError("a part of the settings is missing");
    if (!write.expectedRevision)
        write.expectedRevision = current.head.revision();
    co_return co_await apply(write, document->tree());
}

} // namespace endiveroad::io
