#include <algorithm>
#include <endiveroad/BatchJob.h>
#include <endiveroad/ScoringObjective.h>

namespace endiveroad {

Instant scoringObjective(Instant now, Duration routeObjective, Instant deadline, Instant dueAt)
{
    // From then on a job lists whatever is finished.
    const Instant wantedAt = dueAt - BatchJob::flushLeadTime;
    const Instant latest = now + (deadline - now) / 2;
    return std::max(now + routeObjective, std::min(wantedAt, latest));
}

bool shouldYield(Instant now, Duration routeObjective, Instant objectiveAt)
{
    return now < objectiveAt - routeObjective;
}

} // namespace endiveroad
