#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/JobBody.h>
#include <endiveroad/Route.h>

using namespace endiveroad;

TEST_CASE("a wrong method, an unknown path and an invalid step number give different errors", "[http]")
{
    CHECK(Route::parse("PUT", "/v1/jobs/a/steps/7") == Route { RouteKind::SubmitStep, "a", 7, "" });
    CHECK(Route::parse("GET", "/v1/jobs/a?x=1") == Route { RouteKind::JobState, "a", 0, "" });
    CHECK(Route::parse("DELETE", "/v1/services/p/x?y=1") == Route { RouteKind::ServiceCall, "p", 0, "/x?y=1" });
    CHECK(Route::parse("GET", "/v1/services/p?y=1") == Route { RouteKind::ServiceCall, "p", 0, "/?y=1" });
    CHECK_THROWS_AS(Route::parse("GET", "/v1/jobs/a/steps/7"), MethodNotAllowedError);
    CHECK_THROWS_AS(Route::parse("POST", "/healthz"), MethodNotAllowedError);
    CHECK(Route::allowedMethod("/v1/jobs/a/fetch") == "POST");
    for (const char* step : { "-1", "1x", "", "99999999999999999999" })
        CHECK_THROWS_AS(Route::parse("PUT", std::string("/v1/jobs/a/steps/") + step), BadRequestError);
    for (const char* target :
        { "", "/", "*", "/v1", "/v1/jobs", "/v1/jobs/", "/v1/jobs/a/b", "/healthz/x", "/v1/jobs/a/" })
        CHECK_THROWS_AS(Route::parse("GET", target), NotFoundError);
}

TEST_CASE("the body of a step with a missing, unknown, repeated or invalid field is refused", "[http]")
{
    const StepRequest step = parseStepBody(3, R"({"samples":[{"prompt":"p","maxTokens":8}]})");
    CHECK(step.step == 3);
    CHECK(step.samplesPerGroup == 1);
    CHECK(step.samples == std::vector<SampleRequest> { { "p", 8 } });
    for (const char* body : { "", "[]", "{}", R"({"samples":[]})", R"({"samples":{}})",
             R"({"samples":[{"prompt":"p","maxTokens":-8}]})", R"({"samples":[{"prompt":"p","maxTokens":0}]})",
             R"({"samples":[{"prompt":"p","maxTokens":8.5}]})", R"({"samples":[{"prompt":"p","maxTokens":"8"}]})",
             R"({"samples":[{"prompt":"p","maxTokens":4294967304}]})", R"({"samples":[{"prompt":1,"maxTokens":8}]})",
             R"({"samples":[{"prompt":"p"}]})", R"({"samples":[{"prompt":"p","maxTokens":8,"max_tokens":8}]})",
             R"({"samples":[{"prompt":"p","maxTokens":8}],"samplesPerGroup":2})",
             R"({"samples":[{"prompt":"p","maxTokens":8}],"samplesPerGroup":0})",
             R"({"samples":[{"prompt":"p","maxTokens":8}],"samplePerGroup":1})",
             R"({"samples":[{"prompt":"p","maxTokens":8,"maxTokens":9}]})",
             R"({"samples":[{"prompt":"p","maxTokens":8}]} x)" }) {
        INFO(body);
        CHECK_THROWS_AS(parseStepBody(3, body), BadRequestError);
    }
}

TEST_CASE("the bodies of a fetch and of a policy with a missing, unknown or invalid field are refused", "[http]")
{
    const FetchBody fetch = FetchBody::parse(R"({"policyVersion":4,"max":9,"waitMs":5,"steps":[1,2],"cursor":"c"})");
    CHECK(fetch == FetchBody { "c", 4, 9, 5, { 1, 2 } });
    for (const char* body :
        { "{}", R"({"policyVersion":-1})", R"({"policyVersion":1,"max":-1})", R"({"policyVersion":1,"max":0})",
            R"({"policyVersion":1,"waitMs":-5})", R"({"policyVersion":1,"steps":[-1]})",
            R"({"policyVersion":1,"steps":"1"})", R"({"policyVersion":1,"cursor":null})",
            R"({"policyVersion":9223372036854775808})", R"({"policyVersion":1,"wait":5})" }) {
        INFO(body);
        CHECK_THROWS_AS(FetchBody::parse(body), BadRequestError);
    }
    CHECK(PolicyBody::parse(R"({"version":4})") == PolicyBody { 4, "" });
    for (const char* body : { "{}", R"({"version":-4})", R"({"version":4,"weights":5})", R"({"version":true})" }) {
        INFO(body);
        CHECK_THROWS_AS(PolicyBody::parse(body), BadRequestError);
    }
}
