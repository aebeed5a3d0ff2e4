#include "io/FakeStore.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <set>

using namespace endiveroad;
using namespace endiveroad::io;

namespace {

/// A settings tree with the given number of slots for each pool.
SettingsValue treeOf(const std::map<std::string, int>& slots)
{
    std::string text = R"({"organisation":"t","regions":{"r":{"pools":{)";
    for (const auto& [pool, count] : slots)
        text += fmt::format(R"({}"{}":{{"call":{{"slots":{}}}}})", text.back() == '{' ? "" : ",", pool, count);
    std::vector<SettingsFault> faults;
    return parseSettingsText(text + "}}}}", "", faults);
}

enum class Outcome { Open, Done, Conflict, Unknown };

/// One operator's attempt to change the tree.
struct Attempt {
    std::string writeId;
    SettingsValue tree;
    Outcome outcome = Outcome::Open;
    int64_t revision = 0;
    std::string detail;
};

asio::awaitable<void> run(SettingsStore& store, Attempt& attempt, std::optional<int64_t> expected)
{
    SettingsWrite write;
    write.writeId = attempt.writeId;
    write.author = attempt.writeId;
    write.expectedRevision = expected;
    try {
        attempt.revision = co_await store.apply(write, attempt.tree);
        attempt.outcome = Outcome::Done;
    } catch (const SettingsConflictError& error) {
        attempt.outcome = Outcome::Conflict;
        attempt.detail = error.what();
    } catch (const StoreUnavailableError&) {
        attempt.outcome = Outcome::Unknown;
    }
}

/// The revision of each write, from every head that was ever stored. Checks that revisions are consecutive and that no
/// write occurs twice.
std::map<std::string, int64_t> revisionsByWrite(const FakeStore& fake)
{
    std::map<std::string, int64_t> revisions;
    int64_t last = 0;
    for (const std::string& text : fake.heads) {
        const SettingsHead head = SettingsHead::decode(text);
        REQUIRE(head.revision() == last + 1);
        last = head.revision();
        REQUIRE(revisions.emplace(head.writeId(), last).second);
    }
    return revisions;
}

SettingsValue loadTree(FakeStore& fake)
{
    asio::io_context context;
    LimitedRetryPolicy retryPolicy(3);
    SettingsStore store(fake, retryPolicy);
    std::optional<SettingsDocument> document;
    const SettingsDocument none;
    auto body = [&]() -> asio::awaitable<void> { document = co_await store.load(none); };
    asio::co_spawn(context, body, asio::detached);
    context.run();
    REQUIRE(document);
    return document->tree();
}

void checkHistory(uint32_t seed, std::map<Outcome, int>& outcomes)
{
    FakeStore fake(seed);
    fake.faultPercent = fake.draw(3) * 10;
    if (fake.draw(3) == 0) {
        fake.callsUntilOutage = fake.draw(60);
        fake.outageCalls = 1 + fake.draw(60);
    }
    LimitedRetryPolicy retryPolicy(6);
    SettingsStore store(fake, retryPolicy);
    asio::io_context context;
    std::vector<Attempt> attempts(2 + static_cast<size_t>(fake.draw(4)));
    for (size_t i = 0; i < attempts.size(); ++i) {
        attempts[i].writeId = fmt::format("w{}", i);
        std::map<std::string, int> slots { { "a", 1 }, { "b", 2 }, { "c", 3 } };
        slots[std::string(1, static_cast<char>('a' + fake.draw(4)))] = 10 + static_cast<int>(i);
        attempts[i].tree = treeOf(slots);
        std::optional<int64_t> expected;
        if (fake.draw(2) == 0)
            expected = fake.draw(2);
        asio::co_spawn(
            context, [&, i, expected] { return run(store, attempts[i], expected); }, asio::detached);
        // Some operators run concurrently, others after the previous ones have finished.
        if (fake.draw(2) == 0) {
            context.run();
            context.restart();
        }
    }
    context.run();
    INFO("seed " << seed);
    const auto revisions = revisionsByWrite(fake);
    REQUIRE(fake.missingParts == 0);
    for (const Attempt& attempt : attempts) {
        INFO(attempt.writeId << " " << attempt.detail);
        const bool isWritten = revisions.contains(attempt.writeId);
        if (attempt.outcome == Outcome::Done) {
            REQUIRE(isWritten);
            REQUIRE(revisions.at(attempt.writeId) == attempt.revision);
        }
        if (attempt.outcome == Outcome::Conflict)
            REQUIRE_FALSE(isWritten);
        REQUIRE(attempt.outcome != Outcome::Open);
        ++outcomes[attempt.outcome];
    }
    if (fake.heads.empty())
        return;
    fake.faultPercent = 0;
    fake.outageCalls = 0;
    const std::string last = SettingsHead::decode(fake.heads.back()).writeId();
    for (const Attempt& attempt : attempts) {
        if (attempt.writeId == last)
            REQUIRE(loadTree(fake).json() == attempt.tree.json());
    }
}

} // namespace

