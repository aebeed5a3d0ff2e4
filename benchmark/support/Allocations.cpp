#include "support/Allocations.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

uint64_t allocatedCount = 0;
int64_t allocatedBytes = 0;

void* allocate(size_t size)
{
    void* memory = std::malloc(size);
    if (!memory)
        throw std::bad_alloc();
    ++allocatedCount;
    allocatedBytes += static_cast<int64_t>(malloc_usable_size(memory));
    return memory;
}

void release(void* memory)
{
    allocatedBytes -= static_cast<int64_t>(malloc_usable_size(memory));
    std::free(memory);
}

} // namespace

namespace endiveroad::benchmarks {

Allocations Allocations::now()
{
    return { allocatedCount, allocatedBytes };
}

} // namespace endiveroad::benchmarks

void* operator new(size_t size)
{
    return allocate(size);
}

void* operator new[](size_t size)
{
    return allocate(size);
}

void operator delete(void* memory) noexcept
{
    release(memory);
}

void operator delete[](void* memory) noexcept
{
    release(memory);
}

void operator delete(void* memory, size_t) noexcept
{
    release(memory);
}

void operator delete[](void* memory, size_t) noexcept
{
    release(memory);
}
