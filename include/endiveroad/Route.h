#pragma once

#include <endiveroad/Sample.h>
#include <string>
#include <string_view>

/// Paths of an entry's HTTP interface (docs/API.md).
namespace endiveroad {

enum class RouteKind { Health, Readiness, Metrics, JobState, SubmitStep, Fetch, AnnouncePolicy, ServiceCall };

/// The operation that a request's method and target select.
struct Route {
    RouteKind kind = RouteKind::Health;
    /// Name of the job, or of the pool for a service call.
    std::string name;
    StepNumber step = 0;
    /// Path and query that the backend server gets, for a service call.
    std::string serviceTarget;

    auto operator<=>(const Route&) const = default;

    /// Throws NotFoundError for an unknown path, MethodNotAllowedError, or BadRequestError for an invalid step number.
    static Route parse(std::string_view method, std::string_view target);

    /// The only method that the path accepts; empty for a path that accepts every method or does not exist.
    static std::string_view allowedMethod(std::string_view target);
};

} // namespace endiveroad
