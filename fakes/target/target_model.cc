#include "target_model.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include "absl/time/clock.h"
#include "fakes/fake_program.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr int kCrashExitCode = 70;
constexpr absl::Duration kUnresponsiveDuration = absl::Seconds(20);
constexpr absl::Duration kStopCheckInterval = absl::Milliseconds(50);
constexpr int kRetryAfterMs = 20;

/// @param not_run whether the request certainly was not run.
HttpResponse RefusalResponse(const std::string& error, int status,
                             const json& versions = json::array(),
                             bool not_run = true) {
  return MakeJsonResponse({{"error", error},
                           {"not_run", not_run},
                           {"versions", versions},
                           {"retry_after_ms", kRetryAfterMs}},
                          status);
}

HttpResponse DroppedConnection() {
  HttpResponse response;
  response.drop_connection = true;
  return response;
}

int64_t IntegerHeader(const HttpRequest& request, const std::string& name) {
  return std::strtoll(request.Header(name).c_str(), nullptr, 10);
}

bool Contains(const std::vector<IndexVersion>& versions, IndexVersion version) {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

}  // namespace

TargetModel::TargetModel(std::string id, const Json& settings)
    : id_(std::move(id)),
      incarnation_(ToHex(NewIncarnation())),
      slots_(settings.value("slots", 2)),
      cold_concurrency_(settings.value("cold_concurrency", 1)),
      successes_until_warm_(settings.value("cold_successes", 20)),
      service_ms_(settings.value("service_ms", 2.0)),
      jitter_ms_(settings.value("jitter_ms", 1.0)),
      documents_(settings.value("documents", 256)),
      random_(StableHash(id_)) {
  const absl::MutexLock lock(&mutex_);
  cold_start_ = absl::Now();
  ParseShards(settings.value("shards", json::array()));
}

void TargetModel::ParseShards(const Json& shards) {
  shards_.clear();
  for (const json& shard : shards) {
    HeldShard& held = shards_[shard.at("shard").get<std::string>()];
    held.range = {shard.at("range").at(0).get<std::string>(),
                  shard.at("range").at(1).get<std::string>()};
    held.versions = shard.at("index_versions").get<std::vector<IndexVersion>>();
  }
}

nlohmann::json TargetModel::ShardListJson() const {
  json shards = json::array();
  for (const auto& [id, held] : shards_) {
    shards.push_back({{"shard", id}, {"index_versions", held.versions}});
  }
  return shards;
}

int TargetModel::ConcurrencyLimit() const {
  return cold_ ? cold_concurrency_ : slots_;
}

void TargetModel::MarkCold() {
  if (!cold_) cold_start_ = absl::Now();
  cold_ = true;
  cold_success_count_ = 0;
  ++cold_reset_count_;
}

std::optional<HttpResponse> TargetModel::Admit() {
  if (faults_.drain) {
    ++draining_rejections_;
    return RefusalResponse("draining", 503);
  }
  if (faults_.shed) return RefusalResponse("shed", 429);
  if (in_flight_ >= ConcurrencyLimit()) {
    ++(cold_ ? cold_rejections_ : slot_rejections_);
    return RefusalResponse(cold_ ? "cold" : "shed", cold_ ? 503 : 429);
  }
  ++in_flight_;
  max_in_flight_ = std::max(max_in_flight_, in_flight_);
  return std::nullopt;
}

std::variant<KeyRange, HttpResponse> TargetModel::CheckShard(
    const HttpRequest& request) const {
  const auto found = shards_.find(request.Header("x-shard"));
  if (found == shards_.end()) return RefusalResponse("wrong_shard", 409);
  const HeldShard& held = found->second;
  const std::string range = request.Header("x-shard-range");
  if (!range.empty() && range != held.range.begin + "-" + held.range.end) {
    return RefusalResponse("wrong_shard", 409);
  }
  if (!Contains(held.versions, IntegerHeader(request, "x-index-version"))) {
    return RefusalResponse("wrong_version", 409, held.versions);
  }
  return held.range;
}

void TargetModel::CrashIfRequested(const std::string& body) {
  const absl::MutexLock lock(&mutex_);
  const bool crash = !faults_.crash_on_text.empty() &&
                     body.find(faults_.crash_on_text) != std::string::npos;
  if (crash) _exit(kCrashExitCode);
}

bool TargetModel::RecordPeerAndCheckUnresponsive(const std::string& peer) {
  const absl::MutexLock lock(&mutex_);
  peers_seen_.insert(peer);
  return unresponsive_peers_.count(peer) > 0;
}

