#include "io/Forwarding.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string_view>

namespace endiveroad::io {

namespace {

constexpr std::array<std::string_view, 10> connectionHeaders { "Connection", "Keep-Alive", "Proxy-Connection",
    "Transfer-Encoding", "Content-Length", "TE", "Trailer", "Upgrade", "Expect", "Proxy-Authenticate" };

bool isSameName(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({ a.data(), a.size() }, { b.data(), b.size() });
}

bool isNamedByConnection(const HeaderList& headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(), [name](const auto& header) {
        return isSameName(header.first, "Connection") && boost::beast::http::token_list(header.second).exists(name);
    });
}

} // namespace

HeaderList forwardedHeaders(const HeaderList& headers)
{
    HeaderList result;
    for (const auto& [name, value] : headers) {
        const std::string_view key = name;
        const bool isOfConnection = std::any_of(connectionHeaders.begin(), connectionHeaders.end(),
            [key](std::string_view own) { return isSameName(own, key); });
        if (!isOfConnection && !isNamedByConnection(headers, key))
            result.emplace_back(name, value);
    }
    return result;
}

} // namespace endiveroad::io
