#pragma once

#include <optional>
#include <string>

#include "base/ids.h"
#include "boost/asio/ip/tcp.hpp"

namespace cherrydyke::engine {

/// @return the parsed IPv4 `IP:PORT`, or nothing if it is malformed or the port
/// is 0.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const Endpoint& endpoint);

}  // namespace cherrydyke::engine
