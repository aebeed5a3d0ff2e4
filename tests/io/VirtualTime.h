#pragma once

#include "io/Clock.h"

#include <boost/asio/io_context.hpp>
#include <map>

/// Time that advances only when a test calls advanceTo() or runFor(). It ends the waits of all I/O contexts of the
/// process.
class VirtualTime : public endiveroad::io::TimeSource {
public:
    VirtualTime() { endiveroad::io::useTimeSource(this); }
    VirtualTime(const VirtualTime&) = delete;
    VirtualTime& operator=(const VirtualTime&) = delete;
    ~VirtualTime() override { endiveroad::io::useTimeSource(nullptr); }

    endiveroad::Instant now() const override { return now_; }

    int64_t wallMs() const override
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count();
    }

    void beginWait(boost::asio::steady_timer& timer, endiveroad::Instant instant) override
    {
        using TimePoint = boost::asio::steady_timer::time_point;
        const bool isOver = instant <= now_;
        timer.expires_at(isOver ? TimePoint::min() : TimePoint::max());
        if (!isOver)
            waits_[++lastWait_] = { &timer, instant };
    }

    void endWait(boost::asio::steady_timer& timer) override
    {
        std::erase_if(waits_, [&timer](const auto& entry) { return entry.second.timer == &timer; });
    }

    /// The earliest end of a wait; `never` if nothing waits.
    endiveroad::Instant next() const
    {
        endiveroad::Instant first = endiveroad::never;
        for (const auto& [number, wait] : waits_)
            first = std::min(first, wait.end);
        return first;
    }

    /// Advances the time to the instant and ends the waits that are due by then.
    void advanceTo(endiveroad::Instant instant)
    {
        now_ = std::max(now_, instant);
        for (auto wait = waits_.begin(); wait != waits_.end();) {
            if (wait->second.end > now_) {
                ++wait;
                continue;
            }
            wait->second.timer->cancel();
            wait = waits_.erase(wait);
        }
    }

    /// Runs the context while the time advances by the duration, one wait after the other.
    void runFor(boost::asio::io_context& context, endiveroad::Duration duration)
    {
        const endiveroad::Instant end = now_ + duration;
        context.poll();
        while (next() <= end) {
            advanceTo(next());
            context.restart();
            context.poll();
        }
        advanceTo(end);
    }

private:
    struct Wait {
        boost::asio::steady_timer* timer = nullptr;
        endiveroad::Instant end;
    };

    endiveroad::Instant now_ { std::chrono::seconds(1000) };
    /// Ordered by when they began, so that waits due at the same instant end in that order.
    std::map<uint64_t, Wait> waits_;
    uint64_t lastWait_ = 0;
};
