#include <endiveroad/Error.h>
#include <endiveroad/EventStreamBuffer.h>
#include <utility>

namespace endiveroad {

void EventStreamBuffer::append(std::string_view piece)
{
    bytes_.append(piece);
    std::vector<StreamEvent> events;
    try {
        reader_.feed(piece, events);
    } catch (const AnswerBrokenError&) {
        addWhole(events);
        throw;
    }
    addWhole(events);
}

void EventStreamBuffer::addWhole(const std::vector<StreamEvent>& events)
{
    for (const StreamEvent& event : events) {
        const bool hasContent = event.id || !event.data.empty();
        count_ += hasContent ? 1 : 0;
        lastId_ = event.id ? event.id : lastId_;
    }
}

WholeEvents EventStreamBuffer::takeWhole()
{
    const size_t size = reader_.wholeEventBytes() - takenBytes_;
    WholeEvents whole { bytes_.substr(0, size), std::exchange(count_, 0), std::exchange(lastId_, std::nullopt) };
    bytes_.erase(0, size);
    takenBytes_ += size;
    return whole;
}

} // namespace endiveroad
