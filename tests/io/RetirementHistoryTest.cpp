#include "DirectoryFakes.h"
#include "UnreliableStore.h"
#include "VirtualTime.h"
#include "io/hosted/RetirementReporter.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <queue>
#include <set>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::test;
using namespace std::chrono_literals;

namespace {

constexpr size_t vms = 4;
constexpr Duration step = 10ms;

/// Lifetime of a registration whose process has ended.
constexpr Duration leaseLifetime = 9s;

/// Time after the start of a process in which it is not ready.
constexpr Duration startTime = 1s;

std::string nameOf(size_t vm)
{
    return fmt::format("vm-{}", vm);
}

/// One random history of coordinators whose VMs are retired, in virtual time. They are killed, paused, partitioned and
/// started again; store calls fail, lose their answers or take effect late. As a platform does, it removes each VM in
/// the moment in which its retirement is reported as completed.
class RetirementHistory {
public:
    explicit RetirementHistory(uint64_t seed)
        : random_(seed)
    {
        for (size_t vm = 0; vm + 1 < vms; ++vm)
            start(vm);
    }

    /// Returns the first violated property, or an empty string.
    std::string run()
    {
        advance(3s);
        for (int i = 0; i < 60 && violation_.empty(); ++i) {
            act();
            advance(std::chrono::milliseconds(draw(900)));
        }
        calm();
        checkCalm();
        return violation_;
    }

    int removals() const { return removals_; }
    int holds() const { return holds_; }

private:
    struct Process : RetirementPeers {
        Process(RetirementHistory& history, size_t vm)
            : history(history)
            , vm(vm)
            , startedAt(now())
            , store(history.contents_, history.random_, history.faultPercent_,
                  [&history](Instant at, std::function<void()> action) { history.scheduled_.emplace(at, action); })
            , context(std::make_unique<asio::io_context>())
            , reporter(nameOf(vm), protocol, store, *this, [this] { return directory; })
        {
            spawn(context->get_executor(), [this] { return reporter.run(); });
            spawn(context->get_executor(), [this] { return registerAgain(); });
        }
        ~Process() override { context.reset(); }

        asio::awaitable<void> registerAgain()
        {
            while (true) {
                try {
                    co_await registerOnce();
                } catch (const Error&) {
                    // Tried again.
                }
                co_await sleepFor(300ms);
            }
        }

        asio::awaitable<void> registerOnce()
        {
            const std::string key = DirectorySync::coordinatorPrefix + nameOf(vm);
            const bool isMissing = !(co_await store.read(key, now() + 1s));
            if (!reporter.mayRegister() || (!isMissing && isRegistered))
                co_return;
            StoreTransaction transaction;
            transaction.conditions = reporter.registrationConditions();
            transaction.puts.push_back({ key, "", 1 });
            const CommitResult result = co_await store.commit(std::move(transaction), now() + 1s);
            isRegistered = result.isCommitted;
            if (isRegistered)
                reporter.onRegistered(result.revision);
            else
                reporter.requireCheck();
        }

        std::vector<std::string> stayingCoordinators() const override
        {
            std::vector<std::string> names;
            for (size_t other = 0; other < vms; ++other) {
                if (other != vm && history.isReachable(vm, other) && !history.processes_[other]->hasAnnounced)
                    names.push_back(nameOf(other));
            }
            return names;
        }

        asio::awaitable<wire::SuccessionAnswer> askSuccession(std::string coordinator, Instant deadline) override
        {
            const size_t other = history.indexOf(coordinator);
            co_await sleepFor(std::chrono::milliseconds(history.draw(30)));
            const bool mayAnswer = history.isReachable(vm, other) && !history.processes_[other]->isPaused;
            if (!mayAnswer) {
                co_await sleepFor(deadline - now());
                throw PeerUnavailableError("no answer");
            }
            co_return history.processes_[other]->ownSuccession();
        }

