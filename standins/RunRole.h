#pragma once

#include "Http.h"

#include <cxxopts.hpp>

namespace standin {

/// Serves a role by its handle() on the address of --listen until the process is killed.
template <typename Role>
int serveRole(const cxxopts::ParseResult& options)
{
    asio::io_context context(1);
    Role role(options);
    serve(context, HostPort::parse(options["listen"].as<std::string>()),
        [&](Request& request, Connection& connection) { return role.handle(request, connection); });
    context.run();
    return 0;
}

/// Runs a role by its run() to the end; what it throws is passed on.
template <typename Role>
int runRole(const cxxopts::ParseResult& options)
{
    asio::io_context context(1);
    Role role(options);
    asio::co_spawn(context, role.run(), [&](std::exception_ptr failure) {
        context.stop();
        if (failure)
            std::rethrow_exception(failure);
    });
    context.run();
    return 0;
}

} // namespace standin
