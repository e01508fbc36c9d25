#include "endpoint.h"

#include "absl/strings/numbers.h"

namespace cherrydyke::engine {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const Endpoint& endpoint) {
  const size_t colon = endpoint.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address_v4(endpoint.substr(0, colon), error);
  uint32_t port = 0;
  if (error || !absl::SimpleAtoi(endpoint.substr(colon + 1), &port) ||
      port == 0 || port > 65535) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, static_cast<uint16_t>(port));
}

}  // namespace cherrydyke::engine
