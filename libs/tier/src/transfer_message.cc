#include "tier/transfer_message.h"

#include <algorithm>
#include <utility>

#include "archive.h"
#include "packed_era.h"

namespace cherrydyke {
namespace {

struct PackedItems {
  std::vector<PublishedItem> config;
  std::vector<PublishedItem> targets;
  int64_t source_recovery_age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(config, targets, source_recovery_age_ms);
  }
};

struct PackedTransfer {
  PackedItems items;
  Revision config_as_of = 0;
  Revision targets_as_of = 0;
  bool config_is_snapshot = false;
  bool targets_is_snapshot = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    // Hosts of earlier versions read the items and ignore the rest.
    archive(items, config_as_of, targets_as_of, config_is_snapshot,
            targets_is_snapshot);
  }
};

/// Wire format of a `TransferMessage`. Hosts of earlier versions read its first
/// part and ignore the rest.
struct PackedTransferWithEras {
  PackedTransfer transfer;
  PackedEra config_era;
  PackedEra targets_era;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(transfer, config_era, targets_era);
  }
};

Revision NewestOf(const std::vector<PublishedItem>& items) {
  Revision newest = 0;
  for (const PublishedItem& item : items) {
    newest = std::max(newest, item.revision);
  }
  return newest;
}

/// @return the message; what a message of an earlier version lacks is empty.
Result<PackedTransferWithEras> DecodeAnyVersion(const std::string& bytes) {
  Result<PackedTransferWithEras> decoded =
      DecodeArchive<PackedTransferWithEras>(bytes);
  if (GetError(decoded) == nullptr) return decoded;
  Result<PackedTransfer> without_eras =
      DecodeArchive<PackedTransfer>(bytes, TrailingBytes::kReject);
  if (GetError(without_eras) == nullptr) {
    return PackedTransferWithEras{std::move(GetValue(without_eras)), {}, {}};
  }
  Result<PackedItems> items =
      DecodeArchive<PackedItems>(bytes, TrailingBytes::kReject);
  if (const Error* error = GetError(items)) return *error;
  PackedTransfer packed;
  packed.items = std::move(GetValue(items));
  packed.config_as_of = NewestOf(packed.items.config);
  packed.targets_as_of = NewestOf(packed.items.targets);
  return PackedTransferWithEras{std::move(packed), {}, {}};
}

}  // namespace

std::string EncodeTransferMessage(const TransferMessage& message) {
  const auto& [config, targets, age] = message;
  return EncodeArchive(PackedTransferWithEras{
      {{config.items, targets.items, absl::ToInt64Milliseconds(age)},
       config.as_of.revision,
       targets.as_of.revision,
       config.is_snapshot,
       targets.is_snapshot},
      Pack(config.as_of.era),
      Pack(targets.as_of.era)});
}

Result<TransferMessage> DecodeTransferMessage(const std::string& bytes) {
  Result<PackedTransferWithEras> decoded = DecodeAnyVersion(bytes);
  if (const Error* error = GetError(decoded)) return *error;
  auto& [packed, config_era, targets_era] = GetValue(decoded);
  const Result<SourceEra> era = Unpack(config_era);
  if (const Error* error = GetError(era)) return *error;
  if (SourceEra{targets_era.stated, targets_era.inferred} != GetValue(era)) {
    return Error{ErrorCode::kInvalidInput, "parts of different eras"};
  }
  return TransferMessage{
      {std::move(packed.items.config),
       {GetValue(era), packed.config_as_of},
       packed.config_is_snapshot},
      {std::move(packed.items.targets),
       {GetValue(era), packed.targets_as_of},
       packed.targets_is_snapshot},
      absl::Milliseconds(packed.items.source_recovery_age_ms)};
}

}  // namespace cherrydyke