        wire::SuccessionAnswer ownSuccession() const override
        {
            wire::SuccessionAnswer answer;
            answer.isServing = !hasAnnounced && reporter.isSettled() && isRegistered && now() >= startedAt + startTime;
            answer.isRetiring = reporter.isRequested();
            return answer;
        }

        bool isConnected(const std::string& other) const override
        {
            return history.isReachable(vm, history.indexOf(other));
        }

        bool actsForAll() const override
        {
            const auto others = stayingCoordinators();
            return !hasAnnounced && (others.empty() || nameOf(vm) < others.front());
        }

        size_t openJobs() const override { return history.draw(3) == 0 ? 1 : 0; }
        void onLeaving() override { hasAnnounced = true; }
        void onReturn() override
        {
            hasAnnounced = false;
            isRegistered = false;
        }

        RetirementHistory& history;
        size_t vm;
        Instant startedAt;
        KeyOnlyDirectoryProtocol protocol;
        UnreliableStore store;
        std::unique_ptr<asio::io_context> context;
        std::shared_ptr<const Directory> directory = std::make_shared<const Directory>();
        RetirementReporter reporter;
        bool isRegistered = false;
        bool hasAnnounced = false;
        bool isPaused = false;
    };

    unsigned draw(unsigned choices) { return static_cast<unsigned>(random_() % choices); }

    size_t indexOf(const std::string& name) const { return static_cast<size_t>(name.back() - '0'); }

    bool isReachable(size_t a, size_t b) const
    {
        return processes_[a] && processes_[b] && !partitions_.contains(std::minmax(a, b));
    }

    static std::string requestKey(size_t vm) { return "requests/" + nameOf(vm); }
    static std::string registrationKey(size_t vm) { return DirectorySync::coordinatorPrefix + nameOf(vm); }

    void start(size_t vm)
    {
        processes_[vm] = std::make_unique<Process>(*this, vm);
        exists_.insert(vm);
        leaseEnds_.erase(vm);
    }

    void end(size_t vm)
    {
        processes_[vm].reset();
        leaseEnds_[vm] = time_.now() + leaseLifetime;
    }

    void act()
    {
        const size_t vm = draw(vms);
        switch (draw(8)) {
        case 0:
        case 1:
            contents_.apply({ {}, { { requestKey(vm), "", 0 } }, {} });
            break;
        case 2:
            contents_.apply({ {}, {}, { requestKey(vm) } });
            break;
        case 3:
            if (processes_[vm])
                end(vm);
            break;
        case 4:
            // A VM that is gone comes back as a new one of its name.
            if (!processes_[vm])
                start(vm);
            break;
        case 5:
            if (processes_[vm])
                processes_[vm]->isPaused = !processes_[vm]->isPaused;
            break;
        case 6:
            if (!partitions_.insert(std::minmax(vm, (vm + 1 + draw(vms - 1)) % vms)).second)
                partitions_.clear();
            break;
        default:
            faultPercent_ = draw(2) * (5 + draw(60));
        }
    }

    void advance(Duration duration)
    {
        const Instant end = time_.now() + duration;
        while (time_.now() < end && violation_.empty()) {
            time_.advanceTo(time_.now() + step);
            endLeases();
            while (!scheduled_.empty() && scheduled_.top().first <= time_.now()) {
                const auto action = scheduled_.top().second;
                scheduled_.pop();
                action();
            }
            for (const auto& process : processes_) {
                if (process && !process->isPaused)
                    poll(*process);
            }
        }
    }

    void poll(Process& process)
    {
        if (draw(30) == 0)
            refresh(process);
        process.context->restart();
        process.context->poll();
        holds_ += process.reporter.isHeld() ? 1 : 0;
        removeReported();
    }

    void refresh(Process& process)
    {
        Directory directory;
        for (const Document& request : contents_.list("requests/").documents)
            directory.retirements[request.key.substr(std::string_view("requests/").size())] = request.revision;
        process.directory = std::make_shared<const Directory>(std::move(directory));
    }

