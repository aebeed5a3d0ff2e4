#include <catch2/catch.hpp>
#include <endiveroad/AttemptEffects.h>

using namespace endiveroad;

// Guards against a refusal that is true of the last attempt only.
TEST_CASE("a refusal after an attempt of unknown outcome leaves the outcome unknown", "[calls]")
{
    AttemptEffects effects;
    effects.onFailure(PeerUnavailableError("not sent"));
    effects.onFailure(RequestUnsendableError("not written"));
    CHECK_FALSE(effects.mayHaveTakenEffect());
    CHECK_THROWS_AS(effects.fail<NotRunError>(), NotRunError);
    effects.onFailure(OutcomeUnknownError("no answer"));
    effects.onFailure(StoreUnavailableError("busy"));
    CHECK(effects.mayHaveTakenEffect());
    CHECK(effects.reason() == "busy");
    CHECK_THROWS_AS(effects.fail<NotRunError>(), OutcomeUnknownError);
}

// Guards against attempts that are taken for not run because their error has another code than OutcomeUnknown.
TEST_CASE("an answer that can't be read leaves the outcome unknown", "[calls]")
{
    for (const ErrorCode code : { ErrorCode::FrameInvalid, ErrorCode::BadRequest, ErrorCode::AnswerBroken,
             ErrorCode::DeadlineUnknown, ErrorCode::BatchJobUnknown }) {
        AttemptEffects effects;
        effects.onFailure(Error(code, "an error while the answer was read"));
        CHECK(effects.mayHaveTakenEffect());
    }
}
