#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/key_range.h"
#include "catalogue/config_store.h"
#include "catalogue/host_list_store.h"

namespace cherrydyke {

/// How an attempt at a sub-request or an action ended, as a gate tells it.
enum class AttemptOutcome {
  kDone,
  /// Refused by the target because it holds too much work.
  kShed,
  /// Refused by the target because it is cold.
  kCold,
  kDraining,
  kWrongVersion,
  kWrongShard,
  /// The deadline passed before or while it ran.
  kDeadlineExceeded,
  /// The gate does not hold the target.
  kNotLeased,
  /// The gate's queue for the target would outlast the deadline.
  kOverloaded,
  kOutOfService,
  /// The target ended the connection while the request ran.
  kConnectionLost,
  /// No answer came on connections old or new.
  kUnresponsive,
  /// The target could not be reached.
  kUnreachable,
  kCancelled,
  /// The answer was not one to this attempt, or could not be read.
  kInvalidResponse,
  kQuarantined,
  /// The ticket's executor is another incarnation or the ticket is unknown.
  kUnknownTicket,
  /// The ticket was used; its outcome is not known.
  kOutcomeUnknown,
  /// The ticket's lifetime ended before it was used.
  kTicketExpired,
  /// The link to the gate broke before an answer came.
  kLinkLost,
};

/// @return the outcome as a snake_case word.
const char* ToString(AttemptOutcome outcome);

/// A found document.
struct SearchHit {
  std::string key;
  double score = 0;
  /// The whole hit as the target gave it, JSON text.
  std::string json;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, score, json);
  }
};

struct Hello {
  HostId host;
  Incarnation incarnation = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, incarnation);
  }
};

struct SubRequest {
  AttemptId attempt;
  TargetId target;
  ShardId shard;
  KeyRange range;
  ShardMapVersion shard_map = 0;
  IndexVersion index_version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(attempt, target, shard, range, shard_map, index_version);
  }
};

/// All sub-requests of one query that one gate is to run.
struct SubRequestBatch {
  std::string request_id;
  std::string traceparent;
  ServiceName service;
  /// Hash of entry and query, to recognise a request that crashes targets.
  uint64_t fingerprint = 0;
  /// Time left, in microseconds.
  int64_t timeout_us = 0;
  std::string query_json;
  std::vector<SubRequest> sub_requests;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request_id, traceparent, service, fingerprint, timeout_us,
            query_json, sub_requests);
  }
};

struct SubRequestReply {
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kDone;
  /// Whether it is proved that the target ran nothing.
  bool not_run = false;
  ShardId shard;
  IndexVersion index_version = 0;
  /// Whether the target says that it answered for its whole range.
  bool complete = false;
  std::vector<SearchHit> hits;
  /// Versions that the target holds, if it refused the version asked for.
  std::vector<IndexVersion> versions;
  int64_t retry_after_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(attempt, outcome, not_run, shard, index_version, complete, hits,
            versions, retry_after_ms);
  }
};

struct CancelAttempts {
  std::vector<AttemptId> attempts;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(attempts);
  }
};

enum class TargetPhase { kCold, kWarming, kWarm, kDraining, kGone };

const char* ToString(TargetPhase phase);

/// What a gate tells entries about a target that it holds.
struct TargetReport {
  TargetId target;
  TargetPhase phase = TargetPhase::kCold;
  int limit = 0;
  int in_flight = 0;
  int queued = 0;
  /// Typical time to answer, in microseconds.
  int64_t latency_us = 0;
  /// Versions that the target holds of every shard that it serves.
  std::vector<IndexVersion> versions;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, phase, limit, in_flight, queued, latency_us, versions);
  }
};

struct TargetReports {
  std::vector<TargetReport> reports;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(reports);
  }
};

struct TicketRequest {
  uint64_t call_id = 0;
  EntryName entry;
  std::string key;
  TargetId target;
  ShardId shard;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call_id, entry, key, target, shard);
  }
};

struct TicketReply {
  uint64_t call_id = 0;
  AttemptOutcome outcome = AttemptOutcome::kDone;
  std::string ticket;
  int64_t expires_in_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call_id, outcome, ticket, expires_in_ms);
  }
};

struct ActionRequest {
  uint64_t call_id = 0;
  std::string request_id;
  std::string traceparent;
  std::string ticket;
  EntryName entry;
  std::string key;
  std::string payload_json;
  int64_t timeout_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call_id, request_id, traceparent, ticket, entry, key, payload_json,
            timeout_us);
  }
};

struct ActionReply {
  uint64_t call_id = 0;
  AttemptOutcome outcome = AttemptOutcome::kDone;
  /// Proof by the ticket's executor that the action never ran and never will.
  bool not_run = false;
  std::string result_json;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call_id, outcome, not_run, result_json);
  }
};

struct Ping {
  uint64_t sequence = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence);
  }
};

struct Pong {
  uint64_t sequence = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence);
  }
};

/// Asks a peer for configuration and host list newer than what the sender has.
struct SyncRequest {
  Revision config_since = 0;
  Revision hosts_since = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(config_since, hosts_since);
  }
};

struct SyncReply {
  Revision config_since = 0;
  Revision config_up_to = 0;
  std::vector<ConfigChange> changes;
  HostDelta hosts;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(config_since, config_up_to, changes, hosts);
  }
};

enum class DaemonKind { kEntry, kGate };

/// A fingerprint that crashed targets, refused for the time left.
struct QuarantineNotice {
  uint64_t fingerprint = 0;
  int64_t remaining_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, remaining_ms);
  }
};

/// What daemons tell each other by datagram.
struct Heartbeat {
  HostId host;
  DaemonKind kind = DaemonKind::kEntry;
  Incarnation incarnation = 0;
  FailureDomainName failure_domain;
  Revision config_revision = 0;
  /// Digest of the values in force; see `ConfigStore::digest`.
  uint64_t config_digest = 0;
  Revision hosts_revision = 0;
  /// Newest host list under which this gate has let go of every target that
  /// the list gives to others.
  Revision settled_revision = 0;
  /// Asks the receiver to answer with a heartbeat of its own.
  bool reply_requested = false;
  /// The sender's clock at sending, in microseconds; means nothing elsewhere.
  int64_t sent_at_us = 0;
  /// The receiver's `sent_at_us` that this answers, or 0. It dates what the
  /// receiver may conclude, however long this datagram waited somewhere.
  int64_t echo_us = 0;
  std::vector<QuarantineNotice> quarantines;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, kind, incarnation, failure_domain, config_revision,
            config_digest, hosts_revision, settled_revision, reply_requested,
            sent_at_us, echo_us, quarantines);
  }
};

/// Asks an entry daemon for units of a catalogue entry's limit.
struct BorrowRequest {
  HostId borrower;
  uint64_t request_id = 0;
  EntryName entry;
  int units = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(borrower, request_id, entry, units);
  }
};

/// Lends units; the borrower counts the lease from when it sent the request.
struct BorrowGrant {
  uint64_t request_id = 0;
  EntryName entry;
  int units = 0;
  int64_t lease_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request_id, entry, units, lease_us);
  }
};

/// Every message between the system's own processes. The position of a type is
/// its number on the wire; new ones go to the end.
using Message =
    std::variant<Hello, SubRequestBatch, SubRequestReply, CancelAttempts,
                 TargetReports, TicketRequest, TicketReply, ActionRequest,
                 ActionReply, Ping, Pong, SyncRequest, SyncReply, Heartbeat,
                 BorrowRequest, BorrowGrant>;

}  // namespace cherrydyke
