#include "engine/status_code.h"

#include <ostream>

#include "absl/strings/str_cat.h"
#include "boost/beast/http/status.hpp"

namespace cherrydyke::engine {
namespace {

constexpr int kFirst = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinal = 200;
constexpr int kLast = 599;

}  // namespace

std::optional<StatusCode> StatusCode::FromInt(int code) {
  if (code < kFirst || code > kLast) return std::nullopt;
  return StatusCode(code);
}

std::optional<StatusCode> StatusCode::FinalFromInt(int code) {
  if (code < kFirstFinal) return std::nullopt;
  return FromInt(code);
}

bool StatusCode::IsInterim() const {
  return code_ < kFirstFinal && !SwitchesProtocols();
}

bool StatusCode::SwitchesProtocols() const {
  return code_ == kSwitchingProtocols;
}

std::string StatusCode::ToString() const {
  return absl::StrCat(code_, " ",
                      boost::beast::http::obsolete_reason(
                          static_cast<boost::beast::http::status>(code_))
                          .to_string());
}

}  // namespace cherrydyke::engine
