#include "io/Log.h"
#include "VirtualTime.h"

#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <fcntl.h>
#include <sstream>
#include <unistd.h>

using namespace endiveroad;
using namespace endiveroad::io;

namespace {

/// Replaces standard output by a non-blocking pipe that is read only by read().
class OutputPipe {
public:
    OutputPipe()
        : saved_(dup(STDOUT_FILENO))
    {
        REQUIRE(pipe2(ends_, O_NONBLOCK) == 0);
        dup2(ends_[1], STDOUT_FILENO);
    }
    OutputPipe(const OutputPipe&) = delete;
    OutputPipe& operator=(const OutputPipe&) = delete;
    ~OutputPipe()
    {
        dup2(saved_, STDOUT_FILENO);
        for (int descriptor : { saved_, ends_[0], ends_[1] })
            close(descriptor);
    }

    std::string read()
    {
        std::string text;
        char buffer[65536];
        for (ssize_t bytes = ::read(ends_[0], buffer, sizeof(buffer)); bytes > 0;
             bytes = ::read(ends_[0], buffer, sizeof(buffer)))
            text.append(buffer, static_cast<size_t>(bytes));
        return text;
    }

private:
    int saved_;
    int ends_[2] {};
};

struct LineCounts {
    uint64_t written = 0;
    uint64_t omitted = 0;
    bool areLinesWhole = true;
};

LineCounts countLines(const std::string& text)
{
    LineCounts counts;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        try {
            const TimelineEntry entry = fromJsonLine(line);
            if (entry.event != Event::LinesOmitted) {
                ++counts.written;
                continue;
            }
            for (const auto& [name, value] : entry.fields)
                counts.omitted += name == "lines" ? std::stoull(value) : 0;
        } catch (const FrameInvalidError&) {
            counts.areLinesWhole = false;
        }
    }
    return counts;
}

const std::vector<Event> kinds { Event::ItemPlaced, Event::ItemRunEnded, Event::ItemRefused, Event::ItemMoved,
    Event::ResultsListed, Event::BatchJobAccepted, Event::BatchJobEnded, Event::BatchJobLost, Event::BatchJobClaimed,
    Event::ServerUp, Event::ServerDown, Event::DirectoryChanged };

} // namespace

TEST_CASE("lines of all events together are limited, and each omitted line is counted", "[log]")
{
    VirtualTime time;
    Log log;
    log.configure(LogFormat::Json, LogLevel::Info, "node");
    constexpr uint64_t linesOfKind = 140;
    std::string first;
    std::string second;
    {
        OutputPipe output;
        for (Event kind : kinds) {
            for (uint64_t i = 0; i < linesOfKind; ++i) {
                log.write(kind, { { "n", std::to_string(i) } });
                first += output.read();
            }
        }
        time.advanceTo(time.now() + std::chrono::seconds(1));
        log.write(kinds.front(), {});
        second = output.read();
    }
    CHECK(countLines(first).written == Log::maxTotalLinesPerSecond);
    CHECK(countLines(second).written == 1);
    CHECK(countLines(second).omitted == linesOfKind * kinds.size() - Log::maxTotalLinesPerSecond);
}

TEST_CASE("a reader that stops reading loses only whole lines, and each is counted", "[log]")
{
    VirtualTime time;
    Log log;
    log.configure(LogFormat::Json, LogLevel::Info, "node");
    uint64_t lines = 0;
    std::string text;
    {
        OutputPipe output;
        // Each line takes three pages, so one line fits only partly into the pipe's sixteen pages.
        const std::string field(9000, 'x');
        for (; lines < 100; ++lines)
            log.write(Event::ItemPlaced, { { "n", field } });
        text = output.read();
        for (; lines < 103; ++lines)
            log.write(Event::ItemMoved, { { "n", field } });
        text += output.read();
    }
    const LineCounts counts = countLines(text);
    CHECK(counts.areLinesWhole);
    CHECK(counts.written < 100);
    CHECK(counts.written + counts.omitted == lines);
}
