#include "io/CallerBudget.h"

#include "io/Clock.h"
#include "io/HttpServer.h"

#include <malloc.h>
#include <string>

namespace endiveroad::io {

namespace {

/// Larger blocks are returned to the system when they are freed. Without a fixed value, the C library raises it with
/// the first large body and keeps later ones.
constexpr int largestHeapBlock = 128 << 10;

std::shared_ptr<CallerBudget>& currentBudget()
{
    static std::shared_ptr<CallerBudget> budget;
    return budget;
}

} // namespace

CallerAccountPtr accountOf(const HttpExchange& exchange)
{
    const auto* connection = dynamic_cast<const CallerConnection*>(&exchange);
    return connection ? connection->account() : nullptr;
}

std::string releaseBody(HttpExchange& exchange)
{
    auto* connection = dynamic_cast<CallerConnection*>(&exchange);
    return connection ? connection->releaseBody() : exchange.query().body;
}

const std::shared_ptr<CallerBudget>& processCallerBudget()
{
    return currentBudget();
}

void setProcessCallerBudget(std::shared_ptr<CallerBudget> budget)
{
    currentBudget() = std::move(budget);
}

CallerAccount::CallerAccount(std::shared_ptr<CallerBudget> budget, CallerId id)
    : budget_(std::move(budget))
    , id_(id)
{
}

void CallerAccount::setPhase(CallerPhase phase)
{
    budget_->memory_.setPhase(id_, phase, now());
}

void CallerAccount::onProgress(uint64_t bytes)
{
    budget_->memory_.onProgress(id_, bytes, now());
}

bool CallerAccount::holdRequest(uint64_t bytes)
{
    if (bytes == requestBytes_)
        return true;
    if (!budget_->hold(id_, bytes + answerBytes_))
        return false;
    if (bytes < requestBytes_)
        budget_->onReleased(requestBytes_ - bytes);
    requestBytes_ = bytes;
    return true;
}

bool CallerAccount::holdAnswer(uint64_t bytes)
{
    if (bytes == answerBytes_)
        return true;
    if (!budget_->hold(id_, requestBytes_ + bytes))
        return false;
    if (bytes < answerBytes_)
        budget_->onReleased(answerBytes_ - bytes);
    answerBytes_ = bytes;
    return true;
}

CallerBudget::CallerBudget(CallerBounds bounds)
    : memory_(bounds)
{
    if (bounds.bytes > 0)
        mallopt(M_MMAP_THRESHOLD, largestHeapBlock);
}

CallerAccountPtr CallerBudget::open(CallerId& id, std::function<void()> onYield)
{
    id = memory_.add(now());
    onYield_.emplace(id, std::move(onYield));
    return std::make_shared<CallerAccount>(shared_from_this(), id);
}

void CallerBudget::close(CallerId id)
{
    const uint64_t before = memory_.heldBytes();
    memory_.remove(id);
    onYield_.erase(id);
    onReleased(before - memory_.heldBytes());
}

void CallerBudget::closeExcess()
{
    const auto yielding = memory_.excess();
    yieldedForConnections_ += yielding.size();
    yield(yielding);
}

bool CallerBudget::hold(CallerId id, uint64_t bytes)
{
    const CallerMemory::Decision decision = memory_.hold(id, bytes);
    yieldedForMemory_ += decision.yielding.size() + (decision.isGranted ? 0 : 1);
    yield(decision.yielding);
    return decision.isGranted;
}

void CallerBudget::yield(const std::vector<CallerId>& ids)
{
    for (const CallerId id : ids) {
        const auto found = onYield_.find(id);
        if (found == onYield_.end())
            continue;
        const std::function<void()> onYield = std::move(found->second);
        onYield_.erase(found);
        onYield();
    }
}

void CallerBudget::onReleased(uint64_t bytes)
{
    if (bytes <= CallerMemory::smallBytes)
        return;
    releasedBytes_ += bytes;
    if (releasedBytes_ < largeRelease || now() < nextReleaseAt_)
        return;
    releasedBytes_ = 0;
    nextReleaseAt_ = now() + releaseInterval;
    malloc_trim(0);
}

} // namespace endiveroad::io
