#pragma once

#include <string>
#include <tuple>
#include <utility>
#include <variant>

namespace cherrydyke {

/// Category of an `Error`.
enum class ErrorCode {
  kInvalidInput,
  kUnavailable,
  kTimeout,
  kVersionMismatch,
  kInternal,
};

/// Error returned by an operation. No exception is thrown across modules.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  /// Description of the error that names the file, line or key if there is one.
  std::string message;

  friend bool operator==(const Error& a, const Error& b) {
    return std::tie(a.code, a.message) == std::tie(b.code, b.message);
  }
};

/// Holds a value or the error that prevented it.
///
///     Result<int> parsed = ParsePort(text);
///     if (const Error* error = GetError(parsed)) return *error;
///     Use(GetValue(parsed));
template <typename T>
using Result = std::variant<T, Error>;

/// Result of an operation that returns no value.
using Status = Result<std::monostate>;

inline Status OkStatus() { return std::monostate{}; }

/// @return the error held, or null if the result holds a value.
template <typename T>
const Error* GetError(const Result<T>& result) {
  return std::get_if<Error>(&result);
}

/// @return the value held. Precondition: the result holds no error.
template <typename T>
T& GetValue(Result<T>& result) {
  return std::get<T>(result);
}

template <typename T>
const T& GetValue(const Result<T>& result) {
  return std::get<T>(result);
}

template <typename T>
T GetValue(Result<T>&& result) {
  return std::get<T>(std::move(result));
}

}  // namespace cherrydyke
