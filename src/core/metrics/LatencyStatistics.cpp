#include <endiveroad/Metrics.h>

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <numeric>

namespace endiveroad {

namespace accumulators = boost::accumulators;

/// Estimates the quantiles of one window: exactly up to exactSamples samples, then by the P-square algorithm, whose
/// estimates are not meaningful until its markers have spread over enough samples.
class LatencyStatistics::QuantileEstimator {
public:
    QuantileEstimator()
        : markers_(accumulators::tag::extended_p_square::probabilities = probabilities)
    {
    }

    void add(double seconds)
    {
        markers_(seconds);
        if (firstSamples_.size() < exactSamples)
            firstSamples_.push_back(seconds);
    }

    std::array<double, 3> quantiles() const
    {
        std::array<double, 3> result {};
        if (accumulators::count(markers_) > exactSamples) {
            const auto estimates = accumulators::extended_p_square(markers_);
            std::copy_n(estimates.begin(), result.size(), result.begin());
            return result;
        }
        std::vector<double> sorted = firstSamples_;
        std::sort(sorted.begin(), sorted.end());
        for (size_t i = 0; i < result.size() && !sorted.empty(); ++i)
            result[i] = sorted[std::min(
                sorted.size() - 1, static_cast<size_t>(probabilities[i] * static_cast<double>(sorted.size())))];
        return result;
    }

private:
    static constexpr size_t exactSamples = 100;

    using Markers = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::extended_p_square>>;

    Markers markers_;
    std::vector<double> firstSamples_;
};

LatencyStatistics::LatencyStatistics()
    : current_(std::make_unique<QuantileEstimator>())
{
}

LatencyStatistics::~LatencyStatistics() = default;
LatencyStatistics::LatencyStatistics(LatencyStatistics&&) noexcept = default;
LatencyStatistics& LatencyStatistics::operator=(LatencyStatistics&&) noexcept = default;

void LatencyStatistics::add(Duration latency, Instant now)
{
    if (now >= windowEnd_) {
        const bool isAdjacent = now < windowEnd_ + windowLength;
        previous_ = isAdjacent ? std::move(current_) : nullptr;
        current_ = std::make_unique<QuantileEstimator>();
        windowEnd_ = now + windowLength;
    }
    const double seconds = std::chrono::duration<double>(latency).count();
    current_->add(seconds);
    sumSeconds_ += seconds;
    const auto bound = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), seconds);
    if (bound != bucketBounds.end())
        ++buckets_[static_cast<size_t>(bound - bucketBounds.begin())];
    ++count_;
}

std::array<uint64_t, LatencyStatistics::bucketBounds.size()> LatencyStatistics::cumulativeBuckets() const
{
    auto cumulative = buckets_;
    std::partial_sum(cumulative.begin(), cumulative.end(), cumulative.begin());
    return cumulative;
}

std::array<double, 3> LatencyStatistics::quantiles(Instant now) const
{
    if (count_ == 0 || now >= windowEnd_ + windowLength)
        return {};
    return previous_ ? previous_->quantiles() : current_->quantiles();
}

} // namespace endiveroad
