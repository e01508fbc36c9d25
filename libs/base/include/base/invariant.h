#pragma once

namespace cherrydyke {

/// Stops the process after naming the invariant that no longer holds.
[[noreturn]] void FailInvariant(const char* condition, const char* message,
                                const char* file, int line);

}  // namespace cherrydyke

/// Asserts an invariant in every build type; a broken one stops the process,
/// because continuing could break a promise made to a caller.
#define CHERRYDYKE_INVARIANT(condition, message)                              \
  do {                                                                        \
    if (!(condition)) {                                                       \
      ::cherrydyke::FailInvariant(#condition, (message), __FILE__, __LINE__); \
    }                                                                         \
  } while (false)
