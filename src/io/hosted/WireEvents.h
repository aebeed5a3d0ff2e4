#pragma once

#include <endiveroad/BatchJob.h>
#include <endiveroad_types.h>
#include <vector>

/// Generated events in messages between processes.
namespace endiveroad::io {

std::vector<wire::GeneratedEvent> toWire(const std::vector<GeneratedEvent>&, size_t first = 0);
std::vector<GeneratedEvent> fromWire(const std::vector<wire::GeneratedEvent>&);

wire::RunState::type toWire(RunState);
RunState fromWire(wire::RunState::type);

} // namespace endiveroad::io
