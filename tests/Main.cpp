#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>

/// RapidCheck draws the same cases in every run; RC_PARAMS of the caller, as in "seed=5 max_success=1000", goes before.
int main(int argc, char** argv)
{
    setenv("RC_PARAMS", "seed=1", 0);
    return Catch::Session().run(argc, argv);
}
