#pragma once

#include <endiveroad/Sample.h>
#include <string>
#include <string_view>

/// Paths of an entry's HTTP interface (docs/API.md).
namespace endiveroad {

enum class RouteKind { Health, Readiness, Metrics, JobState, SubmitStep, Fetch, AnnouncePolicy, ServiceCall };

/// What a request's method and target ask for.
struct Route {
    RouteKind kind = RouteKind::Health;
    /// Name of the job, or of the pool for a service call.
    std::string name;
    StepNumber step = 0;
    /// Path and query towards the backend server, for a service call.
    std::string serviceTarget;

    auto operator<=>(const Route&) const = default;

    /// Throws NotFoundError, MethodNotAllowedError, or BadRequestError for a step that is no number.
    static Route parse(std::string_view method, std::string_view target);

    /// The one method that the path takes; empty for a path that takes every method or does not exist.
    static std::string_view allowedMethod(std::string_view target);
};

} // namespace endiveroad
