#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <endiveroad/Time.h>
#include <map>
#include <vector>

/// What a process holds for its callers, and which connections yield when that is too much.
namespace endiveroad {

/// Bounds on what the connections of callers may take together; 0 for no bound.
struct CallerBounds {
    /// Memory of all connections.
    uint64_t bytes = 0;
    /// Part of it that connections with more than smallBytes may take. The rest is left to small requests.
    uint64_t largeBytes = 0;
    size_t connections = 0;

    /// Bounds of a process with this memory and number of descriptors, either of which is 0 if it is not known. A
    /// quarter of the memory is left to the process itself and to copies under way, a third of the descriptors to
    /// peers, servers and the store.
    static CallerBounds of(uint64_t memoryBytes, uint32_t maxDescriptors);

    auto operator<=>(const CallerBounds&) const = default;
};

/// Idle: no request. Receiving: its head or body is under way. Served: the handler has the whole request.
/// Answering: its answer is being written.
enum class CallerPhase { Idle, Receiving, Served, Answering };

/// Number of a connection; never used again.
using CallerId = uint64_t;

/// Accounts of all connections of callers. A request that is served never yields, because it may have run. Of the
/// others, the one yields first whose last progress is the longest ago: a connection without a request counts from its
/// last answer, a request from its last progressBytes. A caller that sends single bytes thus makes no progress.
class CallerMemory {
public:
    /// Bytes that a connection takes without a body: its objects and the head of its request.
    static constexpr uint64_t connectionBytes = 16U << 10;

    /// Connections that hold no more than this are small.
    static constexpr uint64_t smallBytes = 64U << 10;

    /// Bytes that a caller has to send or accept for it to count as progress.
    static constexpr uint64_t progressBytes = 64U << 10;

    /// Whether a connection may hold what it asks for, and which others must be closed for that.
    struct Decision {
        bool isGranted = true;
        std::vector<CallerId> yielding;

        auto operator<=>(const Decision&) const = default;
    };

    explicit CallerMemory(CallerBounds bounds)
        : bounds_(bounds)
    {
    }

    CallerId add(Instant now);
    void remove(CallerId);
    void setPhase(CallerId, CallerPhase, Instant now);

    /// The caller has sent or accepted this many bytes.
    void onProgress(CallerId, uint64_t bytes, Instant now);

    /// Sets the bytes of a request and its answer that the connection holds. Not granted if that exceeds a bound and
    /// the connections that have made less progress do not hold enough; then the account stays as it was, and nobody
    /// yields. Connections that yield are removed.
    Decision hold(CallerId, uint64_t bytes);

    /// Connections that yield since there are more than the bound. Fewer yield than that if the others are served.
    std::vector<CallerId> excess();

    /// True if no further connection may be accepted.
    bool isFull() const { return bounds_.connections > 0 && accounts_.size() >= bounds_.connections; }

    /// True if at least one connection may yield.
    bool mayYield() const;

    uint64_t heldBytes() const { return totalBytes_; }
    size_t connections() const { return accounts_.size(); }
    const CallerBounds& bounds() const { return bounds_; }

private:
    struct Account {
        CallerPhase phase = CallerPhase::Idle;
        uint64_t bytes = 0;
        /// Bytes since the last progress.
        uint64_t advanced = 0;
        Instant progressedAt;

        bool isLarge() const { return bytes > smallBytes; }
        bool mayYield() const { return phase != CallerPhase::Served; }
    };

    void charge(Account&, uint64_t bytes);
    /// Connections that may yield, the one with the least progress first.
    std::vector<CallerId> byProgress() const;

    CallerBounds bounds_;
    std::map<CallerId, Account> accounts_;
    CallerId nextId_ = 1;
    /// Of all accounts, connectionBytes of each included.
    uint64_t totalBytes_ = 0;
    uint64_t largeBytes_ = 0;
};

} // namespace endiveroad
