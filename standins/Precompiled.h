#pragma once

#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/beast.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
