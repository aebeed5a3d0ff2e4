#pragma once

#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <string>

/// Decides which processes read the directory from the store, so that few calls serve all of them.
namespace endiveroad {

/// A coordinator reads unless one with a lower name does; any other process reads only when it hears of no reader.
/// Needs no agreement: two readers at once cost calls and nothing else.
class ReaderElection {
public:
    /// Time for which news from a reader makes another one needless.
    static constexpr Duration coverage = std::chrono::milliseconds(1300);

    /// The name is that of a coordinator; nothing for other processes, which wait for a reader until the instant.
    ReaderElection(std::optional<std::string> coordinator, Instant waitUntil);

    bool isCoordinator() const { return coordinator_.has_value(); }

    /// Another process told of a state of the store that it has just read.
    void onFresh(const std::string& reader, Instant now);

    /// This process has read the store; that does not relieve it of reading on.
    void onOwnRead(Instant now);

    bool shouldRead(Instant now) const;

    /// True if some reader, this process included, was heard of lately.
    bool isCovered(Instant now) const;

private:
    std::optional<std::string> coordinator_;
    Instant waitUntil_;
    /// When what this process read itself is no longer fresh.
    Instant ownFreshUntil_ = Instant::min();
    /// When the news of each other reader is no longer fresh.
    std::map<std::string, Instant> freshUntil_;
};

} // namespace endiveroad
