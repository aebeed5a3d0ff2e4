#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Sample.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiveroad {

/// Set of sample indices of one step, one bit each.
class IndexSet {
public:
    explicit IndexSet(uint32_t size = 0);

    uint32_t size() const { return size_; }
    uint32_t count() const;
    bool contains(uint32_t index) const;
    bool isFull() const { return count() == size_; }

    /// Precondition: index < size().
    void insert(uint32_t index);

    /// Precondition: index < size().
    void erase(uint32_t index);

    /// Little-endian bytes, bit i of byte i / 8.
    std::string bytes() const;

    /// Reads what bytes() wrote; missing bytes count as zero, bits past size are dropped.
    static IndexSet fromBytes(std::string_view, uint32_t size);

    auto operator<=>(const IndexSet&) const = default;

private:
    uint32_t size_ = 0;
    std::vector<uint64_t> words_;
};

/// What a trainer has received of a job: the only record of delivery, held by the trainer itself. The text form is
/// opaque to the trainer, names its format version and its job, and is checksummed. A step below the floor, and a
/// complete step, is never delivered again.
class Cursor {
public:
    /// Number of steps that one cursor may name; past it the oldest complete ones fall below the floor.
    static constexpr size_t maxSteps = 64;

    /// A cursor that has received nothing.
    explicit Cursor(std::string job);

    /// Reads the text form; the empty text is a fresh cursor. Throws CursorInvalidError.
    static Cursor decode(std::string_view text, const std::string& job);

    /// Text form, base64 of version, job hash, floor, steps, checksum.
    std::string encode() const;

    const std::string& job() const { return job_; }
    StepNumber floor() const { return floor_; }

    bool contains(StepNumber, uint32_t index) const;
    bool isComplete(StepNumber) const;

    /// Steps of which some samples are known to be missing.
    std::vector<StepNumber> openSteps() const;

    /// Indices received of a step of the given size.
    IndexSet received(StepNumber, uint32_t size) const;

    /// Digest of the step's content at its first delivery; 0 if nothing of it was delivered.
    uint64_t stepDigest(StepNumber) const;

    /// Marks a sample as received. Throws CursorInvalidError if the step's size or digest differs from before.
    void receive(StepNumber, uint64_t stepDigest, uint32_t stepSize, uint32_t index);

    auto operator<=>(const Cursor&) const = default;

private:
    struct StepMark {
        uint64_t digest = 0;
        IndexSet received;

        auto operator<=>(const StepMark&) const = default;
    };

    void raiseFloor();

    std::string job_;
    StepNumber floor_ = 0;
    std::map<StepNumber, StepMark> steps_;
};

} // namespace endiveroad
