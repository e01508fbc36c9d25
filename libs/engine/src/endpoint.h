#pragma once

#include <optional>
#include <string>

#include "base/ids.h"
#include "boost/asio/ip/tcp.hpp"

namespace cherrydyke::engine {

/// @return the address of `IP:PORT`, or nothing if it is malformed.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const Endpoint& endpoint);

}  // namespace cherrydyke::engine
