#include <endiveroad/Cursor.h>

#include "core/base/ByteCodec.h"

#include <bit>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <xxhash.h>

namespace endiveroad {

namespace {

constexpr uint8_t formatVersion = 1;
constexpr uint32_t bitsPerWord = 64;
constexpr uint32_t maxStepSize = 1U << 20;

} // namespace

IndexSet::IndexSet(uint32_t size)
    : size_(size)
    , words_((size + bitsPerWord - 1) / bitsPerWord)
{
}

uint32_t IndexSet::count() const
{
    uint32_t total = 0;
    for (uint64_t word : words_)
        total += static_cast<uint32_t>(std::popcount(word));
    return total;
}

bool IndexSet::contains(uint32_t index) const
{
    return index < size_ && (words_[index / bitsPerWord] >> (index % bitsPerWord) & 1U);
}

void IndexSet::insert(uint32_t index)
{
    words_[index / bitsPerWord] |= uint64_t { 1 } << (index % bitsPerWord);
}

void IndexSet::erase(uint32_t index)
{
    words_[index / bitsPerWord] &= ~(uint64_t { 1 } << (index % bitsPerWord));
}

std::string IndexSet::bytes() const
{
    std::string result((size_ + 7) / 8, '\0');
    for (uint32_t i = 0; i < result.size(); ++i)
        result[i] = static_cast<char>(words_[i / 8] >> (i % 8 * 8));
    return result;
}

IndexSet IndexSet::fromBytes(std::string_view bytes, uint32_t size)
{
    IndexSet result(size);
    for (uint32_t index = 0; index < size && index / 8 < bytes.size(); ++index) {
        if (static_cast<uint8_t>(bytes[index / 8]) >> (index % 8) & 1U)
            result.insert(index);
    }
    return result;
}

Cursor::Cursor(std::string job)
    : job_(std::move(job))
{
}

std::string Cursor::encode() const
{
    ByteWriter writer;
    writer.u8(formatVersion);
    writer.u64(XXH3_64bits(job_.data(), job_.size()));
    writer.u64(floor_);
    writer.u32(static_cast<uint32_t>(steps_.size()));
    for (const auto& [step, record] : steps_) {
        const bool isFull = record.received.isFull();
        writer.u64(step);
        writer.u64(record.digest);
        writer.u32(record.received.size());
        writer.u8(isFull ? 1 : 0);
        if (!isFull)
            writer.raw(record.received.bytes());
    }
    writer.u64(XXH3_64bits(writer.bytes().data(), writer.bytes().size()));
    return toBase64(writer.bytes());
}

Cursor Cursor::decode(std::string_view text, const std::string& job)
{
    Cursor cursor(job);
    if (text.empty())
        return cursor;
    try {
        const std::string bytes = fromBase64(text);
        ByteReader reader(bytes);
        if (reader.u8() != formatVersion)
            throw CursorInvalidError("the cursor has an unknown format version");
        if (reader.u64() != XXH3_64bits(job.data(), job.size()))
            throw CursorInvalidError("the cursor belongs to another job");
        cursor.floor_ = reader.u64();
        const uint32_t count = reader.u32();
        for (uint32_t i = 0; i < count; ++i) {
            const StepNumber step = reader.u64();
            StepRecord record;
            record.digest = reader.u64();
            const uint32_t size = reader.u32();
            if (size > maxStepSize || step < cursor.floor_)
                throw CursorInvalidError("the cursor lists a step that is too large or below its floor");
            const bool isFull = reader.u8() != 0;
            const std::string allOnes(isFull ? (size + 7) / 8 : 0, '\xff');
            record.received
                = IndexSet::fromBytes(isFull ? std::string_view(allOnes) : reader.raw((size + 7) / 8), size);
            cursor.steps_.emplace(step, std::move(record));
        }
        const size_t covered = reader.position();
        if (reader.u64() != XXH3_64bits(bytes.data(), covered) || reader.remaining() != 0)
            throw CursorInvalidError("the cursor has a wrong checksum");
    } catch (const ByteCodecError& error) {
        throw CursorInvalidError(fmt::format("the cursor is truncated or not valid base64: {}", error.what()));
    }
    return cursor;
}

bool Cursor::contains(StepNumber step, uint32_t index) const
{
    if (step < floor_)
        return true;
    const auto found = steps_.find(step);
    return found != steps_.end() && found->second.received.contains(index);
}

bool Cursor::isComplete(StepNumber step) const
{
    if (step < floor_)
        return true;
    const auto found = steps_.find(step);
    return found != steps_.end() && found->second.received.isFull();
}

std::vector<StepNumber> Cursor::openSteps() const
{
    std::vector<StepNumber> open;
    for (const auto& [step, record] : steps_) {
        if (!record.received.isFull())
            open.push_back(step);
    }
    return open;
}

IndexSet Cursor::received(StepNumber step, uint32_t size) const
{
    const auto found = steps_.find(step);
    return found == steps_.end() ? IndexSet(size) : found->second.received;
}

uint64_t Cursor::stepDigest(StepNumber step) const
{
    const auto found = steps_.find(step);
    return found == steps_.end() ? 0 : found->second.digest;
}

void Cursor::receive(StepNumber step, uint64_t stepDigest, uint32_t stepSize, uint32_t index)
{
    if (step < floor_)
        throw CursorInvalidError(fmt::format("step {} is below the cursor's floor {}", step, floor_));
    StepRecord& record = steps_.try_emplace(step, StepRecord { stepDigest, IndexSet(stepSize) }).first->second;
    if (record.digest != stepDigest || record.received.size() != stepSize || index >= stepSize)
        throw CursorInvalidError(
            fmt::format("the content of step {} differs from the one recorded in the cursor", step));
    record.received.insert(index);
    if (steps_.size() > maxSteps)
        raiseFloor();
}

void Cursor::raiseFloor()
{
    while (steps_.size() > maxSteps && steps_.begin()->second.received.isFull()) {
        floor_ = steps_.begin()->first + 1;
        steps_.erase(steps_.begin());
    }
}

} // namespace endiveroad
