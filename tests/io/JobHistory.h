#pragma once

#include "UnreliableStore.h"
#include "VirtualTime.h"
#include "io/hosted/BatchOwner.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace endiveroad::io::test {

/// Simulates one random history of batch jobs at three coordinators in virtual time. Each coordinator has an I/O
/// context of its own, so that it can be paused or killed between any two steps. Calls to the store fail, lose their
/// answers or take effect late. Coordinators lose their connections to each other, take jobs over, and resume after a
/// pause still believing that they own a job.
class JobHistory {
public:
    explicit JobHistory(uint64_t seed);
    ~JobHistory();

    /// Runs the history to its end. Returns the first violated property, or an empty string.
    std::string run();

    /// How often each kind of event has happened in the history.
    int acceptedJobs() const { return acceptedJobs_; }
    int listedItems() const;
    int takeOvers() const { return takeOvers_; }
    int ends() const { return ends_; }

private:
    static constexpr size_t coordinators = 3;
    static constexpr size_t maxJobs = 4;

    class View;
    class Worker;
    struct Process;
    struct Job;
    using ProcessPtr = std::unique_ptr<Process>;

    struct ScheduledAction {
        Instant at;
        uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const ScheduledAction& other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    unsigned draw(unsigned choices) { return static_cast<unsigned>(random_() % choices); }
    /// Runs an action at an instant of virtual time.
    void scheduleAt(Instant, std::function<void()>);
    void startProcess(size_t);
    void kill(size_t);
    void pause(size_t);
    void resume(size_t);
    bool canSee(const std::string& viewer, const std::string& seen) const;
    /// True if all other coordinators see this one, and have told it of the jobs that they took over before.
    bool isHeardByAll(const std::string& name) const;
    /// A coordinator sees another one again and tells it of its jobs.
    void reconnect(const std::string& viewer, const std::string& seen);
    /// Advances virtual time step by step, running all that is due.
    void advance(Duration);
    /// Runs the coordinators that are not paused until none has work left.
    void pollAll();

    /// Applies one random event: a call of a caller, a fault, the end of faults or progress of an item.
    void runAction();
    void submit();
    void read();
    void endJob();
    void finishItem();
    void toggleConnection();
    void reconnectAll();
    void takeOver(size_t, bool isOwnOnly);
    /// Sends a caller's call to a coordinator, and follows up to `hops` redirects.
    void sendCall(size_t, const wire::BatchCall&, int hops);
    void onAnswer(const wire::BatchCall&, const wire::BatchAnswer&, int hops, bool wasAccepted, size_t knownResults);
    void finishItems(size_t);
    void announce(const OwnedJob&);
    void announceTo(size_t receiver, const OwnedJob&);
    /// Number of the job's results that callers have read longer ago than settleTime.
    size_t settledResults(const std::string& job) const;

    std::vector<std::string> durableResults(const std::string& job) const;
    void checkStore();
    void checkPage(const std::string& job, size_t first, const std::string& page, size_t knownResults);
    void finishWithoutFaults();
    void checkFinalState();
    void reportViolation(const std::string&);

    VirtualTime time_;
    std::mt19937_64 random_;
    unsigned faultPercent_ = 12;
    StoreContents contents_;
    std::priority_queue<ScheduledAction> scheduled_;
    uint64_t lastActionNumber_ = 0;
    std::vector<ProcessPtr> processes_;
    /// Pairs of names: the first coordinator does not see the second.
    std::set<std::pair<std::string, std::string>> disconnected_;
    /// By name, when the news of all others have reached a coordinator after it was seen again.
    std::map<std::string, Instant> hasNewsAt_;
    std::map<std::string, Job> jobs_;
    int acceptedJobs_ = 0;
    int takeOvers_ = 0;
    int ends_ = 0;
    int64_t textCount_ = 0;
    std::string violation_;
};

} // namespace endiveroad::io::test
