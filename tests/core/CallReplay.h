#pragma once

#include <cmath>
#include <deque>
#include <endiveroad/RetryBudget.h>
#include <endiveroad/ScoringObjective.h>
#include <endiveroad/WaitingCalls.h>
#include <list>

/// Replay of calls of several processes to one service in virtual time, with steps of 1 ms.
namespace endiveroad::replay {

using namespace std::chrono_literals;

/// Calls of one kind that arrive evenly, or at the beginning of each `batchInterval`, from `begin` to `end`.
struct Arrivals {
    double perSecond = 0;
    Duration work {};
    Duration objective {};
    Duration timeout {};
    Duration begin {};
    Duration end {};
    Duration batchInterval {};
    /// Rejected calls are repeated until this time after they arrived; only scoring calls are.
    Duration due {};
    std::string organisation;
};

struct Figures {
    int inTime = 0;
    int late = 0;
    int rejected = 0;
    /// Neither answered nor rejected by the deadline.
    int lost = 0;
    /// Requests that reached the service, those it refused, and second copies of calls.
    int requests = 0;
    int refusals = 0;
    int hedges = 0;
    /// Repeats of rejected scoring calls.
    int repeats = 0;
    /// Sum of the times from the arrivals of calls to their rejections.
    Duration waitOfRejected {};

    Duration meanWaitOfRejected() const { return rejected > 0 ? waitOfRejected / rejected : Duration(); }
    double value() const { return inTime + late / 4.0; }
};

/// What is compared. The code before has all of them off.
struct Policy {
    bool isOrderedByObjective = false;
    bool areHedgesWithheld = false;
    /// Scoring calls have time until their deadlines, and yield until little of it is left.
    bool doesScoringYield = false;
};

/// A service of 3 servers with 6 slots and 4 places to wait, of which the last two take 3.5 times as long.
struct Server {
    static constexpr size_t slots = 6;
    static constexpr size_t places = 4;
    struct Request {
        int sender = 0;
        uint64_t call = 0;
        Duration work {};
        Instant sentAt;
        Instant endAt;
    };

    double slowness = 1;
    std::list<Request> running;
    std::deque<Request> waiting;

    void startWaiting(Instant now)
    {
        for (; running.size() < slots && !waiting.empty(); waiting.pop_front()) {
            running.push_back(waiting.front());
            running.back().endAt = now + std::chrono::round<Duration>(waiting.front().work * slowness);
        }
    }
};

class Replay {
public:
    Replay(int senders, Policy policy)
        : policy_(policy)
    {
        for (int i = 0; i < senders; ++i)
            senders_.emplace_back(i + 1);
    }

    /// Figures by Arrivals::organisation of the calls.
    std::map<std::string, Figures> run(const std::vector<Arrivals>& arrivals, Duration length)
    {
        for (now_ = begin_; now_ < begin_ + length; now_ += 1ms) {
            for (const Arrivals& kind : arrivals)
                arrive(kind);
            for (auto& [id, server] : servers_)
                answer(id, server);
            for (size_t i = 0; i < senders_.size(); ++i)
                send(static_cast<int>(i));
        }
        return figures_;
    }

private:
    struct Call {
        Arrivals kind;
        Instant arrivedAt;
        Instant begunAt;
        Instant deadline;
        CallTicket ticket;
        Instant hedgeAt = never;
        int active = 0;
    };
    struct Sender {
        explicit Sender(uint64_t seed)
            : loads(seed)
        {
        }
        ServerLoads loads;
        WaitingCalls waiting;
        RetryBudget budget;
        std::map<uint64_t, Call> calls;
        std::map<uint64_t, uint64_t> callByTicket;
        std::multimap<Instant, uint64_t> repeats;
        Instant lookAt = Instant::min();
    };

    void arrive(const Arrivals& kind)
    {
        const Duration at = now_ - begin_;
        const auto due = [&kind](Duration time) {
            time = kind.batchInterval > 0ms ? time - time % kind.batchInterval : time;
            return std::floor(std::chrono::duration<double>(time).count() * kind.perSecond);
        };
        if (at < kind.begin || at >= kind.end)
            return;
        for (auto count = due(at) - due(at - 1ms); count > 0; --count) {
            const uint64_t id = ++lastCall_;
            // The last third of the senders are coordinators.
            const size_t entries = senders_.size() - senders_.size() / 3;
            const size_t sender = kind.due > 0ms ? entries + id % (senders_.size() - entries) : id % entries;
            Call call { kind, now_, now_, now_ + kind.timeout, {} };
            wait(senders_[sender], id, senders_[sender].calls.emplace(id, call).first->second);
        }
    }

    void wait(Sender& sender, uint64_t id, Call& call)
    {
        const Instant objective = policy_.doesScoringYield && call.kind.due > 0ms
            ? scoringObjective(call.begunAt, call.kind.objective, call.deadline, call.arrivedAt + call.kind.due)
            : call.begunAt + call.kind.objective;
        call.ticket = sender.waiting.add(
            "s", 2, call.deadline, policy_.isOrderedByObjective ? objective : never, call.kind.organisation);
        sender.callByTicket[call.ticket.number] = id;
        sender.lookAt = Instant::min();
    }

