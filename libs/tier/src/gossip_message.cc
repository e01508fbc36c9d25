#include "tier/gossip_message.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "archive.h"
#include "base/invariant.h"
#include "boost/asio/ip/address_v4.hpp"
#include "packed_era.h"

namespace cherrydyke {
namespace {

/// Compact wire format of a `HostLastSeen`: about fifty fit a datagram.
struct PackedAge {
  uint32_t address = 0;
  /// Index into `PackedMessage::domains`.
  uint8_t domain_index = 0;
  /// In tenths of a second.
  uint16_t age_ds = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(address, domain_index, age_ds);
  }
};

/// Wire format of a `GossipMessage` without proofs, and the whole format of
/// earlier versions.
struct PackedMessage {
  HostId host;
  FailureDomainName failure_domain;
  uint16_t known_hosts = 0;
  uint8_t role = 0;
  Revision config_revision = 0;
  Revision targets_revision = 0;
  std::vector<FailureDomainName> domains;
  std::vector<PackedAge> ages;
  std::vector<CrashReport> crashes;
  std::vector<TargetHealthReport> reports;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, failure_domain, known_hosts, role, config_revision,
            targets_revision, domains, ages, crashes, reports);
  }
};

struct PackedProof {
  int64_t age_ms = 0;
  uint8_t hops = 0;
  uint32_t reader = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(age_ms, hops, reader);
  }
};

/// Wire format of a `GossipMessage` without a stamp. Hosts of earlier versions
/// read its first part and ignore the rest.
struct PackedMessageWithProofs {
  PackedMessage message;
  Revision known_until = 0;
  std::vector<PackedProof> proofs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(message, known_until, proofs);
  }
};

struct PackedStamp {
  uint32_t incarnation = 0;
  int64_t sent_at_us = 0;
  uint32_t echoed_incarnation = 0;
  int64_t echoed_difference_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sent_at_us, echoed_incarnation, echoed_difference_us);
  }
};

/// Size of an encoded `PackedStamp` within an archive.
constexpr size_t kPackedStampBytes = 2 * sizeof(uint32_t) + 2 * sizeof(int64_t);

/// Wire format of a `GossipMessage` without an era; the same holds for its
/// first part.
struct PackedMessageWithStamp {
  PackedMessageWithProofs message;
  PackedStamp stamp;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(message, stamp);
  }
};

/// Wire format of a `GossipMessage`; the same holds for its first part.
struct PackedMessageWithEra {
  PackedMessageWithStamp message;
  PackedEra era;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(message, era);
  }
};

constexpr int64_t kMsPerDs = 100;

std::optional<PackedAge> Pack(const HostLastSeen& age,
                              std::vector<FailureDomainName>& domains) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address_v4(age.host, error);
  if (error) return std::nullopt;
  auto domain = std::find(domains.begin(), domains.end(), age.failure_domain);
  if (domain == domains.end()) {
    if (domains.size() > std::numeric_limits<uint8_t>::max()) {
      return std::nullopt;
    }
    domain = domains.insert(domains.end(), age.failure_domain);
  }
  constexpr int64_t kMaxAgeDs = std::numeric_limits<uint16_t>::max();
  return PackedAge{
      address.to_uint(), static_cast<uint8_t>(domain - domains.begin()),
      static_cast<uint16_t>(std::min(age.age_ms / kMsPerDs, kMaxAgeDs))};
}

PackedStamp Pack(const TransitStamp& stamp) {
  return {stamp.incarnation, absl::ToUnixMicros(stamp.sent_at),
          stamp.echoed_incarnation,
          absl::ToInt64Microseconds(stamp.echoed_difference)};
}

TransitStamp Unpack(const PackedStamp& stamp) {
  return {stamp.incarnation, absl::FromUnixMicros(stamp.sent_at_us),
          stamp.echoed_incarnation,
          absl::Microseconds(stamp.echoed_difference_us)};
}

