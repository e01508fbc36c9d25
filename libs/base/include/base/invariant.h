#pragma once

namespace cherrydyke {

/// Prints the violated invariant to standard error and aborts the process.
/// @param condition source text of the condition that is false.
/// @param message the rule that the condition checks.
[[noreturn]] void FailInvariant(const char* condition, const char* message,
                                const char* file, int line);

}  // namespace cherrydyke

/// Checks an invariant in every build type and aborts the process if it is
/// violated, because continuing could break a guarantee given to a caller.
#define CHERRYDYKE_INVARIANT(condition, message)                              \
  do {                                                                        \
    if (!(condition)) {                                                       \
      ::cherrydyke::FailInvariant(#condition, (message), __FILE__, __LINE__); \
    }                                                                         \
  } while (false)