    void answer(const std::string& id, Server& server)
    {
        for (auto request = server.running.begin(); request != server.running.end();) {
            if (request->endAt > now_) {
                ++request;
                continue;
            }
            Sender& sender = senders_[request->sender];
            sender.loads.onAnswer(id, now_ - request->sentAt, now_);
            sender.loads.onLoadReport(
                id, static_cast<int32_t>(server.running.size()), static_cast<int32_t>(server.waiting.size()), now_);
            finish(sender, request->call);
            request = server.running.erase(request);
        }
        server.startWaiting(now_);
    }

    void finish(Sender& sender, uint64_t id)
    {
        const auto found = sender.calls.find(id);
        if (found == sender.calls.end())
            return;
        const Call& call = found->second;
        Figures& figures = figures_[call.kind.organisation];
        const bool isInTime = now_ - call.arrivedAt <= call.kind.objective;
        const Instant lastAt = std::max(call.deadline, call.arrivedAt + call.kind.due);
        ++(isInTime ? figures.inTime : now_ <= lastAt ? figures.late : figures.lost);
        sender.calls.erase(found);
    }

    void send(int index)
    {
        Sender& sender = senders_[index];
        for (; !sender.repeats.empty() && sender.repeats.begin()->first <= now_;
             sender.repeats.erase(sender.repeats.begin())) {
            Call& call = sender.calls.at(sender.repeats.begin()->second);
            call.begunAt = now_;
            call.deadline = now_ + call.kind.timeout;
            wait(sender, sender.repeats.begin()->second, call);
        }
        if (sender.lookAt <= now_)
            reject(sender);
        // Calls that were sent have earlier deadlines than most that wait, so their second copies went first.
        if (!policy_.areHedgesWithheld)
            hedge(index);
        while (const auto first = sender.waiting.first("s", now_)) {
            Call& call = sender.calls.at(sender.callByTicket.at(first->number));
            const bool isYielding
                = policy_.doesScoringYield && shouldYield(now_, call.kind.objective, call.ticket.objectiveAt);
            const auto server = sender.loads.choose(candidates_, {}, now_, isYielding);
            if (!server)
                break;
            sender.waiting.onStart("s", *first, now_);
            sender.waiting.remove("s", *first);
            start(index, *server, sender.callByTicket.at(first->number), call);
        }
        if (sender.waiting.count("s") > 0)
            sender.budget.onWaiting(now_);
        else
            hedge(index);
    }

    void hedge(int index)
    {
        Sender& sender = senders_[index];
        for (auto& [id, call] : sender.calls) {
            if (call.hedgeAt > now_ || call.active != 1)
                continue;
            if (policy_.areHedgesWithheld && !sender.budget.mayHedge(sender.waiting.count("s"), now_))
                continue;
            if (const auto server = sender.loads.choose(candidates_, {}, now_)) {
                ++figures_[call.kind.organisation].hedges;
                start(index, *server, id, call);
            }
        }
    }

    void start(int index, const std::string& id, uint64_t call, Call& state)
    {
        Sender& sender = senders_[index];
        Server& server = servers_.at(id);
        Figures& figures = figures_[state.kind.organisation];
        sender.loads.onStart(id);
        ++figures.requests;
        if (server.running.size() + server.waiting.size() >= Server::slots + Server::places) {
            ++figures.refusals;
            sender.loads.onRefused(id, now_);
            if (state.active == 0)
                wait(sender, call, state);
            return;
        }
        if (state.active > 0)
            sender.budget.onRepeat();
        else
            sender.budget.onFirstAttempt();
        ++state.active;
        state.hedgeAt = now_ + state.kind.objective / 2;
        server.waiting.push_back({ index, call, state.kind.work, now_, {} });
        server.startWaiting(now_);
    }

    void reject(Sender& sender)
    {
        sender.lookAt = now_ + ServerLoads::refusalPause;
        const ServiceRate rate = sender.loads.rateOf(candidates_);
        sender.waiting.setRate("s", rate);
        for (const CallTicket& ticket : sender.waiting.hopeless("s", rate, now_)) {
            const uint64_t id = sender.callByTicket.at(ticket.number);
            const Call& call = sender.calls.at(id);
            Figures& figures = figures_[call.kind.organisation];
            if (now_ + repeatPause < call.arrivedAt + call.kind.due) {
                ++figures.repeats;
                sender.waiting.remove("s", ticket);
                sender.repeats.emplace(now_ + repeatPause, id);
                continue;
            }
            ++figures.rejected;
            figures.waitOfRejected += now_ - call.arrivedAt;
            sender.waiting.remove("s", ticket);
            sender.calls.erase(id);
        }
    }

    static constexpr Instant begin_ { 10s };
    static constexpr Duration repeatPause = 80ms;
    Policy policy_;
    Instant now_ = begin_;
    uint64_t lastCall_ = 0;
    std::vector<ServerCandidate> candidates_ { { "s0", 6 }, { "s1", 6 }, { "s2", 6 } };
    std::map<std::string, Server> servers_ { { "s0", { 1, {}, {} } }, { "s1", { 3.5, {}, {} } },
        { "s2", { 3.5, {}, {} } } };
    std::vector<Sender> senders_;
    std::map<std::string, Figures> figures_;
};

} // namespace endiveroad::replay
