#include "io/hosted/RequestLimits.h"

#include "VirtualTime.h"
#include "io/Tasks.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <endiveroad/Error.h>
#include <endiveroad/Rendezvous.h>
#include <random>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace std::chrono_literals;

namespace {

/// Time from which a limit holds, span in which requests are counted, and how many more than allowed are borne.
constexpr Duration spreadTime = 3s;
constexpr Duration span = 4s;
constexpr double slack = 1.5;
constexpr double extraRequests = 5;

class Cluster;

/// A process that sends requests to the server as fast as it gets permits.
class Process : public PermitPeers {
public:
    Process(Cluster& cluster, std::string name, bool isCoordinator)
        : cluster_(cluster)
        , name_(std::move(name))
        , isCoordinator_(isCoordinator)
    {
    }

    void start();
    const std::string& name() const { return name_; }
    bool isCoordinator() const { return isCoordinator_; }
    RequestLimits& limits() { return *limits_.back(); }

    const std::string& processName() const override { return name_; }
    std::string permitIssuer(const std::string& server) const override;
    double issuerShare() const override;
    asio::awaitable<std::string> askIssuer(std::string issuer, std::string request, Instant deadline) override;
    void reportToIssuer(const std::string& issuer, const std::string& notice) override;
    void publishLimits(const std::string& notice) override;

    asio::awaitable<void> sendRequests(int generation);

    bool isRunning = true;
    /// Coordinators that it is not connected to.
    std::set<std::string> unreachable;

private:
    Cluster& cluster_;
    std::string name_;
    bool isCoordinator_;
    /// The last one is in use; those of earlier starts outlive their coroutines.
    std::vector<std::unique_ptr<RequestLimits>> limits_;
};

/// Coordinators and entries in front of one server that names a limit.
class Cluster {
public:
    Cluster(int coordinators, int entries, uint32_t seed)
        : random(seed)
    {
        for (int i = 0; i < coordinators + entries; ++i)
            processes.emplace_back(
                *this, (i < coordinators ? "coordinator-" : "entry-") + std::to_string(i), i < coordinators);
        for (Process& process : processes)
            process.start();
    }

    Process& process(const std::string& name)
    {
        return *std::find_if(
            processes.begin(), processes.end(), [&name](const Process& other) { return other.name() == name; });
    }

    bool areConnected(const Process& a, const Process& b) const
    {
        return a.isRunning && b.isRunning && !a.unreachable.contains(b.name()) && !b.unreachable.contains(a.name());
    }

    void run(Duration time) { this->time.runFor(context, time); }

    /// Most requests in a span that begins in the given time.
    int busiestSpan(Instant from, Instant until) const
    {
        int most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            if (*first < from || *first >= until)
                continue;
            const auto end = std::lower_bound(first, arrivals.end(), std::min(*first + span, until));
            most = std::max(most, static_cast<int>(end - first));
        }
        return most;
    }

    int arrivalsBetween(Instant from, Instant until) const
    {
        return static_cast<int>(
            std::count_if(arrivals.begin(), arrivals.end(), [&](Instant at) { return at >= from && at < until; }));
    }

    VirtualTime time;
    asio::io_context context;
    std::minstd_rand random;
    std::deque<Process> processes;
    ServerIncarnation server { "server", 1 };
    std::optional<double> limit;
    std::vector<Instant> arrivals;
    int64_t lastIssuer = 0;
};

void Process::start()
{
    isRunning = true;
    limits_.push_back(
        std::make_unique<RequestLimits>(cluster_.context, static_cast<PermitPeers&>(*this), ++cluster_.lastIssuer));
    const int generation = static_cast<int>(limits_.size());
    spawn(cluster_.context.get_executor(), [this, generation] { return sendRequests(generation); });
}

std::string Process::permitIssuer(const std::string& server) const
{
    std::vector<std::string> names;
    for (const Process& other : cluster_.processes) {
        const bool isSelf = &other == this;
        if (other.isCoordinator() && (isSelf || cluster_.areConnected(*this, other)))
            names.push_back(other.name());
    }
    const auto owners = rendezvousOwners(server, names, 1);
    return owners.empty() ? std::string() : owners.front();
}

double Process::issuerShare() const
{
    double known = 0;
    double reached = 0;
    for (const Process& other : cluster_.processes) {
        if (!other.isCoordinator())
            continue;
        ++known;
        if (&other == this || cluster_.areConnected(*this, other))
            ++reached;
    }
    return reached / known;
}

asio::awaitable<std::string> Process::askIssuer(std::string issuer, std::string request, Instant deadline)
{
    Process& other = cluster_.process(issuer);
    co_await sleepFor(1ms);
    if (!cluster_.areConnected(*this, other))
        throw PeerUnavailableError("not connected");
    std::string answer = co_await other.limits().onRequest(std::move(request), deadline, nullptr);
    co_await sleepFor(1ms);
    if (!cluster_.areConnected(*this, other))
        throw OutcomeUnknownError("the connection was lost");
    co_return answer;
}