    void endLeases()
    {
        for (auto lease = leaseEnds_.begin(); lease != leaseEnds_.end();) {
            if (time_.now() < lease->second) {
                ++lease;
                continue;
            }
            contents_.apply({ {}, {}, { registrationKey(lease->first) } });
            lease = leaseEnds_.erase(lease);
        }
    }

    void removeReported()
    {
        for (size_t vm = 0; vm < vms; ++vm) {
            const auto report = contents_.read("retired/" + nameOf(vm));
            const bool isNew = report && report->value == "completed" && report->revision > reports_[vm];
            if (!isNew)
                continue;
            reports_[vm] = report->revision;
            exists_.erase(vm);
            ++removals_;
            // The process that is being polled cannot be destroyed here.
            scheduled_.emplace(time_.now(), [this, vm] { removeProcess(vm); });
            const auto registered = contents_.list(DirectorySync::coordinatorPrefix).documents;
            if (registered.empty() || exists_.empty())
                violation_ = fmt::format("{} ms: the last coordinator was removed", time_.wallMs());
        }
    }

    void removeProcess(size_t vm)
    {
        if (!exists_.contains(vm))
            processes_[vm].reset();
    }

    /// Ends all faults, and starts what should run.
    void calm()
    {
        faultPercent_ = 0;
        partitions_.clear();
        for (size_t vm = 0; vm < vms; ++vm) {
            if (processes_[vm])
                processes_[vm]->isPaused = false;
            else if (exists_.contains(vm))
                start(vm);
        }
        advance(20s);
    }

    /// Each VM that should go has gone, but for one if all should.
    void checkCalm()
    {
        size_t staying = 0;
        size_t waiting = 0;
        for (size_t vm : exists_) {
            const auto request = contents_.read(requestKey(vm));
            const bool isOpen = request && request->revision > reports_[vm];
            (isOpen ? waiting : staying) += 1;
        }
        const bool isRight = staying > 0 ? waiting == 0 : waiting == 1;
        if (violation_.empty() && !isRight)
            violation_ = fmt::format("{} VMs stay, {} wait for their removal", staying, waiting);
    }

    using Scheduled = std::pair<Instant, std::function<void()>>;
    struct Later {
        bool operator()(const Scheduled& a, const Scheduled& b) const { return a.first > b.first; }
    };

    VirtualTime time_;
    std::mt19937_64 random_;
    unsigned faultPercent_ = 0;
    StoreContents contents_;
    std::priority_queue<Scheduled, std::vector<Scheduled>, Later> scheduled_;
    std::array<std::unique_ptr<Process>, vms> processes_;
    /// VMs that have not been removed.
    std::set<size_t> exists_;
    std::set<std::pair<size_t, size_t>> partitions_;
    std::map<size_t, Instant> leaseEnds_;
    /// Revision of the newest report on each VM that has been carried out.
    std::map<size_t, int64_t> reports_;
    std::string violation_;
    int removals_ = 0;
    int holds_ = 0;
};

void check(uint64_t firstSeed, uint64_t seeds)
{
    int removals = 0;
    int holds = 0;
    for (uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        RetirementHistory history(seed);
        INFO("ENDIVEROAD_SEED=" << seed);
        CHECK(history.run() == "");
        removals += history.removals();
        holds += history.holds();
    }
    CHECK(removals > static_cast<int>(seeds));
    CHECK(holds > 0);
}

} // namespace

// Guards against the removal of the last coordinator by the system's own word, in whatever order of faults.
TEST_CASE("at least one coordinator stays in whatever order VMs are retired", "[retirement]")
{
    check(1, 60);
}

TEST_CASE("more histories of retirements, by hand", "[.retirement-history]")
{
    const char* seed = std::getenv("ENDIVEROAD_SEED");
    check(seed ? std::strtoull(seed, nullptr, 10) : 1000, seed ? 1 : 3000);
}
