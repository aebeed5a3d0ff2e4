#pragma once

#include <cstdint>

/// Counts what the process allocates, for figures of state per item that do not depend on the machine's speed.
namespace endiveroad::benchmarks {

struct Allocations {
    /// Calls of operator new since the process began.
    uint64_t count = 0;
    /// Bytes that are allocated and not freed, as the allocator rounds them.
    int64_t liveBytes = 0;

    static Allocations now();
};

} // namespace endiveroad::benchmarks
