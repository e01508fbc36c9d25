#pragma once

#include <sys/types.h>

#include <cstddef>
#include <functional>
#include <string>

#include "httplib.h"

namespace cherrydyke {

/// Server of the library with limits for all that a request brings.
class LimitedServer : public httplib::Server {
 public:
  /// @param threads connections served concurrently
  /// @param max_body_bytes limit of a body; its framing has its own
  LimitedServer(int threads, size_t max_body_bytes);

 private:
  bool process_and_close_socket(socket_t socket) override;

  const size_t max_body_bytes_;
};

}  // namespace cherrydyke
