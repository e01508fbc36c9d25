#include "platform_model.h"

#include <algorithm>
#include <cstdlib>

#include "absl/time/clock.h"
#include "fakes/fake_program.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

int64_t IntegerParameter(const HttpRequest& request, const std::string& name) {
  return std::strtoll(request.Parameter(name, "0").c_str(), nullptr, 10);
}

HttpResponse DroppedConnection() {
  HttpResponse response;
  response.drop_connection = true;
  return response;
}

}  // namespace

void PlatformModel::RecordCall() {
  const absl::Time now = absl::Now();
  ++call_count_;
  recent_call_times_.push_back(now);
  while (recent_call_times_.front() < now - absl::Seconds(1)) {
    recent_call_times_.pop_front();
  }
  max_calls_per_s_ = std::max(max_calls_per_s_, recent_call_times_.size());
}

bool PlatformModel::BeginCall() {
  {
    const absl::MutexLock lock(&mutex_);
    RecordCall();
  }
  absl::SleepFor(absl::Milliseconds(delay_ms_.load()));
  return !down_;
}

HttpResponse PlatformModel::GetConfig(const HttpRequest& request) {
  if (!BeginCall()) return DroppedConnection();
  const Revision since = IntegerParameter(request, "since");
  const absl::Time deadline =
      absl::Now() + absl::Milliseconds(IntegerParameter(request, "wait_ms"));
  const absl::MutexLock lock(&mutex_);
  while (VisibleState().revision <= since && !stopping_ && !down_) {
    if (changed_.WaitWithDeadline(&mutex_, deadline)) break;
  }
  if (down_) return DroppedConnection();
  const State& state = VisibleState();
  json changes = json::array();
  for (const auto& [key, change] : state.values) {
    if (change["revision"].get<Revision>() > since) changes.push_back(change);
  }
  return MakeJsonResponse({{"revision", state.revision}, {"changes", changes}});
}

HttpResponse PlatformModel::GetHosts(const HttpRequest& request) {
  if (!BeginCall()) return DroppedConnection();
  const Revision since = IntegerParameter(request, "since");
  const absl::Time deadline =
      absl::Now() + absl::Milliseconds(IntegerParameter(request, "wait_ms"));
  const absl::MutexLock lock(&mutex_);
  while (VisibleState().hosts_revision <= since && !stopping_ && !down_) {
    if (changed_.WaitWithDeadline(&mutex_, deadline)) break;
  }
  if (down_) return DroppedConnection();
  const State& state = VisibleState();
  return MakeJsonResponse(
      {{"revision", state.hosts_revision}, {"hosts", state.hosts}});
}

void PlatformModel::Publish(const Json& changes) {
  for (const auto& [key, value] : changes.items()) {
    const Revision revision = ++state_.revision;
    state_.values[key] = {
        {"key", key}, {"revision", revision}, {"value", value}};
  }
  changed_.SignalAll();
}

HttpResponse PlatformModel::PublishConfig(const HttpRequest& request) {
  const json changes = json::parse(request.body, nullptr, false);
  if (!changes.is_object()) {
    return MakeJsonResponse({{"message", "body: expected an object of keys"}},
                            400);
  }
  const absl::MutexLock lock(&mutex_);
  Publish(changes);
  return MakeJsonResponse({{"revision", state_.revision}});
}

HttpResponse PlatformModel::PublishHosts(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("hosts")) {
    return MakeJsonResponse({{"message", "hosts: expected an array"}}, 400);
  }
  const absl::MutexLock lock(&mutex_);
  state_.hosts = body["hosts"];
  ++state_.hosts_revision;
  changed_.SignalAll();
  return MakeJsonResponse({{"revision", state_.hosts_revision}});
}

HttpResponse PlatformModel::SetFaults(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return MakeJsonResponse({{"message", "body: expected an object"}}, 400);
  }
  const absl::MutexLock lock(&mutex_);
  if (body.contains("down")) down_ = body["down"].get<bool>();
  if (body.contains("delay_ms")) delay_ms_ = body["delay_ms"].get<int>();
  if (body.contains("stale")) {
    stale_ = body["stale"].get<bool>();
    if (stale_) stale_state_ = state_;
  }
  changed_.SignalAll();
  return MakeJsonResponse(json::object());
}

HttpResponse PlatformModel::Stats() {
  const absl::MutexLock lock(&mutex_);
  return MakeJsonResponse({{"calls", call_count_},
                           {"max_calls_per_s", max_calls_per_s_},
                           {"revision", state_.revision},
                           {"hosts_revision", state_.hosts_revision}});
}

void PlatformModel::Stop() {
  const absl::MutexLock lock(&mutex_);
  stopping_ = true;
  changed_.SignalAll();
}

}  // namespace cherrydyke
