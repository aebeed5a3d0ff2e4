#include <algorithm>
#include <catch2/catch.hpp>
#include <endiveroad/Metrics.h>
#include <random>
#include <regex>
#include <set>
#include <sstream>

using namespace endiveroad;

namespace {

constexpr Duration oneMillisecond = std::chrono::milliseconds(1);

/// Fraction of the samples that are at or below a value.
double rankOf(const std::vector<double>& samples, double value)
{
    const auto below = std::count_if(samples.begin(), samples.end(), [&](double sample) { return sample <= value; });
    return static_cast<double>(below) / static_cast<double>(samples.size());
}

} // namespace

TEST_CASE("latency quantile estimates have ranks close to the requested ones for few and many samples", "[metrics]")
{
    for (const uint32_t seed : { 1U, 2U, 3U }) {
        for (const size_t samples : { 1U, 10U, 100U, 101U, 5000U }) {
            std::mt19937 random(seed);
            std::lognormal_distribution<double> seconds(-7, 1);
            std::vector<double> all;
            LatencyStatistics statistics;
            for (size_t i = 0; i < samples; ++i) {
                const auto latency
                    = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds(random)));
                all.push_back(std::chrono::duration<double>(latency).count());
                statistics.add(latency, Instant());
            }
            const auto quantiles = statistics.quantiles(Instant());
            INFO("seed " << seed << ", samples " << samples);
            CHECK(statistics.count() == samples);
            for (size_t i = 0; i < quantiles.size(); ++i) {
                const double tolerance = samples < 100 ? 1.0 / static_cast<double>(samples) : 0.04;
                CHECK(rankOf(all, quantiles[i]) >= LatencyStatistics::probabilities[i] - tolerance);
                CHECK(rankOf(all, quantiles[i]) <= LatencyStatistics::probabilities[i] + tolerance);
            }
        }
    }
}

TEST_CASE("each histogram bucket counts all samples at or below its bound", "[metrics]")
{
    LatencyStatistics statistics;
    for (int milliseconds : { 1, 2, 3, 100, 101, 40000 })
        statistics.add(std::chrono::milliseconds(milliseconds), Instant());
    const auto buckets = statistics.cumulativeBuckets();
    const std::array<uint64_t, LatencyStatistics::bucketBounds.size()> expected { 1, 2, 3, 3, 3, 3, 4, 5, 5, 5, 5, 5, 5,
        5 };
    CHECK(buckets == expected);
    CHECK(statistics.count() == 6);
}

TEST_CASE("quantiles ignore samples that are older than two windows", "[metrics]")
{
    LatencyStatistics statistics;
    const Instant start {};
    statistics.add(std::chrono::seconds(9), start);
    CHECK(statistics.quantiles(start)[0] == Approx(9));
    const Instant second = start + LatencyStatistics::windowLength;
    statistics.add(oneMillisecond, second);
    CHECK(statistics.quantiles(second)[0] == Approx(9));
    const Instant third = second + LatencyStatistics::windowLength;
    statistics.add(oneMillisecond, third);
    CHECK(statistics.quantiles(third)[0] == Approx(0.001));
    CHECK(statistics.quantiles(third + 2 * LatencyStatistics::windowLength)[0] == 0);
    CHECK(statistics.sumSeconds() == Approx(9.002));
}

TEST_CASE("metrics are valid Prometheus text with one header for each name", "[metrics]")
{
    Metrics metrics;
    metrics.count(Counter::FramesSent, 3);
    metrics.count(Event::SwapConfirmed);
    metrics.count(ErrorCode::NotRun);
    metrics.countRefusal("all slots are taken");
    metrics.record(Latency::ServiceCall, oneMillisecond, Instant());
    const std::string text = metrics.prometheusText(
        { { "endiveroad_x", "job=\"" + escapeLabelValue("a\"\\\n") + "\"", "Help.", 2.5 } }, Instant());
    for (const char* line : { "endiveroad_frames_total{direction=\"sent\"} 3",
             "endiveroad_events_total{event=\"SwapConfirmed\",level=\"info\"} 1",
             "endiveroad_errors_total{code=\"not_run\"} 1",
             "endiveroad_refusals_total{reason=\"all slots are taken\"} 1", "endiveroad_x{job=\"a\\\"\\\\\\n\"} 2.5",
             "endiveroad_request_seconds_bucket{kind=\"service\",le=\"0.001\"} 1",
             "endiveroad_request_seconds_bucket{kind=\"service\",le=\"+Inf\"} 1",
             "endiveroad_request_seconds_sum{kind=\"service\"} 0.001",
             "endiveroad_request_seconds_recent{kind=\"service\",quantile=\"0.99\"} 0.001",
             "endiveroad_request_seconds_count{kind=\"service\"} 1", "endiveroad_store_calls_total 0" })
        CHECK(text.find(std::string("\n") + line + "\n") != std::string::npos);
    const std::regex sample(R"re([a-z_]+(\{[a-z]+="([^"\\]|\\.)*"(,[a-z]+="([^"\\]|\\.)*")*\})? [-+.e0-9]+)re");
    const std::regex head(R"(# (HELP [a-z_]+ .+|TYPE [a-z_]+ (counter|gauge|histogram)))");
    std::set<std::string> heads;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        INFO(line);
        const bool isHead = line.starts_with('#');
        CHECK(std::regex_match(line, isHead ? head : sample));
        if (isHead)
            CHECK(heads.insert(line.substr(0, line.find(' ', 7))).second);
    }
}
