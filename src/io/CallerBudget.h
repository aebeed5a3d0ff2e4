#pragma once

#include <endiveroad/CallerMemory.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// Carries out the decisions of CallerMemory for the connections of one process.
namespace endiveroad::io {

class CallerBudget;
class HttpExchange;

/// Account of one connection. Shared with what may hold bytes for its caller.
class CallerAccount {
public:
    CallerAccount(std::shared_ptr<CallerBudget>, CallerId);

    void setPhase(CallerPhase);

    /// The caller has sent or accepted this many bytes.
    void onProgress(uint64_t bytes);

    /// Sets the bytes of the request, or of its answer, that are held. Returns false if the budget does not allow that
    /// or the connection has closed; the account stays as it was then.
    bool holdRequest(uint64_t bytes);
    bool holdAnswer(uint64_t bytes);

    /// Bytes of the request that are held.
    uint64_t requestBytes() const { return requestBytes_; }

private:
    std::shared_ptr<CallerBudget> budget_;
    CallerId id_;
    uint64_t requestBytes_ = 0;
    uint64_t answerBytes_ = 0;
};

using CallerAccountPtr = std::shared_ptr<CallerAccount>;

/// A connection whose account others may use while they work for its caller.
class CallerConnection {
public:
    virtual ~CallerConnection() = default;

    /// Null if there is no budget.
    virtual CallerAccountPtr account() const = 0;

    /// Moves the body out of the request.
    virtual std::string releaseBody() = 0;
};

/// Account of the exchange's connection; null if there is none.
CallerAccountPtr accountOf(const HttpExchange&);

/// Moves the body out of the exchange's request, which no longer has it then.
std::string releaseBody(HttpExchange&);

/// Budget of all servers of the process that take connections from outside; null, the initial value, for none. A server
/// uses the budget that is set when it accepts a connection.
const std::shared_ptr<CallerBudget>& processCallerBudget();
void setProcessCallerBudget(std::shared_ptr<CallerBudget>);

class CallerBudget : public std::enable_shared_from_this<CallerBudget> {
public:
    /// Released bytes after which memory is given back to the system, and the interval in which that happens at most
    /// once.
    static constexpr uint64_t largeRelease = 8U << 20;
    static constexpr Duration releaseInterval = std::chrono::seconds(1);

    explicit CallerBudget(CallerBounds);

    /// Opens the account of a connection. `onYield` closes the connection when it has to yield.
    CallerAccountPtr open(CallerId&, std::function<void()> onYield);
    void close(CallerId);

    /// Lets connections yield if there are more than the bound.
    void closeExcess();

    bool isFull() const { return memory_.isFull(); }
    /// True if a connection may yield to a new one.
    bool mayYield() const { return memory_.mayYield(); }
    uint64_t heldBytes() const { return memory_.heldBytes(); }

    /// Connections that yielded since the start, for memory and since there were too many.
    uint64_t yieldedForMemory() const { return yieldedForMemory_; }
    uint64_t yieldedForConnections() const { return yieldedForConnections_; }
    const CallerBounds& bounds() const { return memory_.bounds(); }

private:
    friend class CallerAccount;

    bool hold(CallerId, uint64_t bytes);
    void yield(const std::vector<CallerId>&);
    void onReleased(uint64_t bytes);

    CallerMemory memory_;
    std::map<CallerId, std::function<void()>> onYield_;
    uint64_t releasedBytes_ = 0;
    Instant nextReleaseAt_ = Instant::min();
    uint64_t yieldedForMemory_ = 0;
    uint64_t yieldedForConnections_ = 0;
};

} // namespace endiveroad::io
