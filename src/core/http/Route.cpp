#include <endiveroad/Route.h>

#include <charconv>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <optional>
#include <vector>

namespace endiveroad {

namespace {

constexpr std::string_view servicePrefix = "/v1/services/";
constexpr size_t maxQuotedLength = 200;

std::vector<std::string_view> splitPath(std::string_view target)
{
    std::vector<std::string_view> parts;
    target = target.substr(0, target.find('?'));
    while (!target.empty()) {
        target.remove_prefix(1);
        const size_t end = std::min(target.find('/'), target.size());
        parts.push_back(target.substr(0, end));
        target.remove_prefix(end);
    }
    return parts;
}

/// The operation that a path names; the method is not checked.
std::optional<RouteKind> findKind(const std::vector<std::string_view>& path)
{
    if (path.size() == 1 && path[0] == "healthz")
        return RouteKind::Health;
    if (path.size() == 1 && path[0] == "readyz")
        return RouteKind::Readiness;
    if (path.size() == 1 && path[0] == "metrics")
        return RouteKind::Metrics;
    if (path.size() < 3 || path[0] != "v1" || path[1] != "jobs" || path[2].empty())
        return std::nullopt;
    if (path.size() == 3)
        return RouteKind::JobState;
    if (path.size() == 4 && path[3] == "fetch")
        return RouteKind::Fetch;
    if (path.size() == 4 && path[3] == "policy")
        return RouteKind::AnnouncePolicy;
    if (path.size() == 5 && path[3] == "steps")
        return RouteKind::SubmitStep;
    return std::nullopt;
}

std::string_view methodOf(RouteKind kind)
{
    switch (kind) {
    case RouteKind::SubmitStep:
    case RouteKind::AnnouncePolicy:
        return "PUT";
    case RouteKind::Fetch:
        return "POST";
    case RouteKind::ServiceCall:
        return "";
    default:
        return "GET";
    }
}

Route parseServiceCall(std::string_view target)
{
    const std::string_view rest = target.substr(servicePrefix.size());
    const size_t end = std::min(rest.find_first_of("/?"), rest.size());
    Route route;
    route.kind = RouteKind::ServiceCall;
    route.name = rest.substr(0, end);
    route.serviceTarget = rest.substr(end);
    if (rest.substr(end, 1) != "/")
        route.serviceTarget = "/" + route.serviceTarget;
    return route;
}

StepNumber parseStepNumber(std::string_view text)
{
    StepNumber number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        throw BadRequestError(fmt::format("\"{}\" is not a step number", text.substr(0, maxQuotedLength)));
    return number;
}

} // namespace

Route Route::parse(std::string_view method, std::string_view target)
{
    if (target.starts_with(servicePrefix))
        return parseServiceCall(target);
    const auto path = splitPath(target);
    const auto kind = findKind(path);
    if (!kind)
        throw NotFoundError(fmt::format("no such path: {}", target.substr(0, maxQuotedLength)));
    if (method != methodOf(*kind))
        throw MethodNotAllowedError(
            fmt::format("method {} is not allowed for this path; use {}", method, methodOf(*kind)));
    Route route;
    route.kind = *kind;
    if (path.size() > 2)
        route.name = path[2];
    if (*kind == RouteKind::SubmitStep)
        route.step = parseStepNumber(path[4]);
    return route;
}

std::string_view Route::allowedMethod(std::string_view target)
{
    if (target.starts_with(servicePrefix))
        return "";
    const auto kind = findKind(splitPath(target));
    return kind ? methodOf(*kind) : "";
}

} // namespace endiveroad
