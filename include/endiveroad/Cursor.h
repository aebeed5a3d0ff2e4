#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Sample.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiveroad {

/// Set of sample indices of one step, stored as a bitmap.
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

    /// The bitmap as bytes: index i is bit i % 8 of byte i / 8.
    std::string bytes() const;

    /// Inverse of bytes(). Missing bytes count as zero, bits past size are dropped.
    static IndexSet fromBytes(std::string_view, uint32_t size);

    auto operator<=>(const IndexSet&) const = default;

private:
    uint32_t size_ = 0;
    std::vector<uint64_t> words_;
};

/// Set of a job's samples that the trainer has received. The trainer keeps it and sends it with every fetch; the
/// service has no other record of delivery. Its text form is opaque to the trainer and contains a format version, the
/// job and a checksum. Steps below the floor and complete steps are never delivered again.
class Cursor {
public:
    /// Above this number of listed steps, the oldest are dropped and the floor rises past them, but only while the
    /// oldest one is complete.
    static constexpr size_t maxSteps = 64;

    /// A cursor that has received nothing.
    explicit Cursor(std::string job);

    /// Parses the text form; an empty text gives a new cursor. Throws CursorInvalidError.
    static Cursor decode(std::string_view text, const std::string& job);

    /// Text form: base64 of format version, job hash, floor, steps and checksum.
    std::string encode() const;

    const std::string& job() const { return job_; }
    StepNumber floor() const { return floor_; }

    bool contains(StepNumber, uint32_t index) const;
    bool isComplete(StepNumber) const;

    /// Listed steps that are not complete.
    std::vector<StepNumber> openSteps() const;

    /// Received indices of the step; empty with the given size if nothing of it was received.
    IndexSet received(StepNumber, uint32_t size) const;

    /// Digest of the step's content when its first sample was received; 0 if none was.
    uint64_t stepDigest(StepNumber) const;

    /// Marks a sample as received. Throws CursorInvalidError if the step is below the floor, its size or digest differs
    /// from an earlier sample of the step, or the index is out of range.
    void receive(StepNumber, uint64_t stepDigest, uint32_t stepSize, uint32_t index);

    auto operator<=>(const Cursor&) const = default;

private:
    struct StepRecord {
        uint64_t digest = 0;
        IndexSet received;

        auto operator<=>(const StepRecord&) const = default;
    };

    void raiseFloor();

    std::string job_;
    StepNumber floor_ = 0;
    std::map<StepNumber, StepRecord> steps_;
};

} // namespace endiveroad
