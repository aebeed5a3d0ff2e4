#include "VirtualTime.h"
#include "io/Tasks.h"
#include "io/hosted/StreamOriginAnnouncer.h"
#include "io/hosted/StreamOriginKeeper.h"
#include "wire/Codec.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>
#include <map>
#include <random>
#include <set>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace std::chrono_literals;

namespace {

const SoftwareVersion older { "engines", "v1" };
const SoftwareVersion newer { "engines", "v2" };

class Cluster;

/// A process as the others reach it.
class Process : public StreamOriginSources {
public:
    Process(Cluster& cluster, std::string name)
        : cluster_(cluster)
        , name_(std::move(name))
    {
    }

    const std::string& ownName() const override { return name_; }
    std::vector<std::string> originKeepers() const override;
    void sendOrigins(const std::string& coordinator, const std::string& notice) override;
    asio::awaitable<std::string> askOrigin(std::string coordinator, std::string query, Instant deadline) override;

private:
    Cluster& cluster_;
    std::string name_;
};

/// Entries and coordinators. Coordinators are connected to all; a silent one takes messages and answers none.
class Cluster {
public:
    /// Milliseconds for which a look-up may last.
    static constexpr int maxSteps = 1000;

    Cluster()
    {
        for (const char* name : { "c0", "c1", "c2", "c3" })
            startCoordinator(name);
        for (const char* name : { "e0", "e1" })
            startEntry(name);
    }

    void startEntry(const std::string& name)
    {
        entries.erase(name);
        auto process = std::make_unique<Process>(*this, name);
        auto announcer = std::make_unique<StreamOriginAnnouncer>(context, *process);
        announcer->onCoordinatorsChanged();
        entries.emplace(name, Entry { std::move(process), std::move(announcer) });
    }

    void stopCoordinator(const std::string& name)
    {
        coordinators.erase(name);
        changeCoordinators();
    }

    void startCoordinator(const std::string& name)
    {
        auto process = std::make_unique<Process>(*this, name);
        auto keeper = std::make_unique<StreamOriginKeeper>(*process);
        coordinators.emplace(name, Coordinator { std::move(process), std::move(keeper) });
        for (auto& [other, coordinator] : coordinators) {
            if (other != name)
                coordinator.keeper->onCoordinatorUp(name);
        }
        changeCoordinators();
    }

    void announce(const std::string& entry, const std::string& request, const SoftwareVersion& software)
    {
        const StreamOrigin origin { StreamKey::of(request), software, now() + 1min };
        entries.at(entry).announcer->announce({ origin });
        runFor(1ms);
    }

    /// What the entry finds out, and after how long.
    std::optional<SoftwareVersion> find(const std::string& entry, const std::string& request)
    {
        std::optional<SoftwareVersion> found;
        const Instant begin = now();
        bool isDone = false;
        auto body = [&]() -> asio::awaitable<void> {
            const StreamKey key = StreamKey::of(request);
            found = co_await entries.at(entry).announcer->find(key, now() + 10s);
            isDone = true;
            lookUpTime = now() - begin;
        };
        spawn(context.get_executor(), body);
        for (int i = 0; i < maxSteps && !isDone; ++i)
            runFor(1ms);
        REQUIRE(isDone);
        return found;
    }

    void runFor(Duration duration)
    {
        context.restart();
        time.runFor(context, duration);
    }

    VirtualTime time;
    asio::io_context context;
    struct Entry {
        std::unique_ptr<Process> process;
        std::unique_ptr<StreamOriginAnnouncer> announcer;
    };
    struct Coordinator {
        std::unique_ptr<Process> process;
        std::unique_ptr<StreamOriginKeeper> keeper;
    };
    std::map<std::string, Entry> entries;
    std::map<std::string, Coordinator> coordinators;
    std::set<std::string> silent;
    Duration lookUpTime {};
    size_t notices = 0;

private:
    void changeCoordinators()
    {
        for (auto& [name, entry] : entries)
            entry.announcer->onCoordinatorsChanged();
    }
};

std::vector<std::string> Process::originKeepers() const
{
    std::vector<std::string> names;
    for (const auto& [name, coordinator] : cluster_.coordinators) {
        if (name != name_)
            names.push_back(name);
    }
    return names;
}

void Process::sendOrigins(const std::string& coordinator, const std::string& notice)
{
    ++cluster_.notices;
    const auto receiver = cluster_.coordinators.find(coordinator);
    if (receiver != cluster_.coordinators.end())
        receiver->second.keeper->onNotice(name_, notice);
}

asio::awaitable<std::string> Process::askOrigin(std::string coordinator, std::string query, Instant deadline)
{
    if (cluster_.silent.contains(coordinator)) {
        co_await sleepFor(deadline - now());
        throw PeerUnavailableError("silent");
    }
    co_return cluster_.coordinators.at(coordinator).keeper->answer(query);
}

} // namespace

TEST_CASE("an entry that was killed leaves the origins of its streams to the others", "[origins]")
{
    Cluster cluster;
    cluster.announce("e0", "a", older);
    cluster.entries.erase("e0");
    CHECK(cluster.find("e1", "a") == older);
    CHECK(cluster.lookUpTime < 2ms);
    // It does not know of itself either what it began before.
    cluster.startEntry("e0");
    CHECK(cluster.find("e0", "a") == older);
}