void TargetModel::WaitWithoutResponding() {
  const absl::Time end_time = absl::Now() + kUnresponsiveDuration;
  const absl::MutexLock lock(&mutex_);
  while (!stopping_ && absl::Now() < end_time) {
    changed_.WaitWithTimeout(&mutex_, kStopCheckInterval);
  }
}

absl::Duration TargetModel::ServiceTime() {
  const double jitter_ms =
      static_cast<double>(random_() % 1000) / 1000 * jitter_ms_;
  return absl::Milliseconds(service_ms_ + jitter_ms + faults_.extra_service_ms);
}

TargetModel::ServeResult TargetModel::Serve(const HttpRequest& request,
                                            absl::Time arrival_time) {
  const std::string attempt = request.Header("x-attempt-id");
  const int64_t remaining_ms = IntegerHeader(request, "x-deadline-ms");
  const absl::MutexLock lock(&mutex_);
  const absl::Time deadline = arrival_time + absl::Milliseconds(remaining_ms);
  const absl::Time completion_time = arrival_time + ServiceTime();
  ServeResult result = ServeResult::kServed;
  while (absl::Now() < completion_time) {
    if (cancelled_attempts_.erase(attempt) > 0) {
      result = ServeResult::kCancelled;
      break;
    }
    if (remaining_ms > 0 && absl::Now() >= deadline) {
      result = ServeResult::kExpired;
      break;
    }
    changed_.WaitWithDeadline(&mutex_, remaining_ms > 0
                                           ? std::min(completion_time, deadline)
                                           : completion_time);
  }
  --in_flight_;
  if (result != ServeResult::kServed) return result;
  ++served_count_;
  if (cold_ && ++cold_success_count_ >= successes_until_warm_) {
    cold_ = false;
    last_cold_duration_ms_ =
        absl::ToDoubleMilliseconds(absl::Now() - cold_start_);
  }
  return result;
}

nlohmann::json TargetModel::SearchResponseBody(const HttpRequest& request,
                                               const KeyRange& range) {
  const json body = json::parse(request.body, nullptr, false);
  const json query =
      body.is_object() ? body.value("query", json::object()) : json::object();
  DocumentQuery document_query;
  document_query.term = query.value("term", "");
  document_query.every = std::max(1, query.value("every", 1));
  document_query.documents = documents_;
  const ShardId shard = request.Header("x-shard");
  const IndexVersion version = IntegerHeader(request, "x-index-version");
  const absl::MutexLock lock(&mutex_);
  std::vector<Document> found = FindDocuments(document_query, range, version);
  if (faults_.truncate) found.resize(found.size() / 2);
  json results = json::array();
  for (const Document& document : found) {
    results.push_back({{"key", document.key},
                       {"score", document.score},
                       {"version", document.version}});
  }
  const std::string attempt = faults_.wrong_attempt_id
                                  ? "0000000000000001-0000000000000001"
                                  : request.Header("x-attempt-id");
  return {{"attempt_id", attempt},
          {"shard", shard},
          {"index_version", version},
          {"complete", !faults_.truncate},
          {"results", results}};
}

HttpResponse TargetModel::Search(const HttpRequest& request) {
  const absl::Time arrival_time = absl::Now();
  if (RecordPeerAndCheckUnresponsive(request.peer)) {
    WaitWithoutResponding();
    return DroppedConnection();
  }
  CrashIfRequested(request.body);
  double response_delay_ms = 0;
  KeyRange range;
  {
    const absl::MutexLock lock(&mutex_);
    ++arrival_count_;
    last_arrival_time_ = arrival_time;
    const bool drop =
        !faults_.drop_on_text.empty() &&
        request.body.find(faults_.drop_on_text) != std::string::npos;
    if (drop) return DroppedConnection();
    if (auto refusal = Admit()) return *refusal;
    auto checked_range = CheckShard(request);
    if (auto* refusal = std::get_if<HttpResponse>(&checked_range)) {
      --in_flight_;
      return std::move(*refusal);
    }
    // Copied, since the shard's range may change while the search runs.
    range = std::get<KeyRange>(std::move(checked_range));
    response_delay_ms = faults_.response_delay_ms;
  }
  if (Serve(request, arrival_time) != ServeResult::kServed) {
    return RefusalResponse("expired", 409, json::array(), false);
  }
  HttpResponse response = MakeJsonResponse(SearchResponseBody(request, range));
  absl::SleepFor(absl::Milliseconds(response_delay_ms));
  return response;
}

