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

/// Counters and latency distributions of one process, and their output in the Prometheus text format
/// (docs/METRICS.md).
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

/// Distribution of one latency in bounded memory: a histogram since the process started, and quantiles of the
/// previous window, which is complete, or of the current one if there is no previous one. A window begins with the
/// first sample after the end of the last one; the last one counts as previous only if that sample came within
/// windowLength of its end.
class LatencyStatistics {
public:
    static constexpr std::array<double, 3> probabilities { 0.5, 0.9, 0.99 };
    static constexpr Duration windowLength = std::chrono::minutes(1);

    /// Upper bounds of the histogram's buckets in seconds. Longer latencies count in the +Inf bucket only.
    static constexpr std::array<double, 14> bucketBounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1,
        2.5, 5, 10, 30 };

    LatencyStatistics();
    ~LatencyStatistics();
    LatencyStatistics(LatencyStatistics&&) noexcept;
    LatencyStatistics& operator=(LatencyStatistics&&) noexcept;

    void add(Duration latency, Instant now);

    /// Quantile estimates in seconds, in the order of probabilities. All are 0 before the first sample, and again once
    /// a whole windowLength has passed after the window of the latest sample.
    std::array<double, 3> quantiles(Instant now) const;

    /// For each bound, the number of samples since the start that are at or below it.
    std::array<uint64_t, bucketBounds.size()> cumulativeBuckets() const;

    /// Number of samples since the start, and their sum in seconds.
    uint64_t count() const { return count_; }
    double sumSeconds() const { return sumSeconds_; }

private:
    class QuantileEstimator;

    std::unique_ptr<QuantileEstimator> current_;
    std::unique_ptr<QuantileEstimator> previous_;
    Instant windowEnd_ = Instant::min();
    /// Samples per bucket, not cumulative: a sample counts under the lowest bound that is at least its value. Samples
    /// above all bounds are not included.
    std::array<uint64_t, bucketBounds.size()> buckets_ {};
    uint64_t count_ = 0;
    double sumSeconds_ = 0;
};

/// A metric whose value is read when the metrics are scraped.
struct Gauge {
    std::string name;
    /// Labels as written in the text format, such as `pool="ledge-lm"`; empty if there are none.
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
    /// Counts an item that the agent refused to start. The reason becomes a label, so it must be one of a small fixed
    /// set.
    void countRefusal(const std::string& reason) { ++refusals_[reason]; }
    void record(Latency, Duration, Instant now);

    uint64_t value(Counter counter) const { return counters_[static_cast<size_t>(counter)]; }
    uint64_t value(Event) const;
    uint64_t value(ErrorCode) const;
    const LatencyStatistics& latency(Latency latency) const { return latencies_[static_cast<size_t>(latency)]; }

    /// All metrics and the given gauges in the Prometheus text format, version 0.0.4. The caller must pass gauges of
    /// the same name next to each other, since the format allows one header for each name.
    std::string prometheusText(const std::vector<Gauge>&, Instant now) const;

private:
    std::array<uint64_t, static_cast<size_t>(Counter::End)> counters_ {};
    std::array<LatencyStatistics, static_cast<size_t>(Latency::End)> latencies_;
    std::map<Event, uint64_t> events_;
    std::map<ErrorCode, uint64_t> errors_;
    std::map<std::string, uint64_t> refusals_;
};

/// Escapes quotes, backslashes and line feeds, so that the text can stand as a label value.
std::string escapeLabelValue(std::string_view);

} // namespace endiveroad
