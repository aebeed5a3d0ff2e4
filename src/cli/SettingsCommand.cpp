#include "cli/Options.h"
#include "cli/SettingsFiles.h"
#include "io/Clock.h"
#include "io/SettingsKeeper.h"
#include "io/StoreClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/SettingsExplain.h>
#include <fmt/format.h>
#include <random>

namespace endiveroad::cli {

namespace {

constexpr Duration storeTimeout = std::chrono::seconds(5);

/// Runs one coroutine to its end and passes its exception on.
void runToEnd(std::function<boost::asio::awaitable<void>()> body)
{
    boost::asio::io_context context;
    std::exception_ptr failure;
    boost::asio::co_spawn(context, body, [&failure](std::exception_ptr error) { failure = error; });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
}

std::string randomId()
{
    std::random_device source;
    return fmt::format("{:08x}{:08x}{:08x}", source(), source(), source());
}

std::string requiredOption(const cxxopts::ParseResult& result, const std::string& name)
{
    if (result.count(name) == 0)
        throw UsageInvalidError(fmt::format("--{} is missing", name));
    return result[name].as<std::string>();
}

int validate(const std::string& directory)
{
    const Settings settings = Settings::fromTree(readSettingsDirectory(directory), 0);
    fmt::print(
        "valid: {} entries, {} pools, {} jobs\n", settings.entries.size(), settings.pools.size(), settings.jobs.size());
    return exitOk;
}

void printExplained(const ExplainedSetting& explained)
{
    const auto describe = [](const SettingOrigin& origin) {
        std::string place = origin.position.text();
        if (!place.empty())
            place = fmt::format(" ({})", place);
        return fmt::format("{} set by {}{}", origin.value.empty() ? "nothing" : origin.value, origin.node, place);
    };
    fmt::print("{}: {}\n", explained.path, describe(explained.inForce));
    for (const SettingOrigin& overridden : explained.overridden)
        fmt::print("    overrides {}\n", describe(overridden));
}

int explain(const std::string& directory, const std::string& path)
{
    for (const ExplainedSetting& explained : explainSettings(readSettingsDirectory(directory), path))
        printExplained(explained);
    return exitOk;
}

boost::asio::awaitable<int64_t> applyTree(Address storeAddress, std::string tree, std::optional<int64_t> expected)
{
    io::HttpClient http;
    io::EtcdStoreClient store(http, storeAddress);
    const std::string key(io::SettingsKeeper::storeKey);
    const auto stored = co_await store.read(key, io::now() + storeTimeout);
    io::SettingsDocument document;
    if (stored)
        document = io::SettingsDocument::decode(stored->value);
    if (expected && *expected != document.revision)
        throw SettingsConflictError(fmt::format("revision {} is in force, not {}", document.revision, *expected));
    document.revision += 1;
    document.writeId = randomId();
    document.tree = std::move(tree);
    const int64_t before = stored ? stored->modRevision : 0;
    const bool isWritten = co_await store.compareAndSwap(key, before, document.encode(), io::now() + storeTimeout);
    if (!isWritten)
        throw SettingsConflictError("another operator applied a change at the same time");
    co_return document.revision;
}

int apply(const cxxopts::ParseResult& options, const std::string& directory)
{
    const SettingsValue read = readSettingsDirectory(directory);
    Settings::fromTree(read, 0);
    const std::string tree = read.json();
    const Address store = addressOption(options, "store");
    std::optional<int64_t> expected;
    if (options.count("expect-revision") != 0)
        expected = options["expect-revision"].as<int64_t>();
    int64_t revision = 0;
    runToEnd([&]() -> boost::asio::awaitable<void> { revision = co_await applyTree(store, tree, expected); });
    fmt::print("revision {} is in force\n", revision);
    return exitOk;
}

} // namespace

int runSettings(const Arguments& arguments)
{
    cxxopts::Options options(
        "endiveroad settings", "validate DIR | explain PATH --dir DIR | schema | apply DIR --store host:port");
    addCommonOptions(options);
    options.add_options()("store", "host:port of the key-value service", cxxopts::value<std::string>())(
        "expect-revision", "Refuse unless this revision is in force", cxxopts::value<int64_t>())(
        "dir", "Directory of the tree that explain reads", cxxopts::value<std::string>())(
        "action", "", cxxopts::value<std::string>())("argument", "", cxxopts::value<std::string>());
    options.parse_positional({ "action", "argument" });
    options.positional_help("ACTION [ARGUMENT]");
    const auto result = parse(options, arguments);
    if (!result)
        return exitOk;
    if (result->count("action") == 0)
        throw UsageInvalidError("settings needs an action");
    configureLog(*result, "settings");
    const std::string action = (*result)["action"].as<std::string>();
    if (action == "schema") {
        fmt::print("{}", settingsReference());
        return exitOk;
    }
    if (result->count("argument") == 0)
        throw UsageInvalidError(fmt::format("settings {} needs an argument", action));
    const std::string argument = (*result)["argument"].as<std::string>();
    if (action == "validate")
        return validate(argument);
    if (action == "explain")
        return explain(requiredOption(*result, "dir"), argument);
    if (action == "apply")
        return apply(*result, argument);
    throw UsageInvalidError(fmt::format("settings has no action \"{}\"", action));
}

} // namespace endiveroad::cli
