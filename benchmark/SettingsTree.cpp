#include "support/Counting.h"

#include <endiveroad/Settings.h>
#include <nlohmann/json.hpp>
#include <string>

using namespace endiveroad;
using namespace endiveroad::benchmarks;

namespace {

using Json = nlohmann::json;

constexpr int64_t replicasPerPool = 100;

/// A merged tree of one region with the given number of replicas, a hundred to a pool.
std::string documentOf(int64_t replicas)
{
    Json pools = Json::object();
    for (int64_t i = 0; i < replicas; ++i) {
        Json& pool = pools["pool-" + std::to_string(i / replicasPerPool)];
        pool["kind"] = "engine";
        pool["model"] = "ledge-lm";
        const std::string host = "10.20." + std::to_string(i / 250 % 250) + "." + std::to_string(i % 250);
        Json replica { { "failureDomain", "domain-" + std::to_string(i % 20) }, { "server", host + ":8000" },
            { "peer", host + ":9081" } };
        pool["replicas"]["replica-" + std::to_string(i)] = replica;
    }
    Json region { { "pools", pools } };
    Json tree { { "organisation", "caprock" } };
    tree["regions"]["tx-panhandle"] = region;
    return tree.dump();
}

void resolveSettings(benchmark::State& state)
{
    const std::string document = documentOf(state.range(0));
    countStateBytes(state, [&] { return Settings::fromDocument(document, 1); });
    timeAndCount(state, [&] { benchmark::DoNotOptimize(Settings::fromDocument(document, 1)); });
    state.counters["wire_bytes"] = static_cast<double>(document.size());
}
BENCHMARK(resolveSettings)->Arg(10)->Arg(24)->Arg(1000)->Arg(12000);

} // namespace
