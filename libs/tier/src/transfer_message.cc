#include "tier/transfer_message.h"

#include <algorithm>
#include <utility>

#include "archive.h"

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

Revision NewestOf(const std::vector<PublishedItem>& items) {
  Revision newest = 0;
  for (const PublishedItem& item : items) {
    newest = std::max(newest, item.revision);
  }
  return newest;
}

}  // namespace

std::string EncodeTransferMessage(const TransferMessage& message) {
  const auto& [config, targets, age] = message;
  return EncodeArchive(PackedTransfer{
      {config.items, targets.items, absl::ToInt64Milliseconds(age)},
      config.as_of,
      targets.as_of,
      config.is_snapshot,
      targets.is_snapshot});
}

Result<TransferMessage> DecodeTransferMessage(const std::string& bytes) {
  Result<PackedTransfer> decoded = DecodeArchive<PackedTransfer>(bytes);
  if (GetError(decoded) != nullptr) {
    Result<PackedItems> earlier = DecodeArchive<PackedItems>(bytes);
    if (const Error* error = GetError(earlier)) return *error;
    PackedTransfer packed;
    packed.items = std::move(GetValue(earlier));
    packed.config_as_of = NewestOf(packed.items.config);
    packed.targets_as_of = NewestOf(packed.items.targets);
    decoded = std::move(packed);
  }
  PackedTransfer& packed = GetValue(decoded);
  return TransferMessage{
      {std::move(packed.items.config), packed.config_as_of,
       packed.config_is_snapshot},
      {std::move(packed.items.targets), packed.targets_as_of,
       packed.targets_is_snapshot},
      absl::Milliseconds(packed.items.source_recovery_age_ms)};
}

}  // namespace cherrydyke
