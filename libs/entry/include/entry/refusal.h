#pragma once

#include <string>

#include "absl/time/time.h"
#include "wire/messages.h"

namespace cherrydyke {

/// Evidence that a request, or an action under its ticket, ran nothing and
/// never will. It can be made only by the functions that name the evidence.
class NotRunProof {
 public:
  /// Nothing of this query left the daemon.
  static NotRunProof NothingSent() { return {}; }
  /// Every attempt of this query was refused by a target or gate with the word
  /// that nothing ran.
  static NotRunProof EveryAttemptRefused() { return {}; }
  /// The ticket's only executor ended it unused.
  static NotRunProof TicketVoided() { return {}; }
  /// The body names no request that could have run.
  static NotRunProof Malformed() { return {}; }

 private:
  NotRunProof() = default;
};

/// What a caller gets instead of an answer. "Not run" can be said only with a
/// proof; everything else is unknown.
class Refusal {
 public:
  static Refusal NotRun(const NotRunProof& /*proof*/, int status,
                        std::string reason, std::string message,
                        absl::Duration retry_after = absl::ZeroDuration()) {
    return {"not_run", status, std::move(reason), std::move(message),
            retry_after};
  }
  static Refusal Unknown(int status, std::string reason, std::string message,
                         absl::Duration retry_after = absl::ZeroDuration()) {
    return {"unknown", status, std::move(reason), std::move(message),
            retry_after};
  }

  const std::string& outcome() const { return outcome_; }
  int status() const { return status_; }
  const std::string& reason() const { return reason_; }
  const std::string& message() const { return message_; }
  absl::Duration retry_after() const { return retry_after_; }

 private:
  Refusal(std::string outcome, int status, std::string reason,
          std::string message, absl::Duration retry_after)
      : outcome_(std::move(outcome)),
        status_(status),
        reason_(std::move(reason)),
        message_(std::move(message)),
        retry_after_(retry_after) {}

  std::string outcome_;
  int status_;
  std::string reason_;
  std::string message_;
  absl::Duration retry_after_;
};

}  // namespace cherrydyke
