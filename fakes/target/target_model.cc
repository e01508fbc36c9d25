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
constexpr absl::Duration kSilence = absl::Seconds(20);
constexpr absl::Duration kSilenceStep = absl::Milliseconds(50);
constexpr int kRefusalRetryMs = 20;

HttpResponse Refuse(const std::string& error, int status,
                    const json& versions = json::array(), bool not_run = true) {
  return JsonReply({{"error", error},
                    {"not_run", not_run},
                    {"versions", versions},
                    {"retry_after_ms", kRefusalRetryMs}},
                   status);
}

HttpResponse Dropped() {
  HttpResponse response;
  response.drop_connection = true;
  return response;
}

int64_t HeaderNumber(const HttpRequest& request, const std::string& name) {
  return std::strtoll(request.Header(name).c_str(), nullptr, 10);
}

bool Holds(const std::vector<IndexVersion>& versions, IndexVersion version) {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

}  // namespace

TargetModel::TargetModel(std::string id, const Json& settings)
    : id_(std::move(id)),
      incarnation_(ToHex(NewIncarnation())),
      slots_(settings.value("slots", 2)),
      cold_concurrency_(settings.value("cold_concurrency", 1)),
      cold_successes_(settings.value("cold_successes", 20)),
      service_ms_(settings.value("service_ms", 2.0)),
      jitter_ms_(settings.value("jitter_ms", 1.0)),
      documents_(settings.value("documents", 256)),
      random_(StableHash(id_)) {
  const absl::MutexLock lock(&mutex_);
  cold_since_ = absl::Now();
  ReadShards(settings.value("shards", json::array()));
}

void TargetModel::ReadShards(const Json& shards) {
  shards_.clear();
  for (const json& shard : shards) {
    HeldShard& held = shards_[shard.at("shard").get<std::string>()];
    held.range = {shard.at("range").at(0).get<std::string>(),
                  shard.at("range").at(1).get<std::string>()};
    held.versions = shard.at("index_versions").get<std::vector<IndexVersion>>();
  }
}

nlohmann::json TargetModel::ShardsJson() const {
  json shards = json::array();
  for (const auto& [id, held] : shards_) {
    shards.push_back({{"shard", id}, {"index_versions", held.versions}});
  }
  return shards;
}

int TargetModel::Bears() const { return cold_ ? cold_concurrency_ : slots_; }

void TargetModel::TurnCold() {
  if (!cold_) cold_since_ = absl::Now();
  cold_ = true;
  successes_ = 0;
  ++turned_cold_;
}

std::optional<HttpResponse> TargetModel::Admit() {
  if (faults_.drain) {
    ++while_draining_;
    return Refuse("draining", 503);
  }
  if (faults_.shed) return Refuse("shed", 429);
  if (in_flight_ >= Bears()) {
    ++(cold_ ? over_cold_ : over_slots_);
    return Refuse(cold_ ? "cold" : "shed", cold_ ? 503 : 429);
  }
  ++in_flight_;
  max_in_flight_ = std::max(max_in_flight_, in_flight_);
  return std::nullopt;
}

std::variant<KeyRange, HttpResponse> TargetModel::CheckShard(
    const HttpRequest& request) const {
  const auto found = shards_.find(request.Header("x-shard"));
  if (found == shards_.end()) return Refuse("wrong_shard", 409);
  const HeldShard& held = found->second;
  const std::string range = request.Header("x-shard-range");
  if (!range.empty() && range != held.range.begin + "-" + held.range.end) {
    return Refuse("wrong_shard", 409);
  }
  if (!Holds(held.versions, HeaderNumber(request, "x-index-version"))) {
    return Refuse("wrong_version", 409, held.versions);
  }
  return held.range;
}

void TargetModel::MaybeCrash(const std::string& body) {
  const absl::MutexLock lock(&mutex_);
  const bool crash = !faults_.crash_on.empty() &&
                     body.find(faults_.crash_on) != std::string::npos;
  if (crash) _exit(kCrashExitCode);
}

