#include <catch2/catch.hpp>
#include <endiveroad/SettingsSync.h>
#include <fmt/format.h>
#include <functional>
#include <memory>

using namespace endiveroad;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Instant start { seconds(1000) };

SettingsDocument documentOf(int64_t revision, const SettingsDocument& before, int changedPart)
{
    SettingsDocument document = before;
    document.revision = revision;
    document.writeId = fmt::format("w{}", revision);
    const std::string text = fmt::format("{{\"r\":{}}}", revision);
    document.parts[fmt::format("part{}", changedPart)] = { partKey(text, document.writeId), text };
    return document;
}

/// Processes on a simulated network with broken connections, message loss, pauses, restarts, and a key-value service
/// that fails or returns outdated documents.
class SimulatedNetwork {
public:
    explicit SimulatedNetwork(uint32_t seed)
        : random_(seed)
        , lossPercent_(draw(3) * 10)
    {
        const int entries = 2 + draw(6);
        const int agents = draw(4);
        for (int i = 0; i < entries + agents; ++i)
            nodes_.push_back({ fmt::format("n{}", i), i < entries });
        stored_.push_back(documentOf(1, {}, 0));
        for (size_t i = 0; i < nodes_.size(); ++i)
            startProcess(i);
        tick();
    }

    void runUntil(Instant end)
    {
        while (!queue_.empty() && queue_.begin()->first <= end) {
            auto event = queue_.extract(queue_.begin());
            now_ = event.key();
            event.mapped()();
        }
        now_ = end;
    }

    /// Makes a random change to the settings, or starts or ends a random fault.
    void applyRandomEvent()
    {
        const size_t a = randomIndex();
        const size_t b = randomIndex();
        switch (draw(8)) {
        case 0:
        case 1:
            stored_.push_back(documentOf(stored_.back().revision + 1, stored_.back(), draw(4)));
            ++changes_;
            break;
        case 2:
            setCut(a, b, true);
            break;
        case 3:
            setCut(a, b, false);
            break;
        case 4:
            nodes_[a].isPaused = !nodes_[a].isPaused;
            if (!nodes_[a].isPaused)
                resume(a);
            break;
        case 5:
            startProcess(a);
            break;
        case 6:
            nodes_[a].isStoreUnreachable = !nodes_[a].isStoreUnreachable;
            break;
        default:
            isStoreDown_ = !isStoreDown_;
        }
        ++faults_;
    }

    /// Ends all faults.
    void endAllFaults()
    {
        lossPercent_ = 0;
        isStoreDown_ = false;
        returnsOutdatedDocuments_ = false;
        for (size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].isStoreUnreachable = false;
            nodes_[i].isPaused = false;
            resume(i);
            for (size_t j = 0; j < i; ++j)
                setCut(i, j, false);
        }
    }

    bool allHaveNewest() const
    {
        return std::all_of(
            nodes_.begin(), nodes_.end(), [&](const Process& node) { return node.sync->document() == stored_.back(); });
    }

    std::string states() const
    {
        std::string text = fmt::format("newest {};", stored_.back().revision);
        for (const Process& node : nodes_)
            text += fmt::format(" {}={}", node.name, node.sync->revision());
        return text;
    }

    int loweredCount() const { return loweredRevisions_; }
    int messages() const { return messages_; }
    int storeReads() const { return storeReads_; }

    /// Upper bound of the number of messages: offers on a timer and the replies to them; for each change, offers of
    /// every process to its fan-out; for each fault, offers between all peers that reconnect.
    int messageBound(int virtualSeconds) const
    {
        const int count = static_cast<int>(nodes_.size());
        const int perSecond = 2 * 2 * 2;
        return count * (virtualSeconds * perSecond + (changes_ + 1) * 4 * static_cast<int>(SettingsSync::fanout))
            + faults_ * count * count * 6;
    }

    int draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }

