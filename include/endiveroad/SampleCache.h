#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Sample.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiveroad {

/// An agent's finished samples, kept until the trainer has received them, within a limit of bytes. Evicts received
/// samples first, then the oldest. An evicted sample that was not received has to be generated again.
class SampleCache {
public:
    explicit SampleCache(uint64_t maxBytes);

    /// Evicts at once if the samples exceed the new limit.
    void setMaxBytes(uint64_t maxBytes);

    /// Adds a sample; replaces one with the same job, step, step digest and index.
    void add(Sample);

    /// Samples of the step with this digest whose index is not in receivedBits, which has the format of
    /// IndexSet::bytes().
    std::vector<Sample> unreceivedSamples(
        const std::string& job, StepNumber, uint64_t stepDigest, std::string_view receivedBits) const;

    const Sample* find(const std::string& job, StepNumber, uint64_t stepDigest, uint32_t index) const;

    /// Marks samples as received, so that they are evicted first.
    void onReceived(const std::string& job, StepNumber, uint64_t stepDigest, std::string_view receivedBits);

    uint64_t bytes() const { return bytes_; }
    size_t count() const { return samples_.size(); }

private:
    struct Key {
        std::string job;
        StepNumber step = 0;
        uint64_t stepDigest = 0;
        uint32_t index = 0;

        auto operator<=>(const Key&) const = default;
    };

    struct CachedSample {
        Sample sample;
        uint64_t order = 0;
        bool isReceived = false;
    };

    using Samples = std::map<Key, CachedSample>;

    static uint64_t sizeOf(const Sample&);
    void evict();
    void drop(Samples::iterator);

    uint64_t maxBytes_;
    uint64_t bytes_ = 0;
    uint64_t nextOrder_ = 0;
    Samples samples_;
    /// Order of eviction: by insertion, received samples before the others.
    std::map<uint64_t, Samples::iterator> received_;
    std::map<uint64_t, Samples::iterator> unreceived_;
};

} // namespace endiveroad
