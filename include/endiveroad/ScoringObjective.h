#pragma once

#include <endiveroad/Time.h>

/// When scoring calls are wanted, and how long they leave room to callers' calls of the same service.
namespace endiveroad {

/// Time within which a scoring call that begins now is wanted. With time left until the job is due it lies later than
/// the route's latency objective, so that callers' calls of the same priority go first; without, a scoring call
/// competes with them. It lies within the first half of the call's time, so that no call starves. Load pattern:
/// hundreds of scoring calls of a step that has seconds left arrive beside callers' calls with an objective of 150 ms.
Instant scoringObjective(Instant now, Duration routeObjective, Instant deadline, Instant dueAt);

/// True while a call has more time until its objective than calls of its route have when they begin. Such a call leaves
/// servers that are full to others.
bool shouldYield(Instant now, Duration routeObjective, Instant objectiveAt);

} // namespace endiveroad