TEST_CASE(
    "concurrent operators, lost and late answers and outages never write twice or report a wrong outcome", "[settings]")
{
    constexpr uint32_t histories = 12000;
    std::map<Outcome, int> outcomes;
    for (uint32_t seed = 1; seed <= histories; ++seed)
        checkHistory(seed, outcomes);
    // Guards against a generator that rarely produces one of the outcomes.
    CHECK(outcomes[Outcome::Done] > 5000);
    CHECK(outcomes[Outcome::Conflict] > 5000);
    CHECK(outcomes[Outcome::Unknown] > 1000);
}

TEST_CASE("a conflict message lists both changes", "[settings]")
{
    FakeStore fake(1);
    LimitedRetryPolicy retryPolicy(3);
    SettingsStore store(fake, retryPolicy);
    asio::io_context context;
    std::vector<Attempt> attempts(3);
    attempts[0] = { "base", treeOf({ { "a", 1 }, { "b", 2 } }) };
    attempts[1] = { "first", treeOf({ { "a", 7 }, { "b", 2 } }) };
    attempts[2] = { "second", treeOf({ { "a", 1 }, { "b", 9 } }) };
    for (size_t i = 0; i < attempts.size(); ++i) {
        asio::co_spawn(
            context, [&, i] { return run(store, attempts[i], std::min<int64_t>(static_cast<int64_t>(i), 1)); },
            asio::detached);
        context.run();
        context.restart();
    }
    CHECK(attempts[1].revision == 2);
    REQUIRE(attempts[2].outcome == Outcome::Conflict);
    CHECK(attempts[2].detail
        == "revision 2 is in force, not 1\n  first changed since revision 1:\n    ~ /regions/r/pools/a/call/slots: 1 "
           "-> "
           "7\n  your change would be:\n    ~ /regions/r/pools/b/call/slots: 2 -> 9");
}

TEST_CASE("parts that no revision refers to are removed, and the history is limited", "[settings]")
{
    FakeStore fake(1);
    LimitedRetryPolicy retryPolicy(3);
    SettingsStore store(fake, retryPolicy);
    asio::io_context context;
    std::vector<Attempt> attempts(120);
    for (size_t i = 0; i < attempts.size(); ++i) {
        attempts[i] = { fmt::format("w{}", i), treeOf({ { "a", static_cast<int>(i) }, { "b", 2 } }) };
        asio::co_spawn(
            context, [&, i] { return run(store, attempts[i], std::nullopt); }, asio::detached);
        context.run();
        context.restart();
        REQUIRE(attempts[i].revision == static_cast<int64_t>(i) + 1);
    }
    const SettingsHead head = SettingsHead::decode(fake.heads.back());
    CHECK(head.history.size() == SettingsHead::maxHistory);
    CHECK(head.revision() == 120);
    CHECK(fake.missingParts == 0);
    // The head, three parts that never changed, 50 versions of pool a and one retired version not yet removed.
    CHECK(fake.values.size() == 1 + 3 + 50 + 1);
    int64_t revision = 0;
    SettingsWrite write;
    write.writeId = "back";
    auto body = [&]() -> asio::awaitable<void> { revision = co_await store.rollBack(write, 80); };
    asio::co_spawn(context, body, asio::detached);
    context.run();
    CHECK(revision == 121);
    CHECK(loadTree(fake).json() == attempts[79].tree.json());
}