private:
    struct Process {
        std::string name;
        bool isEntry = false;
        std::shared_ptr<SettingsSync> sync = nullptr;
        int incarnation = 0;
        int64_t inForce = 0;
        bool isPaused = false;
        bool isStoreUnreachable = false;
        std::vector<std::function<void()>> queuedEvents = {};
    };

    size_t randomIndex() { return static_cast<size_t>(draw(static_cast<int>(nodes_.size()))); }

    void schedule(Instant time, std::function<void()> event) { queue_.emplace(time, std::move(event)); }

    bool isCut(size_t a, size_t b) const { return cuts_.contains({ std::min(a, b), std::max(a, b) }); }

    /// Agents are connected to entries only.
    bool canConnect(size_t a, size_t b) const { return a != b && (nodes_[a].isEntry || nodes_[b].isEntry); }

    SettingsPeerRole roleOf(size_t i) const
    {
        return nodes_[i].isEntry ? SettingsPeerRole::Entry : SettingsPeerRole::Agent;
    }

    void connect(size_t a, size_t b)
    {
        if (!canConnect(a, b) || isCut(a, b))
            return;
        nodes_[a].sync->onPeer(nodes_[b].name, roleOf(b), now_);
        nodes_[b].sync->onPeer(nodes_[a].name, roleOf(a), now_);
        flush(a);
        flush(b);
    }

    void setCut(size_t a, size_t b, bool isCutNow)
    {
        if (!canConnect(a, b) || isCut(a, b) == isCutNow)
            return;
        const std::pair<size_t, size_t> pair { std::min(a, b), std::max(a, b) };
        if (!isCutNow) {
            cuts_.erase(pair);
            connect(a, b);
            return;
        }
        cuts_.insert(pair);
        nodes_[a].sync->onPeerLost(nodes_[b].name);
        nodes_[b].sync->onPeerLost(nodes_[a].name);
    }

    /// Starts a process, or restarts it without any state of its former run.
    void startProcess(size_t i)
    {
        Process& node = nodes_[i];
        ++node.incarnation;
        node.inForce = 0;
        node.queuedEvents.clear();
        node.isPaused = false;
        node.sync = std::make_shared<SettingsSync>(
            static_cast<uint64_t>(draw(1 << 20)), now_, [this, i](const SettingsDocument& document) {
                loweredRevisions_ += document.revision <= nodes_[i].inForce ? 1 : 0;
                nodes_[i].inForce = document.revision;
                return true;
            });
        node.sync->expectPeers(1);
        for (size_t j = 0; j < nodes_.size(); ++j) {
            if (j == i || !nodes_[j].sync || isCut(i, j) || !canConnect(i, j))
                continue;
            nodes_[j].sync->onPeerLost(node.name);
            connect(i, j);
        }
    }

    void deliver(size_t i, int incarnation, std::function<void()> event)
    {
        if (nodes_[i].incarnation != incarnation)
            return;
        if (nodes_[i].isPaused) {
            nodes_[i].queuedEvents.push_back(std::move(event));
            return;
        }
        event();
        flush(i);
    }

    void resume(size_t i)
    {
        for (const auto& event : std::exchange(nodes_[i].queuedEvents, {})) {
            event();
            flush(i);
        }
    }

    void flush(size_t from)
    {
        for (SettingsMessage& message : nodes_[from].sync->takeMessages()) {
            ++messages_;
            const auto target = static_cast<size_t>(std::stoi(message.peer.substr(1)));
            if (isCut(from, target) || draw(100) < lossPercent_)
                continue;
            const int incarnation = nodes_[target].incarnation;
            schedule(now_ + milliseconds(1 + draw(40)), [this, from, target, incarnation, message] {
                deliver(target, incarnation, [this, from, target, message] { receive(from, target, message); });
            });
        }
    }

    void receive(size_t from, size_t target, const SettingsMessage& message)
    {
        SettingsSync& sync = *nodes_[target].sync;
        const std::string& peer = nodes_[from].name;
        if (message.kind == SettingsMessage::Kind::Offer)
            sync.onOffer(peer, message.offer, now_);
        else if (message.kind == SettingsMessage::Kind::Request)
            sync.onRequest(peer, message.knownRevision);
        else
            sync.onAnswer(peer, message.delta, now_);
    }

    /// Runs due timers and lets the watchers read the key-value service; repeats every 50 ms.
    void tick()
    {
        for (size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].isPaused)
                continue;
            if (now_ >= nodes_[i].sync->deadline())
                nodes_[i].sync->onTimer(now_);
            if (nodes_[i].isEntry && isWatcher(i))
                readStore(i);
            flush(i);
        }
        schedule(now_ + milliseconds(50), [this] { tick(); });
    }

    bool isWatcher(size_t i) const
    {
        std::vector<std::string> live { nodes_[i].name };
        for (size_t j = 0; j < nodes_.size(); ++j) {
            if (j != i && nodes_[j].isEntry && !isCut(i, j))
                live.push_back(nodes_[j].name);
        }
        return nodes_[i].sync->isWatcher(nodes_[i].name, live, now_);
    }

    void readStore(size_t i)
    {
        ++storeReads_;
        const bool isReachable = !isStoreDown_ && !nodes_[i].isStoreUnreachable;
        nodes_[i].sync->onStoreReachable(isReachable);
        if (!isReachable)
            return;
        const bool isOld = returnsOutdatedDocuments_ && draw(4) == 0;
        const auto& document
            = isOld ? stored_[static_cast<size_t>(draw(static_cast<int>(stored_.size())))] : stored_.back();
        nodes_[i].sync->onStoreRead(document, now_);
    }

    std::mt19937 random_;
    int lossPercent_;
    Instant now_ = start;
    std::multimap<Instant, std::function<void()>> queue_;
    std::vector<Process> nodes_;
    std::set<std::pair<size_t, size_t>> cuts_;
    std::vector<SettingsDocument> stored_;
    bool isStoreDown_ = false;
    bool returnsOutdatedDocuments_ = true;
    int changes_ = 0;
    int faults_ = 0;
    int loweredRevisions_ = 0;
    int messages_ = 0;
    int storeReads_ = 0;
};

