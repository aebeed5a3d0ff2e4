#pragma once

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

/// Messages in flight. They may arrive in any order, twice, after the sender has timed out, or never. The argument
/// `pick` selects a message, modulo their number.
namespace simulation {

class Network {
public:
    using Action = std::function<void()>;

    /// Runs deliver at the receiver, or onLost at the sender when it times out. After onLost the message may still be
    /// delivered late.
    void send(Action deliver, Action onLost = {}) { messages_.push_back({ std::move(deliver), std::move(onLost) }); }

    size_t size() const { return messages_.size(); }

    void deliver(size_t pick) { take(pick).deliver(); }
    void deliverTwice(size_t pick)
    {
        const Message message = take(pick);
        message.deliver();
        message.deliver();
    }

    void lose(size_t pick)
    {
        const Message message = take(pick);
        if (message.onLost)
            message.onLost();
    }

    /// The sender times out, but the message stays in flight and arrives later.
    void delay(size_t pick)
    {
        const Message message = take(pick);
        if (message.onLost)
            message.onLost();
        messages_.push_back({ message.deliver, {} });
    }

private:
    struct Message {
        Action deliver;
        Action onLost;
    };

    Message take(size_t pick)
    {
        const size_t index = pick % messages_.size();
        Message message = std::move(messages_[index]);
        messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
        return message;
    }

    std::vector<Message> messages_;
};

} // namespace simulation