bool TargetModel::IsSilent(const std::string& peer) {
  const absl::MutexLock lock(&mutex_);
  peers_seen_.insert(peer);
  return silent_peers_.count(peer) > 0;
}

void TargetModel::StaySilent() {
  const absl::Time until = absl::Now() + kSilence;
  const absl::MutexLock lock(&mutex_);
  while (!stopping_ && absl::Now() < until) {
    changed_.WaitWithTimeout(&mutex_, kSilenceStep);
  }
}

absl::Duration TargetModel::ServiceTime() {
  const double noise =
      static_cast<double>(random_() % 1000) / 1000 * jitter_ms_;
  return absl::Milliseconds(service_ms_ + noise + faults_.straggle_ms);
}

TargetModel::Ending TargetModel::Serve(const HttpRequest& request,
                                       absl::Time arrived) {
  const std::string attempt = request.Header("x-attempt-id");
  const int64_t left_ms = HeaderNumber(request, "x-deadline-ms");
  const absl::MutexLock lock(&mutex_);
  const absl::Time deadline = arrived + absl::Milliseconds(left_ms);
  const absl::Time done = arrived + ServiceTime();
  Ending ending = Ending::kServed;
  while (absl::Now() < done) {
    if (cancelled_.erase(attempt) > 0) {
      ending = Ending::kCancelled;
      break;
    }
    if (left_ms > 0 && absl::Now() >= deadline) {
      ending = Ending::kExpired;
      break;
    }
    changed_.WaitWithDeadline(&mutex_,
                              left_ms > 0 ? std::min(done, deadline) : done);
  }
  --in_flight_;
  if (ending != Ending::kServed) return ending;
  ++served_;
  if (cold_ && ++successes_ >= cold_successes_) {
    cold_ = false;
    cold_for_ms_ = absl::ToDoubleMilliseconds(absl::Now() - cold_since_);
  }
  return ending;
}

nlohmann::json TargetModel::SearchBody(const HttpRequest& request,
                                       const KeyRange& range) {
  const json body = json::parse(request.body, nullptr, false);
  const json query =
      body.is_object() ? body.value("query", json::object()) : json::object();
  DocumentQuery wanted;
  wanted.term = query.value("term", "");
  wanted.every = std::max(1, query.value("every", 1));
  wanted.documents = documents_;
  const ShardId shard = request.Header("x-shard");
  const IndexVersion version = HeaderNumber(request, "x-index-version");
  const absl::MutexLock lock(&mutex_);
  std::vector<Document> found = FindDocuments(wanted, range, version);
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
  const absl::Time arrived = absl::Now();
  if (IsSilent(request.peer)) {
    StaySilent();
    return Dropped();
  }
  MaybeCrash(request.body);
  double late_ms = 0;
  KeyRange range;
  {
    const absl::MutexLock lock(&mutex_);
    ++arrived_;
    last_arrival_ = arrived;
    const bool drop = !faults_.drop_on.empty() &&
                      request.body.find(faults_.drop_on) != std::string::npos;
    if (drop) return Dropped();
    if (auto refusal = Admit()) return *refusal;
    auto checked = CheckShard(request);
    if (auto* refusal = std::get_if<HttpResponse>(&checked)) {
      --in_flight_;
      return std::move(*refusal);
    }
    // The shard's border may move while the search runs.
    range = std::get<KeyRange>(std::move(checked));
    late_ms = faults_.late_ms;
  }
  if (Serve(request, arrived) != Ending::kServed) {
    return Refuse("expired", 409, json::array(), false);
  }
  HttpResponse response = JsonReply(SearchBody(request, range));
  absl::SleepFor(absl::Milliseconds(late_ms));
  return response;
}

