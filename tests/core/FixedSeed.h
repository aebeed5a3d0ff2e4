#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>
#include <sstream>

/// Checks a property on a fixed number of random cases from a fixed seed, so that every run gives the same result. A
/// failure prints the smallest failing case that was found.
template <typename Testable>
void checkProperty(const std::string& name, uint64_t seed, int caseCount, Testable&& testable)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = caseCount;
    rc::detail::TestListenerAdapter listener;
    const auto result = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, params, listener);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(name << ", seed " << seed << ": " << text.str());
    rc::detail::SuccessResult success;
    REQUIRE(result.match(success));
    REQUIRE(success.numSuccess == caseCount);
}
