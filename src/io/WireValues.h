#pragma once

#include <endiveroad/Cursor.h>
#include <endiveroad/ReplicaTable.h>
#include <endiveroad/Sample.h>
#include <endiveroad_types.h>

/// Conversions between the core's types and the Thrift structs sent between processes.
namespace endiveroad::io {

wire::Sample toWire(const Sample&);
Sample fromWire(const wire::Sample&);
ReplicaReport fromWire(const wire::AgentReport&);

} // namespace endiveroad::io