HttpResponse TargetModel::Act(const HttpRequest& request) {
  const absl::Time arrived = absl::Now();
  if (IsSilent(request.peer)) {
    StaySilent();
    return Dropped();
  }
  MaybeCrash(request.body);
  {
    const absl::MutexLock lock(&mutex_);
    ++arrived_;
    last_arrival_ = arrived;
    if (auto refusal = Admit()) return *refusal;
    // The action takes effect here; whatever happens later, it has run.
    ++acts_by_ticket_[request.Header("x-ticket")];
    ++acts_by_payload_[request.body];
  }
  Serve(request, arrived);
  const absl::MutexLock lock(&mutex_);
  const bool lose = !faults_.drop_on.empty() &&
                    request.body.find(faults_.drop_on) != std::string::npos;
  if (lose) return Dropped();
  return JsonReply(
      {{"attempt_id", request.Header("x-attempt-id")},
       {"result", {{"by", id_}, {"count", acts_by_ticket_.size()}}}});
}

HttpResponse TargetModel::Cancel(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  const absl::MutexLock lock(&mutex_);
  ++cancels_;
  if (body.is_object()) cancelled_.insert(body.value("attempt_id", ""));
  if (cancelled_.size() > 10'000) cancelled_.clear();
  changed_.SignalAll();
  return JsonReply(json::object());
}

HttpResponse TargetModel::Health(const HttpRequest& request) {
  if (IsSilent(request.peer)) {
    StaySilent();
    return Dropped();
  }
  const absl::MutexLock lock(&mutex_);
  const char* state = faults_.drain ? "draining" : cold_ ? "cold" : "serving";
  return JsonReply(
      {{"incarnation", incarnation_},
       {"state", faults_.health_lie.empty() ? state : faults_.health_lie},
       {"slots", slots_},
       {"in_flight", in_flight_},
       {"shards", ShardsJson()}});
}

HttpResponse TargetModel::SetFaults(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return JsonReply({{"message", "body: expected an object"}}, 400);
  }
  if (body.value("crash", false)) _exit(kCrashExitCode);
  const absl::MutexLock lock(&mutex_);
  Faults& faults = faults_;
  faults.straggle_ms = body.value("straggle_ms", faults.straggle_ms);
  faults.shed = body.value("shed", faults.shed);
  faults.drain = body.value("drain", faults.drain);
  faults.truncate = body.value("truncate", faults.truncate);
  faults.wrong_attempt_id =
      body.value("wrong_attempt_id", faults.wrong_attempt_id);
  faults.late_ms = body.value("late_ms", faults.late_ms);
  faults.crash_on = body.value("crash_on", faults.crash_on);
  faults.drop_on = body.value("drop_on", faults.drop_on);
  faults.health_lie = body.value("health_lie", faults.health_lie);
  if (body.value("cold", false)) TurnCold();
  if (body.value("silence_connections", false)) silent_peers_ = peers_seen_;
  if (body.contains("shards")) ReadShards(body["shards"]);
  changed_.SignalAll();
  return JsonReply(json::object());
}

HttpResponse TargetModel::Stats() {
  const absl::MutexLock lock(&mutex_);
  int most_acts = 0;
  for (const auto& [ticket, count] : acts_by_ticket_) {
    most_acts = std::max(most_acts, count);
  }
  return JsonReply({{"id", id_},
                    {"incarnation", incarnation_},
                    {"cold", cold_},
                    {"cold_for_ms", cold_for_ms_},
                    {"turned_cold", turned_cold_},
                    {"arrived", arrived_},
                    {"served", served_},
                    {"in_flight", in_flight_},
                    {"max_in_flight", max_in_flight_},
                    {"over_cold", over_cold_},
                    {"over_slots", over_slots_},
                    {"while_draining", while_draining_},
                    {"cancels", cancels_},
                    {"last_arrival_ms_ago",
                     absl::ToInt64Milliseconds(absl::Now() - last_arrival_)},
                    {"actions", acts_by_ticket_.size()},
                    {"most_runs_of_a_ticket", most_acts},
                    {"runs_by_payload", acts_by_payload_}});
}

void TargetModel::Stop() {
  const absl::MutexLock lock(&mutex_);
  stopping_ = true;
  changed_.SignalAll();
}

}  // namespace cherrydyke
