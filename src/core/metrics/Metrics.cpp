#include <endiveroad/Metrics.h>

#include <fmt/format.h>
#include <string_view>

namespace endiveroad {

namespace {

struct Row {
    std::string_view name;
    std::string_view labels;
    std::string_view help;
};

constexpr Row counterRows[] {
#define COUNTER(type, name, labels, help) { name, labels, help },
#define LATENCY(type, name, labels, help)
#include <endiveroad/MetricCodes.def>
#undef COUNTER
#undef LATENCY
};

constexpr Row latencyRows[] {
#define COUNTER(type, name, labels, help)
#define LATENCY(type, name, labels, help) { name, labels, help },
#include <endiveroad/MetricCodes.def>
#undef COUNTER
#undef LATENCY
};

/// Writes the text format. The HELP and TYPE lines of a metric are written once, before its first sample.
class Writer {
public:
    void writeSample(const Row& row, std::string_view type, double value) { writeSample(row, type, "", value); }

    void writeSample(const Row& row, std::string_view type, std::string_view suffix, double value)
    {
        writeHeader(row, type);
        const std::string labels = row.labels.empty() ? "" : fmt::format("{{{}}}", row.labels);
        text_ += fmt::format("{}{}{} {}\n", row.name, suffix, labels, value);
    }

    void writeHeader(const Row& row, std::string_view type)
    {
        if (row.name == lastName_)
            return;
        lastName_ = row.name;
        text_ += fmt::format("# HELP {} {}\n# TYPE {} {}\n", row.name, row.help, row.name, type);
    }

    std::string take() { return std::move(text_); }

private:
    std::string text_;
    std::string lastName_;
};

/// The labels of the row with one label added.
std::string labelsWith(const Row& row, std::string_view name, std::string_view value)
{
    return fmt::format("{}{}{}=\"{}\"", row.labels, row.labels.empty() ? "" : ",", name, value);
}

void writeHistogram(Writer& writer, const Row& row, const LatencyStatistics& latency)
{
    const auto buckets = latency.cumulativeBuckets();
    for (size_t i = 0; i < buckets.size(); ++i) {
        const std::string labels = labelsWith(row, "le", fmt::format("{}", LatencyStatistics::bucketBounds[i]));
        writer.writeSample({ row.name, labels, row.help }, "histogram", "_bucket", static_cast<double>(buckets[i]));
    }
    const std::string infLabels = labelsWith(row, "le", "+Inf");
    writer.writeSample({ row.name, infLabels, row.help }, "histogram", "_bucket", static_cast<double>(latency.count()));
    writer.writeSample(row, "histogram", "_sum", latency.sumSeconds());
    writer.writeSample(row, "histogram", "_count", static_cast<double>(latency.count()));
}

void writeQuantiles(Writer& writer, const Row& row, const LatencyStatistics& latency, Instant now)
{
    const std::string name = fmt::format("{}_recent", row.name);
    const std::string help = row.help.empty() ? "" : fmt::format("{} Over the last one to two minutes.", row.help);
    const auto quantiles = latency.quantiles(now);
    for (size_t i = 0; i < quantiles.size(); ++i) {
        const std::string labels = labelsWith(row, "quantile", fmt::format("{}", LatencyStatistics::probabilities[i]));
        writer.writeSample({ name, labels, help }, "gauge", quantiles[i]);
    }
}

template <typename Key>
uint64_t countFor(const std::map<Key, uint64_t>& counts, Key key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

void Metrics::record(Latency latency, Duration duration, Instant now)
{
    latencies_[static_cast<size_t>(latency)].add(duration, now);
}

uint64_t Metrics::value(Event event) const
{
    return countFor(events_, event);
}

uint64_t Metrics::value(ErrorCode code) const
{
    return countFor(errors_, code);
}

std::string Metrics::prometheusText(const std::vector<Gauge>& gauges, Instant now) const
{
    Writer writer;
    for (size_t i = 0; i < counters_.size(); ++i)
        writer.writeSample(counterRows[i], "counter", static_cast<double>(counters_[i]));
    for (const auto& [code, count] : errors_) {
        const std::string labels = fmt::format("code=\"{}\"", codeText(code));
        writer.writeSample({ "endiveroad_errors_total", labels, "Error answers to callers by code." }, "counter",
            static_cast<double>(count));
    }
    for (const auto& [event, count] : events_) {
        const std::string labels
            = fmt::format("event=\"{}\",level=\"{}\"", eventName(event), levelName(eventLevel(event)));
        writer.writeSample({ "endiveroad_events_total", labels, "Events of docs/EVENTS.md, logged or not." }, "counter",
            static_cast<double>(count));
    }
    for (const auto& [reason, count] : refusals_) {
        const std::string labels = fmt::format("reason=\"{}\"", escapeLabelValue(reason));
        writer.writeSample(
            { "endiveroad_refusals_total", labels, "Starts of items that the agent refused, by reason." }, "counter",
            static_cast<double>(count));
    }
    for (size_t i = 0; i < latencies_.size(); ++i)
        writeHistogram(writer, latencyRows[i], latencies_[i]);
    for (size_t i = 0; i < latencies_.size(); ++i)
        writeQuantiles(writer, latencyRows[i], latencies_[i], now);
    for (const Gauge& gauge : gauges)
        writer.writeSample({ gauge.name, gauge.labels, gauge.help }, "gauge", gauge.value);
    return writer.take();
}

std::string escapeLabelValue(std::string_view text)
{
    std::string result;
    for (char c : text) {
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '\\' || c == '"')
            result += '\\';
        result += c;
    }
    return result;
}

} // namespace endiveroad
