#include "cli/Options.h"

#include "io/Log.h"

#include <arpa/inet.h>
#include <charconv>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::cli {

void addCommonOptions(cxxopts::Options& options)
{
    options.add_options()("h,help", "Print this help")(
        "log-format", "text or json", cxxopts::value<std::string>()->default_value("text"))(
        "log-level", "debug, info, warning or error", cxxopts::value<std::string>()->default_value("info"));
}

std::optional<cxxopts::ParseResult> parse(cxxopts::Options& options, const Arguments& arguments)
{
    std::vector<const char*> values { "endiveroad" };
    for (const std::string& argument : arguments)
        values.push_back(argument.c_str());
    try {
        cxxopts::ParseResult result = options.parse(static_cast<int>(values.size()), values.data());
        if (!result.unmatched().empty())
            throw UsageInvalidError(fmt::format("unexpected argument \"{}\"", result.unmatched().front()));
        if (result.count("help") == 0)
            return result;
    } catch (const cxxopts::exceptions::exception& error) {
        throw UsageInvalidError(error.what());
    }
    fmt::print("{}", options.help());
    return std::nullopt;
}

uint64_t integerOption(const cxxopts::ParseResult& result, const std::string& name, uint64_t lowest, uint64_t highest)
{
    const std::string text = result[name].as<std::string>();
    uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!isWhole || value < lowest || value > highest) {
        throw UsageInvalidError(
            fmt::format("--{}: \"{}\" is not an integer from {} to {}", name, text, lowest, highest));
    }
    return value;
}

void configureLog(const cxxopts::ParseResult& result, const std::string& node)
{
    const std::string format = result["log-format"].as<std::string>();
    const std::string level = result["log-level"].as<std::string>();
    if (format != "text" && format != "json")
        throw UsageInvalidError(fmt::format("--log-format is \"{}\"; allowed are text, json", format));
    for (LogLevel candidate : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        if (levelName(candidate) == level) {
            io::Log::instance().configure(
                format == "json" ? io::LogFormat::Json : io::LogFormat::Text, candidate, node);
            return;
        }
    }
    throw UsageInvalidError(fmt::format("--log-level is \"{}\"; allowed are debug, info, warning, error", level));
}

Address parseAddress(const std::string& name, const std::string& text)
{
    Address address;
    try {
        address = Address::parse(text);
    } catch (const SettingsInvalidError& error) {
        throw UsageInvalidError(fmt::format("--{}: {}", name, error.what()));
    }
    unsigned char bytes[sizeof(in6_addr)];
    const bool isNumber
        = inet_pton(AF_INET, address.host.c_str(), bytes) == 1 || inet_pton(AF_INET6, address.host.c_str(), bytes) == 1;
    if (!isNumber || address.port == 0)
        throw UsageInvalidError(
            fmt::format("--{}: \"{}\" is not an IP number with a port, as in 10.0.0.1:9080", name, text));
    return address;
}

Address addressOption(const cxxopts::ParseResult& result, const std::string& name)
{
    if (result.count(name) == 0)
        throw UsageInvalidError(fmt::format("--{} is missing", name));
    return parseAddress(name, result[name].as<std::string>());
}

} // namespace endiveroad::cli
