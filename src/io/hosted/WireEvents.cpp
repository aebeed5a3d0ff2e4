#include "io/hosted/WireEvents.h"

namespace endiveroad::io {

std::vector<wire::GeneratedEvent> toWire(const std::vector<GeneratedEvent>& events, size_t first)
{
    std::vector<wire::GeneratedEvent> encoded;
    for (size_t i = first; i < events.size(); ++i) {
        wire::GeneratedEvent event;
        event.id = events[i].id;
        event.data = events[i].data;
        event.version = events[i].version;
        encoded.push_back(std::move(event));
    }
    return encoded;
}

std::vector<GeneratedEvent> fromWire(const std::vector<wire::GeneratedEvent>& encoded)
{
    std::vector<GeneratedEvent> events;
    events.reserve(encoded.size());
    for (const wire::GeneratedEvent& event : encoded)
        events.push_back({ event.id, event.data, event.version });
    return events;
}

wire::RunState::type toWire(RunState state)
{
    switch (state) {
    case RunState::Running:
        return wire::RunState::Running;
    case RunState::Completed:
        return wire::RunState::Completed;
    case RunState::Failed:
        return wire::RunState::Failed;
    case RunState::NotRun:
        return wire::RunState::NotRun;
    }
    return wire::RunState::Failed;
}

RunState fromWire(wire::RunState::type state)
{
    switch (state) {
    case wire::RunState::Running:
        return RunState::Running;
    case wire::RunState::Completed:
        return RunState::Completed;
    case wire::RunState::NotRun:
        return RunState::NotRun;
    case wire::RunState::Failed:
        break;
    }
    return RunState::Failed;
}

} // namespace endiveroad::io
