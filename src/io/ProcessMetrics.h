#pragma once

#include <endiveroad/Metrics.h>

namespace endiveroad::io {

/// The metrics of this process. Not thread-safe: a process has a single I/O thread.
Metrics& processMetrics();

} // namespace endiveroad::io
