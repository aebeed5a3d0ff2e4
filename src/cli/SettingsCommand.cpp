#include "cli/Options.h"
#include "cli/SettingsFiles.h"
#include "io/Clock.h"
#include "io/SettingsStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <cstdlib>
#include <ctime>
#include <endiveroad/Error.h>
#include <endiveroad/SettingsExplain.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <random>

namespace endiveroad::cli {

namespace {

constexpr Duration storeTimeout = std::chrono::seconds(5);

std::string randomId()
{
    std::random_device source;
    return fmt::format("{:08x}{:08x}{:08x}", source(), source(), source());
}

/// Formats a wall time in UTC, as in 2026-03-04T05:06:07Z.
std::string timeText(int64_t wallMs)
{
    const std::time_t seconds = static_cast<std::time_t>(wallMs / 1000);
    std::tm fields {};
    gmtime_r(&seconds, &fields);
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fields);
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

/// Access of a command to the key-value service, with an I/O context of its own. The context is declared first, so that
/// it outlives the HTTP client, whose connections belong to it.
class StoreSession {
public:
    explicit StoreSession(const Address& address)
        : client_(http_, address)
        , retryPolicy_(io::now() + storeTimeout)
        , store_(client_, retryPolicy_)
    {
    }

    io::SettingsStore& store() { return store_; }

    /// Runs a coroutine to completion and rethrows its exception, if any.
    void run(const std::function<boost::asio::awaitable<void>()>& body)
    {
        std::exception_ptr failure;
        boost::asio::co_spawn(context_, body, [&failure](std::exception_ptr error) { failure = error; });
        context_.run();
        if (failure)
            std::rethrow_exception(failure);
    }

private:
    boost::asio::io_context context_;
    io::HttpClient http_;
    io::EtcdStoreClient client_;
    io::BackoffRetryPolicy retryPolicy_;
    io::SettingsStore store_;
};

io::SettingsWrite newWrite(const cxxopts::ParseResult& options)
{
    io::SettingsWrite write;
    write.writeId = randomId();
    const char* user = std::getenv("USER");
    write.author = options.count("author") != 0 ? options["author"].as<std::string>() : user ? user : "unknown";
    write.appliedMs = io::wallMs();
    if (options.count("expect-revision") != 0)
        write.expectedRevision = options["expect-revision"].as<int64_t>();
    return write;
}

int apply(const cxxopts::ParseResult& options, const std::string& directory)
{
    const SettingsValue tree = readSettingsDirectory(directory);
    Settings::fromTree(tree, 0);
    const io::SettingsWrite write = newWrite(options);
    StoreSession session(addressOption(options, "store"));
    int64_t revision = 0;
    session.run([&]() -> boost::asio::awaitable<void> { revision = co_await session.store().apply(write, tree); });
    fmt::print("revision {} is in force\n", revision);
    return exitOk;
}

int rollBack(const cxxopts::ParseResult& options, const std::string& argument)
{
    int64_t target = 0;
    const auto parsed = std::from_chars(argument.data(), argument.data() + argument.size(), target);
    if (parsed.ec != std::errc() || parsed.ptr != argument.data() + argument.size())
        throw UsageInvalidError(fmt::format("\"{}\" is not a revision number", argument));
    const io::SettingsWrite write = newWrite(options);
    StoreSession session(addressOption(options, "store"));
    int64_t revision = 0;
    session.run([&]() -> boost::asio::awaitable<void> { revision = co_await session.store().rollBack(write, target); });
    fmt::print("revision {} is in force; it has the settings of revision {}\n", revision, target);
    return exitOk;
}

int history(const cxxopts::ParseResult& options)
{
    StoreSession session(addressOption(options, "store"));
    SettingsHead head;
    session.run([&]() -> boost::asio::awaitable<void> { head = co_await session.store().head(); });
    for (const SettingsRevision& past : head.history)
        fmt::print("{}  {}  {}  write {}  {} parts changed\n", past.revision, timeText(past.appliedMs), past.author,
            past.writeId, past.undo.size());
    return exitOk;
}

/// Loads the settings in force from the key-value service; returns an empty document if there are none.
SettingsDocument readDocument(const cxxopts::ParseResult& options)
{
    StoreSession session(addressOption(options, "store"));
    std::optional<SettingsDocument> document;
    const SettingsDocument emptyDocument;
    session.run([&]() -> boost::asio::awaitable<void> { document = co_await session.store().load(emptyDocument); });
    return document.value_or(emptyDocument);
}

/// Prints which nodes set and override the settings at a path, in the directory of --dir if given, otherwise in the
/// key-value service.
int explain(const cxxopts::ParseResult& options, const std::string& path)
{
    SettingsValue tree;
    if (options.count("dir") != 0)
        tree = readSettingsDirectory(options["dir"].as<std::string>());
    else
        tree = readDocument(options).tree();
    for (const ExplainedSetting& explained : explainSettings(tree, path))
        printExplained(explained);
    return exitOk;
}

int plan(const cxxopts::ParseResult& options, const std::string& directory)
{
    const SettingsValue wanted = readSettingsDirectory(directory);
    const Settings after = Settings::fromTree(wanted, 0);
    const SettingsDocument document = readDocument(options);
    const SettingsValue current = document.tree();
    const auto changes = compareSettings(current, wanted);
    fmt::print("{} changes against revision {}\n", changes.size(), document.revision);
    for (const SettingsChange& change : changes)
        fmt::print("{}\n", change.text());
    if (document.revision != 0 && !changes.empty())
        fmt::print("affects: {}\n", fmt::join(affectedDeclarations(Settings::fromTree(current, 0), after), ", "));
    return exitOk;
}

} // namespace

int runSettings(const Arguments& arguments)
{
    cxxopts::Options options("endiveroad settings",
        "validate DIR | plan DIR | apply DIR | explain PATH [--dir DIR] | history | rollback REVISION | schema");
    addCommonOptions(options);
    options.add_options()("store", "host:port of the key-value service", cxxopts::value<std::string>())(
        "expect-revision", "Fail unless this revision is in force", cxxopts::value<int64_t>())(
        "author", "Name to record in the history; $USER by default", cxxopts::value<std::string>())(
        "dir", "Explain the settings in this directory instead of those in force", cxxopts::value<std::string>())(
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
        fmt::print("{}", settingsSchemaPage());
        return exitOk;
    }
    if (action == "history")
        return history(*result);
    if (result->count("argument") == 0)
        throw UsageInvalidError(fmt::format("settings {} needs an argument", action));
    const std::string argument = (*result)["argument"].as<std::string>();
    if (action == "validate")
        return validate(argument);
    if (action == "explain")
        return explain(*result, argument);
    if (action == "plan")
        return plan(*result, argument);
    if (action == "rollback")
        return rollBack(*result, argument);
    if (action == "apply")
        return apply(*result, argument);
    throw UsageInvalidError(fmt::format("settings has no action \"{}\"", action));
}

} // namespace endiveroad::cli
