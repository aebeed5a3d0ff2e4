#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <endiveroad/Error.h>
#include <endiveroad/Event.h>
#include <endiveroad/Time.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Counters and latency distributions of a process, and their Prometheus text form (docs/METRICS.md).
namespace endiveroad {

enum class Counter {
#define COUNTER(type, name, labels, help) type,
#define LATENCY(type, name, labels, help)
#include <endiveroad/MetricCodes.def>
#undef COUNTER
#undef LATENCY
    End
};

enum class Latency {
#define COUNTER(type, name, labels, help)
#define LATENCY(type, name, labels, help) type,
#include <endiveroad/MetricCodes.def>
#undef COUNTER
#undef LATENCY
    End
};

/// How long something took: a histogram since the start, and quantiles over the last one to two windows, in bounded
/// memory: one set of accumulators is filled while the one before it is still read.
class LatencyWindow {
public:
    static constexpr std::array<double, 3> probabilities { 0.5, 0.9, 0.99 };
    static constexpr Duration window = std::chrono::minutes(1);

    /// Upper bounds of the histogram's buckets in seconds; one more holds what took longer.
    static constexpr std::array<double, 14> bucketBounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1,
        2.5, 5, 10, 30 };

    LatencyWindow();
    ~LatencyWindow();
    LatencyWindow(LatencyWindow&&) noexcept;
    LatencyWindow& operator=(LatencyWindow&&) noexcept;

    void add(Duration latency, Instant now);

    /// Quantile estimates in seconds, in the order of probabilities; all 0 if there was no sample in time.
    std::array<double, 3> quantiles(Instant now) const;

    /// Samples since the start that took no longer than each bound.
    std::array<uint64_t, bucketBounds.size()> cumulativeBuckets() const;

    /// Samples and their sum in seconds since the start.
    uint64_t count() const { return count_; }
    double sumSeconds() const { return sumSeconds_; }

private:
    class Estimate;

    std::unique_ptr<Estimate> present_;
    std::unique_ptr<Estimate> previous_;
    Instant windowEnd_ = Instant::min();
    /// Samples by the first bound that holds them; those over all bounds are only counted.
    std::array<uint64_t, bucketBounds.size()> buckets_ {};
    uint64_t count_ = 0;
    double sumSeconds_ = 0;
};

/// A value read at the moment of a scrape.
struct Gauge {
    std::string name;
    /// As in `pool="ledge-lm"`; empty for none.
    std::string labels;
    std::string help;
    double value = 0;

    auto operator<=>(const Gauge&) const = default;
};

class Metrics {
public:
    void count(Counter counter, uint64_t by = 1) { counters_[static_cast<size_t>(counter)] += by; }
    void count(Event event) { ++events_[event]; }
    void count(ErrorCode code) { ++errors_[code]; }
    /// An agent refused to start an item. Reasons are a fixed few.
    void countRefusal(const std::string& reason) { ++refusals_[reason]; }
    void record(Latency, Duration, Instant now);

    uint64_t value(Counter counter) const { return counters_[static_cast<size_t>(counter)]; }
    uint64_t value(Event) const;
    uint64_t value(ErrorCode) const;
    const LatencyWindow& latency(Latency latency) const { return latencies_[static_cast<size_t>(latency)]; }

    /// Everything in the Prometheus text format, version 0.0.4. Gauges of one name stand together.
    std::string prometheusText(const std::vector<Gauge>&, Instant now) const;

private:
    std::array<uint64_t, static_cast<size_t>(Counter::End)> counters_ {};
    std::array<LatencyWindow, static_cast<size_t>(Latency::End)> latencies_;
    std::map<Event, uint64_t> events_;
    std::map<ErrorCode, uint64_t> errors_;
    std::map<std::string, uint64_t> refusals_;
};

/// A label value with quotes, backslashes and line ends escaped.
std::string labelValue(std::string_view);

} // namespace endiveroad