TEST_CASE("a stream that nobody began is unknown at once, or when a silent coordinator was waited for", "[origins]")
{
    Cluster cluster;
    CHECK_FALSE(cluster.find("e1", "never"));
    CHECK(cluster.lookUpTime <= StreamOriginAnnouncer::noticeInterval + 2ms);
    cluster.silent = { "c2" };
    CHECK_FALSE(cluster.find("e1", "never"));
    CHECK(cluster.lookUpTime <= StreamOriginAnnouncer::lookUpTimeout + 1ms);
    cluster.announce("e0", "a", newer);
    CHECK(cluster.find("e1", "a") == newer);
}

TEST_CASE("coordinators that start again in turn do not forget the streams of an entry that is gone", "[origins]")
{
    Cluster cluster;
    cluster.announce("e0", "a", older);
    cluster.entries.erase("e0");
    for (const char* name : { "c0", "c1", "c2", "c3" }) {
        cluster.stopCoordinator(name);
        cluster.startCoordinator(name);
    }
    CHECK(cluster.find("e1", "a") == older);
}

TEST_CASE("all coordinators start again at once, and an entry tells them what it began", "[origins]")
{
    Cluster cluster;
    cluster.announce("e0", "a", older);
    for (const char* name : { "c0", "c1", "c2", "c3" })
        cluster.stopCoordinator(name);
    for (const char* name : { "c0", "c1", "c2", "c3" })
        cluster.startCoordinator(name);
    CHECK(cluster.find("e1", "a") == older);
}

TEST_CASE("a storm of streams costs a bounded rate of notices, and none is forgotten", "[origins]")
{
    Cluster cluster;
    cluster.notices = 0;
    for (size_t i = 0; i < 2000; ++i)
        cluster.announce("e0", std::to_string(i), i % 2 ? older : newer);
    cluster.runFor(1s);
    const auto steadyNotices = static_cast<size_t>(2000ms / StreamOriginAnnouncer::noticeInterval);
    const size_t perKeeper = steadyNotices + StreamOriginAnnouncer::noticeBurst + 1;
    CHECK(cluster.notices <= StreamOriginAnnouncer::keeperCount * perKeeper);
    cluster.entries.erase("e0");
    CHECK(cluster.find("e1", "1999") == older);
    CHECK(cluster.find("e1", "1000") == newer);
}

TEST_CASE("a stream that is taken up before its entry's next notice is found by the second question", "[origins]")
{
    Cluster cluster;
    for (size_t i = 0; i < 100; ++i) {
        cluster.announce("e0", std::to_string(i), older);
        CHECK(cluster.find("e1", std::to_string(i)) == older);
    }
}

TEST_CASE("in random histories of restarts no stream is known by another version than began it", "[origins]")
{
    for (uint32_t seed = 0; seed < 60; ++seed) {
        Cluster cluster;
        std::minstd_rand random(seed + 1);
        std::map<std::string, SoftwareVersion> truth;
        size_t known = 0;
        for (int step = 0; step < 60; ++step) {
            const std::string name = "c" + std::to_string(random() % 4);
            const std::string entry = "e" + std::to_string(random() % 2);
            switch (random() % 6) {
            case 0:
                cluster.stopCoordinator(name);
                break;
            case 1:
                if (!cluster.coordinators.contains(name))
                    cluster.startCoordinator(name);
                break;
            case 2:
                cluster.startEntry(entry);
                break;
            default: {
                const std::string request = std::to_string(truth.size());
                truth[request] = random() % 2 ? older : newer;
                cluster.announce(entry, request, truth[request]);
            }
            }
            for (const auto& [request, software] : truth) {
                const auto found = cluster.find("e" + std::to_string(random() % 2), request);
                known += found ? 1 : 0;
                REQUIRE((!found || *found == software));
            }
        }
        CHECK(known > 0);
    }
}

TEST_CASE("malformed announcements and questions of peers are refused and change nothing", "[origins]")
{
    Cluster cluster;
    StreamOriginKeeper& keeper = *cluster.coordinators.at("c0").keeper;
    wire::StreamOriginNotice notice;
    notice.groups.resize(1);
    notice.groups.front().keys = std::string(StreamKey::encodedBytes + 1, 'x');
    notice.groups.front().lifetimesMs = { 1000 };
    CHECK_THROWS_AS(keeper.onNotice("e0", wire::encode(notice)), FrameInvalidError);
    CHECK_THROWS_AS(keeper.onNotice("e0", "\xff\xff"), FrameInvalidError);
    CHECK_THROWS_AS(keeper.answer("\xff\xff"), FrameInvalidError);
    wire::StreamOriginQuery query;
    query.key = "short";
    CHECK_THROWS_AS(keeper.answer(wire::encode(query)), FrameInvalidError);
    notice.groups.front().keys = std::string(StreamKey::encodedBytes, 'x');
    notice.groups.front().lifetimesMs = { -5 };
    keeper.onNotice("e0", wire::encode(notice));
    CHECK(keeper.size() == 0);
}
