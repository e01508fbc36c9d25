#include "tier/handover_message.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "archive.h"
#include "cereal/types/map.hpp"
#include "cereal/types/utility.hpp"
#include "engine/status_code.h"

namespace cherrydyke {
namespace {

/// Longest plausible age and round trip.
constexpr absl::Duration kMaxDuration = absl::Hours(24);

using PackedHeaders = std::vector<std::pair<std::string, std::string>>;

struct PackedRequest {
  std::string method;
  std::string target;
  PackedHeaders headers;
  std::string body;
  std::string peer;
  int64_t age_us = 0;
  int64_t caller_round_trip_us = 0;
  int64_t config_version = 0;
  ServiceName service;
  TriedTargets tried;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(method, target, headers, body, peer, age_us, caller_round_trip_us,
            config_version, service, tried);
  }
};

struct PackedReply {
  bool accepted = false;
  std::string rejection;
  int32_t status = 0;
  PackedHeaders headers;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(accepted, rejection, status, headers, body);
  }
};

struct VersionedReply {
  PackedReply reply;
  int64_t config_version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    // Hosts of earlier versions read the reply and ignore the rest.
    archive(reply, config_version);
  }
};

struct PackedOffer {
  bool available = false;
  int64_t config_version = 0;
  std::vector<uint32_t> unreachable_services;
  int32_t running = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(available, config_version, unreachable_services, running);
  }
};

PackedHeaders Pack(const std::vector<engine::HttpHeader>& headers) {
  PackedHeaders packed;
  packed.reserve(headers.size());
  for (const auto& [name, value] : headers) packed.emplace_back(name, value);
  return packed;
}

std::vector<engine::HttpHeader> Unpack(PackedHeaders&& packed) {
  std::vector<engine::HttpHeader> headers;
  headers.reserve(packed.size());
  for (auto& [name, value] : packed) {
    headers.push_back({std::move(name), std::move(value)});
  }
  return headers;
}

bool IsToken(absl::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < 127 && c != ':';
  });
}

bool HasLineBreak(absl::string_view text) {
  return text.find_first_of(absl::string_view("\r\n\0", 3)) !=
         absl::string_view::npos;
}

// The rules by which the callers' port accepts a request.
bool IsValid(const PackedRequest& packed) {
  const bool valid_line =
      IsToken(packed.method) && !packed.target.empty() &&
      packed.target.front() == '/' &&
      std::none_of(packed.target.begin(), packed.target.end(),
                   [](char c) { return c == ' ' || c == '\t'; }) &&
      !HasLineBreak(packed.target) && !HasLineBreak(packed.peer);
  const bool valid_headers = std::all_of(
      packed.headers.begin(), packed.headers.end(), [](const auto& header) {
        return IsToken(header.first) && !HasLineBreak(header.second);
      });
  const auto hosts = std::count_if(
      packed.headers.begin(), packed.headers.end(), [](const auto& header) {
        return engine::EqualHeaderNames(header.first, "Host");
      });
  const auto is_plausible = [](int64_t us) {
    return us >= 0 && us <= absl::ToInt64Microseconds(kMaxDuration);
  };
  return valid_line && valid_headers && hosts == 1 &&
         is_plausible(packed.age_us) &&
         is_plausible(packed.caller_round_trip_us);
}

}  // namespace

std::string EncodeHandoverRequest(const HandoverRequest& handover) {
  const engine::HttpRequest& request = handover.request;
  return EncodeArchive(PackedRequest{
      request.method, request.target, Pack(request.headers), request.body,
      request.peer, absl::ToInt64Microseconds(handover.age),
      absl::ToInt64Microseconds(handover.caller_round_trip),
      handover.config_version, handover.service, handover.tried});
}

Result<HandoverRequest> DecodeHandoverRequest(const std::string& bytes) {
  Result<PackedRequest> decoded = DecodeArchive<PackedRequest>(bytes);
  if (const Error* error = GetError(decoded)) return *error;
  PackedRequest& packed = GetValue(decoded);
  if (!IsValid(packed)) {
    return Error{ErrorCode::kInvalidInput,
                 "not a request that a caller may send"};
  }
  HandoverRequest handover;
  handover.request = {std::move(packed.method), std::move(packed.target),
                      Unpack(std::move(packed.headers)), std::move(packed.body),
                      std::move(packed.peer)};
  handover.age = absl::Microseconds(packed.age_us);
  handover.caller_round_trip = absl::Microseconds(packed.caller_round_trip_us);
  handover.config_version = packed.config_version;
  handover.service = std::move(packed.service);
  handover.tried = std::move(packed.tried);
  return handover;
}

std::string EncodeHandoverReply(const HandoverReply& reply) {
  return EncodeArchive(
      VersionedReply{{reply.accepted, reply.rejection, reply.response.status,
                      Pack(reply.response.headers), reply.response.body},
                     reply.config_version});
}

Result<HandoverReply> DecodeHandoverReply(const std::string& bytes) {
  Result<VersionedReply> decoded = DecodeArchive<VersionedReply>(bytes);
  if (GetError(decoded) != nullptr) {
    Result<PackedReply> earlier = DecodeArchive<PackedReply>(bytes);
    if (const Error* error = GetError(earlier)) return *error;
    decoded = VersionedReply{std::move(GetValue(earlier)), 0};
  }
  auto& [packed, config_version] = GetValue(decoded);
  if (packed.accepted && !engine::StatusCode::FinalFromInt(packed.status)) {
    return Error{ErrorCode::kInvalidInput,
                 absl::StrCat("no status of a response: ", packed.status)};
  }
  return HandoverReply{packed.accepted,
                       std::move(packed.rejection),
                       {packed.status, Unpack(std::move(packed.headers)),
                        std::move(packed.body)},
                       config_version};
}

std::string EncodeHandoverOffer(const HandoverOffer& offer) {
  return EncodeArchive(PackedOffer{offer.available, offer.config_version,
                                   offer.unreachable_services, offer.running});
}

Result<HandoverOffer> DecodeHandoverOffer(const std::string& bytes) {
  Result<PackedOffer> decoded = DecodeArchive<PackedOffer>(bytes);
  if (const Error* error = GetError(decoded)) return *error;
  PackedOffer& packed = GetValue(decoded);
  return HandoverOffer{packed.available, packed.config_version,
                       std::move(packed.unreachable_services), packed.running};
}

}  // namespace cherrydyke
