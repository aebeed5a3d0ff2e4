#pragma once

#include <algorithm>
#include <compare>
#include <endiveroad/Time.h>

/// What a process that has been told to stop may still begin, and when it gives its last answers and ends.
namespace endiveroad {

/// Load pattern: callers with open connections send requests until the process is gone, and those that it begins last
/// take longer than it has left. An answer can be given for a call at any time, but not for a stream whose head has
/// been sent, so streams that may not end in time are begun early on only.
class DrainSchedule {
public:
    /// Time after the signal for which connections are accepted, because a load balancer takes a while to notice that
    /// the process drains.
    static constexpr Duration acceptTime = std::chrono::milliseconds(3300);

    /// Time after the signal for which streams are begun that may last longer than the process. By then load balancers
    /// send new connections elsewhere, so that a caller that is refused is served at once. A request that was sent 3 s
    /// after the signal must not be cut; the difference is for signals that are noticed late.
    static constexpr Duration streamTime = std::chrono::milliseconds(2900);

    /// Time before the end of the grace time at which the process ends, because it is killed at that moment.
    static constexpr Duration graceMargin = std::chrono::milliseconds(500);

    /// Time to write the answers to the requests that the process does not finish.
    static constexpr Duration answerTime = std::chrono::milliseconds(300);

    /// The schedule of a process that is told to stop at an instant and is killed after the grace time. Each part is
    /// shorter if the grace time is.
    static DrainSchedule within(Instant toldAt, Duration graceTime);

    /// Until when streams are begun whose deadline lies after the end.
    Instant streamsUntil() const { return streamsUntil_; }

    /// Until when connections are accepted; idle ones are closed then.
    Instant connectionsUntil() const { return connectionsUntil_; }

    /// When requests of which nothing has been answered yet get an answer that is true of them.
    Instant answersDueAt() const { return answersDueAt_; }

    /// When streams are broken off and the process ends.
    Instant endsAt() const { return endsAt_; }

    /// Whether a server may be sent a stream that the caller waits for until the deadline.
    bool mayBeginStream(Instant now, Instant deadline) const { return now < streamsUntil_ || deadline <= endsAt_; }

    /// The deadline of a request that is answered as a whole.
    Instant answerBy(Instant deadline) const { return std::min(deadline, answersDueAt_); }

    auto operator<=>(const DrainSchedule&) const = default;

private:
    DrainSchedule(Instant toldAt, Instant endsAt);

    Instant streamsUntil_;
    Instant connectionsUntil_;
    Instant answersDueAt_;
    Instant endsAt_;
};

} // namespace endiveroad
