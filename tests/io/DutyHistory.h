#pragma once

#include "UnreliableStore.h"
#include "VirtualTime.h"
#include "io/hosted/DutyHolder.h"
#include "io/hosted/UsageReporter.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <queue>
#include <set>

namespace endiveroad::io::test {

using namespace std::chrono_literals;

/// What the simulated API does with a call. Lost: it carries the call out, and the answer is lost. Late: the same, some
/// time after the call.
enum class ApiFault { None, Lost, Late, Rejected, Unreachable };

/// Coordinators that hold the duties in turn, entries that count, a store and the platform's API, in virtual time. The
/// API checks on each call that it carries out what must hold of all of them; `violation` tells the first breach.
class DutyHistory {
public:
    static constexpr size_t coordinatorCount = 3;
    static constexpr size_t entryCount = 2;
    static constexpr Duration step = 10ms;

    /// Time after which the peers of a process that is paused notice it.
    static constexpr Duration silenceLimit = 2s;

    DutyHistory(uint64_t seed, bool areTokensChecked);
    ~DutyHistory();

    unsigned draw(unsigned choices) { return static_cast<unsigned>(random_() % choices); }
    void advance(Duration);

    void startCoordinator(size_t);
    void killCoordinator(size_t);
    void startEntry(size_t);
    void killEntry(size_t);
    void pause(size_t coordinator, bool isPaused);
    /// Separates two processes, or connects them again.
    void separate(const std::string& a, const std::string& b, bool isSeparated);
    /// Ends all faults and starts all processes.
    void calm();
    /// Lets a coordinator end its lease as a process that stops does.
    void drain(size_t coordinator);

    /// Holder of the duties by its own belief; nothing if there is none.
    std::optional<size_t> holder() const;
    size_t mostActs(int64_t firstWindow, int64_t lastWindow) const;
    /// Sets the violation if a window was not reported, or with other counts than the entries began.
    void requireReports(int64_t firstWindow, int64_t lastWindow, bool isExact);
    int64_t currentWindow() const { return usageWindowAt(wallMs(), settings.usageWindow); }

    struct Act {
        Instant at;
        std::string process;
        int64_t token = 0;
    };

    VirtualTime time;
    DutySettings settings;
    std::string violation;
    /// Calls that the API has carried out, by window.
    std::map<int64_t, std::vector<Act>> acts;
    std::map<int64_t, UsageCounts> reported;
    /// Requests that began at entries.
    std::map<int64_t, UsageCounts> began;
    StoreContents contents;
    unsigned storeFaultPercent = 0;
    unsigned apiFaultPercent = 0;
    /// Coordinators that the store, or the API, cannot be reached from.
    std::set<size_t> withoutStore;
    std::set<size_t> withoutApi;
    /// Fault of the next call, in place of a random one.
    std::optional<ApiFault> nextFault;
    /// Number of calls whose connection is being opened, and of those that were sent, by coordinator.
    std::array<int, coordinatorCount> opening {};
    std::array<int, coordinatorCount> underWay {};
    /// Tokens under which calls were sent, in order.
    std::vector<int64_t> sentTokens;
    int64_t highestToken = 0;
    bool hasTraffic = true;

private:
    struct Coordinator;
    struct Entry;

    bool isReachable(const std::string& a, const std::string& b) const;
    bool isRunning(const std::string& name) const;
    void post(const std::string& from, const std::string& to, std::function<void()> action);
    /// Entries send what a coordinator may have missed.
    void reconnect(const std::string& coordinator);
    void makeTraffic();
    asio::awaitable<HttpResponse> callApi(size_t coordinator, std::string process, HttpRequest, Instant deadline);
    /// Returns the status of the answer.
    int carryOut(const std::string& process, const std::string& holder, int64_t token, const UsageReport&);
    void checkOrder(const std::string& process, const std::string& holder, int64_t token);
    void onHolder(size_t entry, const wire::DutyHolderNotice&);
    void postUsage(const std::string& from, const std::string& coordinator, const wire::UsageNotice&);

    using Scheduled = std::pair<Instant, std::function<void()>>;
    struct Later {
        bool operator()(const Scheduled& a, const Scheduled& b) const { return a.first > b.first; }
    };

    std::mt19937_64 random_;
    std::priority_queue<Scheduled, std::vector<Scheduled>, Later> scheduled_;
    std::array<std::unique_ptr<Coordinator>, coordinatorCount> coordinators_;
    std::array<std::unique_ptr<Entry>, entryCount> entries_;
    std::set<std::pair<std::string, std::string>> separations_;
    std::map<int64_t, std::string> processOfToken_;
    /// Last act of each holder, by name, and the holder that acted last.
    std::map<std::string, Instant> lastActs_;
    std::string lastHolder_;
    int64_t lastIncarnation_ = 0;
    uint64_t lastRequest_ = 0;
};

} // namespace endiveroad::io::test
