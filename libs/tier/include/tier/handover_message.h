#pragma once

#include <string>
#include <tuple>

#include "absl/time/time.h"
#include "base/result.h"
#include "dispatch/handover_choice.h"
#include "engine/http_message.h"

namespace cherrydyke {

/// Paths on the hosts' own port.
inline constexpr char kHandoverPath[] = "/handover";
inline constexpr char kHandoverOfferPath[] = "/handover/offer";
/// Reason of a host that rejects a request because its configuration is older.
inline constexpr char kRejectedAsOutdated[] = "older_configuration";
/// Reason of a host that rejects a request because its configuration is newer
/// than the request states; the reply has its version. Only for a sender whose
/// request has the header below with this value: it states that version and
/// sends the request again. Hosts of earlier versions ignore the header.
inline constexpr char kRejectedAsNewer[] = "newer_configuration";
inline constexpr char kUnderstoodRejectionHeader[] = "Understood-Rejection";

/// A caller's request that one host hands to another.
struct HandoverRequest {
  /// As the caller sent it, with the caller's address.
  engine::HttpRequest request;
  /// Time since it was received from the caller.
  absl::Duration age;
  /// Round trip to the caller, if known, otherwise zero.
  absl::Duration caller_round_trip;
  /// The configuration by which it was accepted.
  int64_t config_version = 0;
  /// The service to which the host that received it had assigned it; empty for
  /// a fan-out.
  ServiceName service;
  /// Targets that may have run it.
  TriedTargets tried;

  friend bool operator==(const HandoverRequest& a, const HandoverRequest& b) {
    return a.request.peer == b.request.peer &&
           std::tie(a.request, a.age, a.caller_round_trip, a.config_version,
                    a.service,
                    a.tried) == std::tie(b.request, b.age, b.caller_round_trip,
                                         b.config_version, b.service, b.tried);
  }
};

/// What a host answers to a request that was handed to it.
struct HandoverReply {
  /// Whether it took the request over; if not, it did nothing with it.
  bool accepted = false;
  /// Why it did not, in lower case with underscores.
  std::string rejection;
  /// The response for the caller, if it did.
  engine::HttpResponse response;
  /// The configuration by which it ran the request, or which is newer than the
  /// request states; 0 from hosts of versions that do not tell.
  int64_t config_version = 0;

  friend bool operator==(const HandoverReply& a, const HandoverReply& b) {
    return std::tie(a.accepted, a.rejection, a.response, a.config_version) ==
           std::tie(b.accepted, b.rejection, b.response, b.config_version);
  }
};

std::string EncodeHandoverRequest(const HandoverRequest& handover);
/// @return the request, or `kInvalidInput` if the bytes do not hold one that a
/// caller could have sent.
Result<HandoverRequest> DecodeHandoverRequest(const std::string& bytes);

std::string EncodeHandoverReply(const HandoverReply& reply);
/// @return the reply, or an error if the bytes do not hold one that was
/// rejected or has a response for a caller.
Result<HandoverReply> DecodeHandoverReply(const std::string& bytes);

std::string EncodeHandoverOffer(const HandoverOffer& offer);
Result<HandoverOffer> DecodeHandoverOffer(const std::string& bytes);

}  // namespace cherrydyke