/// @return the message; what a message of an earlier version lacks is empty.
Result<PackedMessageWithEra> DecodeAnyVersion(const std::string& datagram) {
  Result<PackedMessageWithEra> decoded =
      DecodeArchive<PackedMessageWithEra>(datagram);
  if (GetError(decoded) == nullptr) return decoded;
  Result<PackedMessageWithStamp> without_era =
      DecodeArchive<PackedMessageWithStamp>(datagram, TrailingBytes::kReject);
  if (GetError(without_era) == nullptr) {
    return PackedMessageWithEra{std::move(GetValue(without_era)), {}};
  }
  Result<PackedMessageWithProofs> without_stamp =
      DecodeArchive<PackedMessageWithProofs>(datagram, TrailingBytes::kReject);
  if (GetError(without_stamp) == nullptr) {
    return PackedMessageWithEra{{std::move(GetValue(without_stamp)), {}}, {}};
  }
  Result<PackedMessage> without_proofs =
      DecodeArchive<PackedMessage>(datagram, TrailingBytes::kReject);
  if (const Error* error = GetError(without_proofs)) return *error;
  PackedMessage& packed = GetValue(without_proofs);
  const Revision known_until =
      std::max(packed.config_revision, packed.targets_revision);
  return PackedMessageWithEra{{{std::move(packed), known_until, {}}, {}}, {}};
}

}  // namespace

std::string EncodeGossipMessage(const GossipMessage& message) {
  PackedMessage packed;
  packed.host = message.membership_update.from.host;
  packed.failure_domain = message.membership_update.from.failure_domain;
  packed.known_hosts =
      static_cast<uint16_t>(message.membership_update.known_hosts);
  packed.role = static_cast<uint8_t>(message.membership_update.role);
  packed.config_revision = message.config_revision;
  packed.targets_revision = message.targets_revision;
  packed.crashes = message.crashes;
  packed.reports = message.reports;
  for (const HostLastSeen& age : message.membership_update.hosts) {
    if (const auto one = Pack(age, packed.domains)) packed.ages.push_back(*one);
  }
  std::vector<PackedProof> proofs;
  for (const ReadProof& proof : message.proofs) {
    // Rounded up: a proof must not become fresher on its way.
    proofs.push_back({absl::ToInt64Milliseconds(
                          absl::Ceil(proof.age, absl::Milliseconds(1))),
                      static_cast<uint8_t>(proof.hops), proof.reader});
  }
  return EncodeArchive(PackedMessageWithEra{
      {{std::move(packed), message.known_until.revision, std::move(proofs)},
       Pack(message.stamp)},
      Pack(message.known_until.era)});
}

void ReplaceStamp(const TransitStamp& stamp, std::string& datagram) {
  // Without the byte order that each archive begins with.
  const std::string encoded = EncodeArchive(Pack(stamp)).substr(1);
  CHERRYDYKE_INVARIANT(
      encoded.size() == kPackedStampBytes &&
          datagram.size() > kPackedStampBytes + kPackedEraBytes,
      "a datagram ends in its stamp and era");
  datagram.replace(datagram.size() - kPackedStampBytes - kPackedEraBytes,
                   kPackedStampBytes, encoded);
}

Result<GossipMessage> DecodeGossipMessage(const std::string& datagram) {
  Result<PackedMessageWithEra> decoded = DecodeAnyVersion(datagram);
  if (const Error* error = GetError(decoded)) return *error;
  auto& [with_stamp, packed_era] = GetValue(decoded);
  auto& [with_proofs, stamp] = with_stamp;
  auto& [packed, known_until, proofs] = with_proofs;
  const Result<SourceEra> era = Unpack(packed_era);
  if (const Error* error = GetError(era)) return *error;
  GossipMessage message;
  message.stamp = Unpack(stamp);
  message.known_until = {GetValue(era), known_until};
  for (const PackedProof& proof : proofs) {
    message.proofs.push_back(
        {absl::Milliseconds(proof.age_ms), proof.hops, proof.reader});
  }
  message.membership_update.from.host = std::move(packed.host);
  message.membership_update.from.failure_domain =
      std::move(packed.failure_domain);
  message.membership_update.known_hosts = packed.known_hosts;
  if (packed.role > static_cast<uint8_t>(DisseminationRole::kReader)) {
    return Error{ErrorCode::kInvalidInput, "unknown role"};
  }
  message.membership_update.role = static_cast<DisseminationRole>(packed.role);
  message.config_revision = packed.config_revision;
  message.targets_revision = packed.targets_revision;
  message.crashes = std::move(packed.crashes);
  message.reports = std::move(packed.reports);
  for (const PackedAge& age : packed.ages) {
    if (age.domain_index >= packed.domains.size()) {
      return Error{ErrorCode::kInvalidInput, "unknown failure domain"};
    }
    message.membership_update.hosts.push_back(
        {boost::asio::ip::make_address_v4(age.address).to_string(),
         packed.domains[age.domain_index], age.age_ds * kMsPerDs});
  }
  return message;
}

}  // namespace cherrydyke
