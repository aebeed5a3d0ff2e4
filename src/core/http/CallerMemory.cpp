#include <algorithm>
#include <endiveroad/CallerMemory.h>
#include <tuple>

namespace endiveroad {

namespace {

/// Memory that a process needs without callers.
constexpr uint64_t ownBytes = 20U << 20;

/// Connections without a body may take this part of the memory for callers.
constexpr uint64_t connectionsDivisor = 4;

} // namespace

CallerBounds CallerBounds::of(uint64_t memoryBytes, uint32_t maxDescriptors)
{
    CallerBounds bounds;
    if (memoryBytes > 0) {
        bounds.bytes = (std::max(memoryBytes, 2 * ownBytes) - ownBytes) / 4 * 3;
        bounds.largeBytes = bounds.bytes / 8 * 7;
        bounds.connections = static_cast<size_t>(bounds.bytes / connectionsDivisor / CallerMemory::connectionBytes);
    }
    if (maxDescriptors > 0) {
        const size_t descriptors = maxDescriptors - maxDescriptors / 3;
        bounds.connections = bounds.connections > 0 ? std::min(bounds.connections, descriptors) : descriptors;
    }
    return bounds;
}

CallerId CallerMemory::add(Instant now)
{
    const CallerId id = nextId_++;
    accounts_[id].progressedAt = now;
    totalBytes_ += connectionBytes;
    return id;
}

void CallerMemory::remove(CallerId id)
{
    const auto found = accounts_.find(id);
    if (found == accounts_.end())
        return;
    charge(found->second, 0);
    totalBytes_ -= connectionBytes;
    accounts_.erase(found);
}

void CallerMemory::setPhase(CallerId id, CallerPhase phase, Instant now)
{
    const auto found = accounts_.find(id);
    if (found == accounts_.end())
        return;
    found->second.phase = phase;
    found->second.advanced = 0;
    found->second.progressedAt = now;
}

void CallerMemory::onProgress(CallerId id, uint64_t bytes, Instant now)
{
    const auto found = accounts_.find(id);
    if (found == accounts_.end())
        return;
    Account& account = found->second;
    account.advanced += bytes;
    if (account.advanced < progressBytes)
        return;
    account.advanced = 0;
    account.progressedAt = now;
}

void CallerMemory::charge(Account& account, uint64_t bytes)
{
    if (account.isLarge())
        largeBytes_ -= account.bytes;
    totalBytes_ = totalBytes_ - account.bytes + bytes;
    account.bytes = bytes;
    if (account.isLarge())
        largeBytes_ += bytes;
}

CallerMemory::Decision CallerMemory::hold(CallerId id, uint64_t bytes)
{
    const auto found = accounts_.find(id);
    if (found == accounts_.end())
        return { false, {} };
    Account& account = found->second;
    const uint64_t before = account.bytes;
    charge(account, bytes);
    Decision decision;
    if (bytes <= before || bounds_.bytes == 0)
        return decision;
    uint64_t total = totalBytes_;
    uint64_t large = largeBytes_;
    const auto isTooMuch = [&] { return total > bounds_.bytes || (account.isLarge() && large > bounds_.largeBytes); };
    if (!isTooMuch())
        return decision;
    for (const CallerId candidate : byProgress()) {
        // Whoever has made less progress than the connection itself yields before it does.
        if (candidate == id || !isTooMuch())
            break;
        const Account& other = accounts_.at(candidate);
        const bool isUseful = other.isLarge() || total > bounds_.bytes;
        if (!isUseful)
            continue;
        total -= other.bytes + connectionBytes;
        large -= other.isLarge() ? other.bytes : 0;
        decision.yielding.push_back(candidate);
    }
    if (isTooMuch()) {
        charge(account, before);
        return { false, {} };
    }
    for (const CallerId yielding : decision.yielding)
        remove(yielding);
    return decision;
}

bool CallerMemory::mayYield() const
{
    return std::any_of(accounts_.begin(), accounts_.end(), [](const auto& entry) { return entry.second.mayYield(); });
}

std::vector<CallerId> CallerMemory::byProgress() const
{
    std::vector<CallerId> ids;
    for (const auto& [id, account] : accounts_) {
        if (account.mayYield())
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end(), [this](CallerId left, CallerId right) {
        return std::tuple(accounts_.at(left).progressedAt, left) < std::tuple(accounts_.at(right).progressedAt, right);
    });
    return ids;
}

std::vector<CallerId> CallerMemory::excess()
{
    std::vector<CallerId> yielding;
    if (bounds_.connections == 0 || accounts_.size() <= bounds_.connections)
        return yielding;
    yielding = byProgress();
    yielding.resize(std::min(yielding.size(), accounts_.size() - bounds_.connections));
    for (const CallerId id : yielding)
        remove(id);
    return yielding;
}

} // namespace endiveroad
