#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/Event.h>
#include <fmt/format.h>
#include <fstream>
#include <set>
#include <string>
#include <vector>

using namespace endiveroad;

namespace {

using Rows = std::vector<std::string>;

/// Rows of the table in a page of docs/, without the header rows.
Rows documentedRows(const std::string& page)
{
    std::ifstream stream(std::string(ENDIVEROAD_SOURCE_DIR) + "/docs/" + page);
    REQUIRE(stream);
    Rows rows;
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with("| "))
            rows.push_back(line);
    }
    REQUIRE(rows.size() > 2);
    rows.erase(rows.begin(), rows.begin() + 2);
    return rows;
}

} // namespace

TEST_CASE("docs/ERRORS.md lists exactly the errors of ErrorCodes.def", "[catalogue]")
{
    Rows expected;
#define ERROR_CODE(type, code, status, meaning)                                                                        \
    expected.push_back(fmt::format("| `{}` | {} | {} |", code, status, meaning));
#include <endiveroad/ErrorCodes.def>
#undef ERROR_CODE
    CHECK(documentedRows("ERRORS.md") == expected);
}

TEST_CASE("docs/EVENTS.md lists exactly the events of EventCodes.def", "[catalogue]")
{
    Rows expected;
    std::set<int> numbers;
#define EVENT(type, number, level, meaning)                                                                            \
    expected.push_back(fmt::format("| {} | {} | {} | {} |", number, #type, levelName(LogLevel::level), meaning));      \
    numbers.insert(number);
#include <endiveroad/EventCodes.def>
#undef EVENT
    CHECK(documentedRows("EVENTS.md") == expected);
    CHECK(numbers.size() == expected.size());
}

TEST_CASE("docs/METRICS.md lists exactly the counters and latencies of MetricCodes.def", "[catalogue]")
{
    Rows expected;
#define COUNTER(type, name, labels, help)                                                                              \
    expected.push_back(fmt::format("| `{}` | `{}` | counter | {} |", name, labels, help));
#define LATENCY(type, name, labels, help)                                                                              \
    expected.push_back(fmt::format("| `{}` | `{}` | latency | {} |", name, labels, help));
#include <endiveroad/MetricCodes.def>
#undef COUNTER
#undef LATENCY
    CHECK(documentedRows("METRICS.md") == expected);
}

TEST_CASE("each error code is found by its text", "[catalogue]")
{
#define ERROR_CODE(type, code, status, meaning) CHECK(codeFromText(code) == ErrorCode::type);
#include <endiveroad/ErrorCodes.def>
#undef ERROR_CODE
}
