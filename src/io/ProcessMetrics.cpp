#include "io/ProcessMetrics.h"

namespace endiveroad::io {

Metrics& processMetrics()
{
    static Metrics metrics;
    return metrics;
}

} // namespace endiveroad::io
