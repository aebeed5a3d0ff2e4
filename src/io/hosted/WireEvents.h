#pragma once

#include <endiveroad/BatchJob.h>
#include <endiveroad_types.h>
#include <vector>

/// Conversion of generated events and run states to and from their wire types.
namespace endiveroad::io {

/// Encodes the events from index `first` on.
std::vector<wire::GeneratedEvent> toWire(const std::vector<GeneratedEvent>&, size_t first = 0);
std::vector<GeneratedEvent> fromWire(const std::vector<wire::GeneratedEvent>&);

wire::RunState::type toWire(RunState);
RunState fromWire(wire::RunState::type);

} // namespace endiveroad::io
