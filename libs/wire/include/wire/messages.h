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

/// Result of an attempt at a sub-request, a ticket or an action, as reported by
/// a gate.
enum class AttemptOutcome {
  kDone,
  /// The target refused the request because it is overloaded.
  kShed,
  /// The target refused the request because it is still cold.
  kCold,
  kDraining,
  kWrongVersion,
  kWrongShard,
  /// The deadline passed before or while the request ran.
  kDeadlineExceeded,
  /// The gate does not hold the lease of the target.
  kNotLeased,
  /// The gate's queue for the target is full or longer than the deadline
  /// allows, or the gate cannot issue another ticket.
  kOverloaded,
  kOutOfService,
  /// The connection to the target broke while the request ran.
  kConnectionLost,
  /// The target did not respond in time. A search on a reused connection is
  /// retried on a new one before this is reported, if time is left.
  kUnresponsive,
  /// No connection to the target or to its gate could be made.
  kUnreachable,
  kCancelled,
  /// The response was malformed or belonged to another attempt.
  kInvalidResponse,
  kQuarantined,
  /// The ticket is malformed or unknown, or another incarnation issued it.
  kUnknownTicket,
  /// The ticket was used, but the outcome of its action is not known.
  kOutcomeUnknown,
  /// The ticket expired before it was used.
  kTicketExpired,
  /// The link to the gate broke before the gate replied.
  kLinkLost,
};

/// @return the name of the outcome in logs, metrics and refusals, in
/// snake_case.
const char* ToString(AttemptOutcome outcome);

/// A document that matches a query.
struct SearchHit {
  std::string key;
  double score = 0;
  /// The complete hit as returned by the target, as JSON text.
  std::string json;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, score, json);
  }
};

/// First message on every link from an entry to a gate; identifies the entry.
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

/// All sub-requests of one query that are sent to the same gate.
struct SubRequestBatch {
  std::string request_id;
  std::string traceparent;
  ServiceName service;
  /// Hash of entry and query; identifies requests that crash targets.
  uint64_t fingerprint = 0;
  /// Time until the deadline of the query, in microseconds.
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
  /// Whether the target is known not to have executed any part of the request.
  bool not_run = false;
  ShardId shard;
  IndexVersion index_version = 0;
  /// Whether the target reports that the hits cover its whole key range.
  bool complete = false;
  std::vector<SearchHit> hits;
  /// Index versions that the target has, if it refused the requested one.
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

/// State of a target, sent by the gate that serves it to the entries.
struct TargetReport {
  TargetId target;
  TargetPhase phase = TargetPhase::kCold;
  int limit = 0;
  int in_flight = 0;
  int queued = 0;
  /// Estimated response time, in microseconds.
  int64_t latency_us = 0;
  /// Index versions that the target has for all shards that it serves.
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
  /// Whether the gate that issued the ticket guarantees that the action has not
  /// run and will never run.
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

/// Requests the configuration changes and the host list changes that are newer
/// than the given revisions of the sender.
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

/// Fingerprint of a request that crashed targets and is refused for the
/// remaining time.
struct QuarantineNotice {
  uint64_t fingerprint = 0;
  int64_t remaining_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, remaining_ms);
  }
};

/// Liveness, revisions and quarantines of a daemon, gossiped by datagram.
struct Heartbeat {
  HostId host;
  DaemonKind kind = DaemonKind::kEntry;
  Incarnation incarnation = 0;
  FailureDomainName failure_domain;
  Revision config_revision = 0;
  /// Digest of the configuration values in force; see `ConfigStore::digest`.
  uint64_t config_digest = 0;
  Revision hosts_revision = 0;
  /// Revision of the current host list if this gate has settled it, else 0; see
  /// `TargetLeases::settled_revision`. Always 0 for an entry.
  Revision settled_revision = 0;
  /// Whether the receiver should reply with a heartbeat of its own.
  bool reply_requested = false;
  /// Time of sending by the sender's clock, in microseconds. Not comparable
  /// with the clocks of other hosts.
  int64_t sent_at_us = 0;
  /// `sent_at_us` of the heartbeat that this one replies to, or 0 if it is not
  /// a reply. The receiver may conclude only that the sender was alive after
  /// that time, because the datagram may have waited in a queue.
  int64_t echo_us = 0;
  std::vector<QuarantineNotice> quarantines;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, kind, incarnation, failure_domain, config_revision,
            config_digest, hosts_revision, settled_revision, reply_requested,
            sent_at_us, echo_us, quarantines);
  }
};

/// Requests to borrow units of a catalogue entry's concurrency limit from
/// another entry daemon.
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

/// Lends units. The lease starts when the borrower sent its request.
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

/// All messages between the daemons. The index of a type is its number on the
/// wire, so new types must be appended.
using Message =
    std::variant<Hello, SubRequestBatch, SubRequestReply, CancelAttempts,
                 TargetReports, TicketRequest, TicketReply, ActionRequest,
                 ActionReply, Ping, Pong, SyncRequest, SyncReply, Heartbeat,
                 BorrowRequest, BorrowGrant>;

}  // namespace cherrydyke
