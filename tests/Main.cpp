#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>

/// Sets a fixed RapidCheck seed, so that every run tests the same cases. If the environment already sets RC_PARAMS, for
/// example "seed=5 max_success=1000", that value is used instead.
int main(int argc, char** argv)
{
    setenv("RC_PARAMS", "seed=1", 0);
    return Catch::Session().run(argc, argv);
}