HttpResponse TargetModel::Act(const HttpRequest& request) {
  const absl::Time arrival_time = absl::Now();
  if (RecordPeerAndCheckUnresponsive(request.peer)) {
    WaitWithoutResponding();
    return DroppedConnection();
  }
  CrashIfRequested(request.body);
  {
    const absl::MutexLock lock(&mutex_);
    ++arrival_count_;
    last_arrival_time_ = arrival_time;
    if (auto refusal = Admit()) return *refusal;
    // The action takes effect here, even if its response is lost later.
    ++runs_by_ticket_[request.Header("x-ticket")];
    ++runs_by_payload_[request.body];
  }
  Serve(request, arrival_time);
  const absl::MutexLock lock(&mutex_);
  const bool lose_response =
      !faults_.drop_on_text.empty() &&
      request.body.find(faults_.drop_on_text) != std::string::npos;
  if (lose_response) return DroppedConnection();
  return MakeJsonResponse(
      {{"attempt_id", request.Header("x-attempt-id")},
       {"result", {{"by", id_}, {"count", runs_by_ticket_.size()}}}});
}

HttpResponse TargetModel::Cancel(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  const absl::MutexLock lock(&mutex_);
  ++cancel_count_;
  if (body.is_object())
    cancelled_attempts_.insert(body.value("attempt_id", ""));
  if (cancelled_attempts_.size() > 10'000) cancelled_attempts_.clear();
  changed_.SignalAll();
  return MakeJsonResponse(json::object());
}

HttpResponse TargetModel::Health(const HttpRequest& request) {
  if (RecordPeerAndCheckUnresponsive(request.peer)) {
    WaitWithoutResponding();
    return DroppedConnection();
  }
  const absl::MutexLock lock(&mutex_);
  const char* state = faults_.drain ? "draining" : cold_ ? "cold" : "serving";
  return MakeJsonResponse(
      {{"incarnation", incarnation_},
       {"state",
        faults_.reported_state.empty() ? state : faults_.reported_state},
       {"slots", slots_},
       {"in_flight", in_flight_},
       {"shards", ShardListJson()}});
}

HttpResponse TargetModel::SetFaults(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return MakeJsonResponse({{"message", "body: expected an object"}}, 400);
  }
  if (body.value("crash", false)) _exit(kCrashExitCode);
  const absl::MutexLock lock(&mutex_);
  Faults& faults = faults_;
  faults.extra_service_ms = body.value("straggle_ms", faults.extra_service_ms);
  faults.shed = body.value("shed", faults.shed);
  faults.drain = body.value("drain", faults.drain);
  faults.truncate = body.value("truncate", faults.truncate);
  faults.wrong_attempt_id =
      body.value("wrong_attempt_id", faults.wrong_attempt_id);
  faults.response_delay_ms = body.value("late_ms", faults.response_delay_ms);
  faults.crash_on_text = body.value("crash_on", faults.crash_on_text);
  faults.drop_on_text = body.value("drop_on", faults.drop_on_text);
  faults.reported_state = body.value("health_lie", faults.reported_state);
  if (body.value("cold", false)) MarkCold();
  if (body.value("silence_connections", false))
    unresponsive_peers_ = peers_seen_;
  if (body.contains("shards")) ParseShards(body["shards"]);
  changed_.SignalAll();
  return MakeJsonResponse(json::object());
}

HttpResponse TargetModel::Stats() {
  const absl::MutexLock lock(&mutex_);
  int max_runs_of_a_ticket = 0;
  for (const auto& [ticket, count] : runs_by_ticket_) {
    max_runs_of_a_ticket = std::max(max_runs_of_a_ticket, count);
  }
  return MakeJsonResponse(
      {{"id", id_},
       {"incarnation", incarnation_},
       {"cold", cold_},
       {"cold_for_ms", last_cold_duration_ms_},
       {"turned_cold", cold_reset_count_},
       {"arrived", arrival_count_},
       {"served", served_count_},
       {"in_flight", in_flight_},
       {"max_in_flight", max_in_flight_},
       {"over_cold", cold_rejections_},
       {"over_slots", slot_rejections_},
       {"while_draining", draining_rejections_},
       {"cancels", cancel_count_},
       {"last_arrival_ms_ago",
        absl::ToInt64Milliseconds(absl::Now() - last_arrival_time_)},
       {"actions", runs_by_ticket_.size()},
       {"most_runs_of_a_ticket", max_runs_of_a_ticket},
       {"runs_by_payload", runs_by_payload_}});
}

void TargetModel::Stop() {
  const absl::MutexLock lock(&mutex_);
  stopping_ = true;
  changed_.SignalAll();
}

}  // namespace cherrydyke