void Process::reportToIssuer(const std::string& issuer, const std::string& notice)
{
    Process& other = cluster_.process(issuer);
    if (!cluster_.areConnected(*this, other))
        return;
    if (const auto correction = other.limits().onHeardNotice(notice))
        limits().onInForceNotice(*correction);
}

void Process::publishLimits(const std::string& notice)
{
    for (Process& other : cluster_.processes) {
        if (&other != this && cluster_.areConnected(*this, other))
            other.limits().onInForceNotice(notice);
    }
}

asio::awaitable<void> Process::sendRequests(int generation)
{
    RequestLimits& limits = this->limits();
    while (isRunning && generation == static_cast<int>(limits_.size())) {
        co_await sleepFor(std::chrono::milliseconds(5 + cluster_.random() % 30));
        auto permit = co_await limits.obtain(cluster_.server, RequestPath::Call, 1, now() + 900ms);
        if (!permit || !isRunning)
            continue;
        co_await sleepFor(1ms);
        cluster_.arrivals.push_back(now());
        ReplicaAnswer answer;
        answer.requestLimit = cluster_.limit;
        co_await sleepFor(std::chrono::milliseconds(1 + cluster_.random() % 40));
        if (isRunning)
            limits.onAnswer(answer, *permit);
    }
}

double allowed(double limit)
{
    return slack * limit * 4 + extraRequests;
}

} // namespace

TEST_CASE("many processes together keep the limit of a server and use what it leaves", "[limits]")
{
    for (const double limit : { 0.0, 1.0, 7.0, 60.0 }) {
        Cluster cluster(3, 20, 1);
        cluster.run(2s);
        cluster.limit = limit;
        const Instant namedAt = now();
        cluster.run(15s);
        CHECK(cluster.busiestSpan(namedAt + spreadTime, now()) <= allowed(limit));
        CHECK(cluster.arrivalsBetween(namedAt + spreadTime, now()) >= 0.8 * limit * 12);
    }
}

TEST_CASE("a limit that changes is followed, and its end frees all processes", "[limits]")
{
    Cluster cluster(3, 10, 2);
    cluster.limit = 20.0;
    cluster.run(6s);
    cluster.limit = 2.0;
    const Instant loweredAt = now();
    cluster.run(8s);
    CHECK(cluster.busiestSpan(loweredAt + spreadTime, now()) <= allowed(2.0));
    cluster.limit = 20.0;
    cluster.run(3s);
    CHECK(cluster.arrivalsBetween(now() - 2s, now()) >= 0.8 * 20 * 2);
    cluster.limit = std::nullopt;
    cluster.run(3s);
    CHECK(cluster.arrivalsBetween(now() - 1s, now()) > 100);
    for (Process& process : cluster.processes)
        CHECK_FALSE(process.limits().isLimited(cluster.server));
}

TEST_CASE("a process without a coordinator sends nothing to a limited server, and goes on when one is back", "[limits]")
{
    Cluster cluster(1, 3, 3);
    cluster.limit = 5.0;
    cluster.run(4s);
    cluster.process("coordinator-0").isRunning = false;
    cluster.run(1500ms);
    const Instant aloneSince = now();
    cluster.run(3s);
    CHECK(cluster.arrivalsBetween(aloneSince, now()) == 0);
    cluster.process("coordinator-0").start();
    const Instant backAt = now();
    cluster.run(4s);
    CHECK(cluster.arrivalsBetween(backAt, now()) >= 0.7 * 5 * 4);
}

TEST_CASE("coordinators that restart, are cut off and disagree on who issues do not exceed a limit", "[limits]")
{
    for (uint32_t seed = 1; seed <= 40; ++seed) {
        Cluster cluster(3, 6, seed);
        const double limit = 1.0 + static_cast<double>(seed % 5) * 3;
        cluster.limit = limit;
        const Instant namedAt = now();
        for (int step = 0; step < 12; ++step) {
            Process& coordinator = cluster.processes[cluster.random() % 3];
            Process& other = cluster.processes[cluster.random() % cluster.processes.size()];
            switch (cluster.random() % 3) {
            case 0:
                coordinator.isRunning = false;
                break;
            case 1:
                if (&other != &coordinator)
                    other.unreachable.insert(coordinator.name());
                break;
            default:
                other.unreachable.clear();
            }
            cluster.run(std::chrono::milliseconds(300 + cluster.random() % 1500));
            if (!coordinator.isRunning)
                coordinator.start();
        }
        INFO("seed " << seed << ", limit " << limit);
        CHECK(cluster.busiestSpan(namedAt + spreadTime, now()) <= allowed(limit));
    }
}
