#pragma once

#include <string>

#include "absl/time/time.h"
#include "wire/messages.h"

namespace cherrydyke {

/// Proof that a query, or the action of a ticket, was not executed and never
/// will be. Can be created only by the functions that name the evidence.
class NotRunProof {
 public:
  /// This process sent no attempt for the request.
  static NotRunProof NothingSent() { return {}; }
  /// A target or gate refused every attempt of the query and stated that it did
  /// not run.
  static NotRunProof EveryAttemptRefused() { return {}; }
  /// The only gate incarnation that may run the ticket ended it without running
  /// the action.
  static NotRunProof TicketVoided() { return {}; }
  /// The body does not contain a valid request.
  static NotRunProof Malformed() { return {}; }

 private:
  NotRunProof() = default;
};

/// Error response to a caller. The outcome is "not_run" only with a
/// `NotRunProof`, otherwise "unknown".
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
