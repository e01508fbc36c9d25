#pragma once

#include <optional>
#include <string>

namespace cherrydyke::engine {

/// Status code of an HTTP response: 100 to 599, so always three digits.
class StatusCode {
 public:
  /// @return nothing if no response can have the code (RFC 9110, 15).
  static std::optional<StatusCode> FromInt(int code);
  /// As above, for codes of final responses, which end an exchange.
  static std::optional<StatusCode> FinalFromInt(int code);

  int value() const { return code_; }
  /// @return whether a final response follows on the same connection.
  bool IsInterim() const;
  /// @return whether the server leaves HTTP after the response.
  bool SwitchesProtocols() const;
  /// @return code and reason phrase of the status line.
  std::string ToString() const;

  friend bool operator==(StatusCode a, StatusCode b) {
    return a.code_ == b.code_;
  }
  friend bool operator!=(StatusCode a, StatusCode b) { return !(a == b); }
  friend bool operator<(StatusCode a, StatusCode b) {
    return a.code_ < b.code_;
  }

 private:
  explicit StatusCode(int code) : code_(code) {}

  int code_;
};

}  // namespace cherrydyke::engine
