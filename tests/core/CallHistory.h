#pragma once

#include <cstdint>
#include <endiveroad/CallAdmission.h>
#include <endiveroad/CallAttempts.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace endiveroad::test {

/// Simulates keyed calls in virtual time, with random faults: callers repeat keys through two entries, three agents
/// decide which calls run, and a fake service counts executions. Messages are lost, delayed, duplicated and reordered;
/// agents crash, pause and restart with a different clock skew; entries crash; the declared replicas change, and each
/// process applies the change at a different time.
class CallHistory {
public:
    explicit CallHistory(uint64_t seed);

    /// Runs the simulation. Returns the first violation, or an empty text.
    std::string run();

    int answered() const { return answered_; }
    int notRun() const { return notRun_; }
    int unknown() const { return unknown_; }

private:
    struct Attempt {
        RequestId id;
        int key = 0;
        int number = 0;
        int content = 0;
        Instant deadline;
    };

    struct Agent {
        std::string name;
        int revision = 1;
        int64_t incarnation = 0;
        Instant pausedUntil = Instant::min();
        std::unique_ptr<Admission> admission;
        std::unique_ptr<CallAdmission> calls;
        std::vector<Attempt> waiting;
    };

    struct Entry {
        std::string name;
        int revision = 1;
        int64_t incarnation = 1;
        uint64_t sequence = 0;
    };

    struct Key {
        std::string text;
        int64_t createdMs = 0;
        int attempts = 0;
        bool isEnded = false;
        int executions = 0;
        std::string result;
        /// Number of the last attempt after which the caller was told "not run"; attempts up to it must not run.
        int lastToldNotRun = 0;
    };

    struct Event {
        Instant instant;
        uint64_t order;
        std::function<void()> action;

        bool operator>(const Event& other) const
        {
            return instant != other.instant ? instant > other.instant : order > other.order;
        }
    };

    bool chance(double);
    Duration randomDuration(int64_t lowMs, int64_t highMs);
    Duration randomDelay();
    void scheduleAt(Instant, std::function<void()>);
    void reportViolation(const std::string& what);

    void scheduleEvents();
    void changeReplicas();
    void start(Agent&);
    void applyRevision(Agent&, int revision);
    std::vector<std::string> replicasOf(int revision) const;
    int homeOf(int key, int revision) const;

    void startAttempt(int key);
    void receive(int agent, const Attempt&, Instant sent, int entry);
    void decide(int agent, const Attempt&, int entry, const CallDecision&);
    void execute(int agent, const Attempt&, int entry);
    void wakeWaiting(int agent, int entry);
    void sendAnswer(const Attempt&, int entry, std::optional<ErrorCode>, const std::string& result);
    void deliverAnswer(const Attempt&, std::optional<ErrorCode>, const std::string& result);

    std::mt19937_64 random_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    uint64_t nextOrder_ = 0;
    Instant now_;
    std::vector<Agent> agents_;
    std::vector<Entry> entries_;
    std::vector<Key> keys_;
    /// Indexed by revision: when it was issued, and the replicas that it declares.
    std::vector<Instant> issuedAt_;
    std::vector<std::vector<std::string>> replicaSets_;
    /// Attempts whose caller still waits for an answer, by key and attempt number.
    std::map<std::pair<int, int>, bool> unanswered_;
    std::string violation_;
    int answered_ = 0;
    int notRun_ = 0;
    int unknown_ = 0;
};

} // namespace endiveroad::test