void checkHistory(uint32_t seed)
{
    SimulatedNetwork network(seed);
    Instant time = start;
    const int disturbances = 4 + network.draw(16);
    for (int i = 0; i < disturbances; ++i) {
        time += milliseconds(1 + network.draw(800));
        network.runUntil(time);
        network.applyRandomEvent();
    }
    network.endAllFaults();
    time += seconds(3);
    network.runUntil(time);
    INFO("seed " << seed << ": " << network.states());
    REQUIRE(network.loweredCount() == 0);
    REQUIRE(network.allHaveNewest());
    const auto virtualSeconds = static_cast<int>(std::chrono::duration_cast<seconds>(time - start).count()) + 1;
    INFO("messages " << network.messages());
    REQUIRE(network.messages() <= network.messageBound(virtualSeconds));
}

} // namespace

TEST_CASE("no process goes back to an older revision, and all have the newest within 3 s of the end of all faults",
    "[settings]")
{
    constexpr uint32_t histories = 10000;
    for (uint32_t seed = 1; seed <= histories; ++seed)
        checkHistory(seed);
}

TEST_CASE(
    "a starting process does not put an outdated revision of the key-value service in force before that of its peers",
    "[settings]")
{
    std::vector<int64_t> inForce;
    SettingsSync sync(1, start, [&](const SettingsDocument& document) {
        inForce.push_back(document.revision);
        return true;
    });
    sync.expectPeers(1);
    const SettingsDocument old = documentOf(5, {}, 0);
    const SettingsDocument newer = documentOf(9, old, 1);
    sync.onStoreRead(old, start + milliseconds(5));
    CHECK(inForce.empty());
    sync.onPeer("a", SettingsPeerRole::Entry, start + milliseconds(10));
    sync.onOffer("a", { 9, true }, start + milliseconds(20));
    sync.onTimer(start + milliseconds(30));
    CHECK(inForce.empty());
    sync.onAnswer("a", SettingsDelta::between({}, newer), start + milliseconds(40));
    CHECK(inForce == std::vector<int64_t> { 9 });
    sync.onStoreRead(old, start + seconds(3600));
    sync.onAnswer("a", SettingsDelta::between({}, old), start + seconds(3600));
    CHECK(inForce == std::vector<int64_t> { 9 });
}

TEST_CASE("an answer holds only the parts that changed since the requested revision", "[settings]")
{
    SettingsSync sync(1, start, [](const SettingsDocument&) { return true; });
    SettingsDocument document = documentOf(1, {}, 0);
    for (int64_t revision = 1; revision <= 70; ++revision) {
        sync.onStoreRead(document, start + seconds(2));
        document = documentOf(revision + 1, document, static_cast<int>(revision % 7));
    }
    sync.takeMessages();
    sync.onRequest("a", 68);
    sync.onRequest("b", 2);
    sync.onRequest("c", 70);
    const auto answers = sync.takeMessages();
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].delta.baseRevision == 68);
    CHECK(answers[0].delta.parts.size() == 2);
    CHECK(answers[1].delta.baseRevision == 0);
    CHECK(answers[1].delta.parts.size() == 7);
    CHECK(answers[1].delta.applyTo({}) == sync.document());
    CHECK_FALSE(answers[0].delta.applyTo(documentOf(68, {}, 3)));
}

TEST_CASE("a rejected document is not requested again", "[settings]")
{
    SettingsSync sync(1, start, [](const SettingsDocument&) { return false; });
    sync.onStoreRead(documentOf(4, {}, 0), start + seconds(2));
    CHECK(sync.revision() == 0);
    sync.onOffer("a", { 4, false }, start + seconds(3));
    CHECK(sync.takeMessages().empty());
    sync.onOffer("a", { 5, false }, start + seconds(3));
    CHECK(sync.takeMessages().size() == 1);
}
