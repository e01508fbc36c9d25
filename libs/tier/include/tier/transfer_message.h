#pragma once

#include <string>

#include "absl/time/time.h"
#include "base/result.h"
#include "tier/published_items.h"

namespace cherrydyke {

/// Published items that one host fetches from another, all of one era.
struct TransferMessage {
  PublishedChanges config;
  PublishedChanges targets;
  /// Time since the configuration service last recovered from an outage, as far
  /// as the sender knows.
  absl::Duration source_recovery_age;

  friend bool operator==(const TransferMessage& a, const TransferMessage& b) {
    return a.config == b.config && a.targets == b.targets &&
           a.source_recovery_age == b.source_recovery_age;
  }
};

std::string EncodeTransferMessage(const TransferMessage& message);

/// Decodes a message of this version, or of one whose messages lack the era,
/// which is then the first one, or also the revisions up to which they are
/// complete: these are complete up to their newest item.
/// @return the message, or `kInvalidInput` for malformed bytes or if its parts
/// are of different eras.
Result<TransferMessage> DecodeTransferMessage(const std::string& bytes);

}  // namespace cherrydyke
