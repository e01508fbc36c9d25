#include "target.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace cherrydyke::review {
namespace {

constexpr int64_t kHeartbeatMs = 1200;
constexpr int64_t kHealthMs = 1;

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Target::Target(const std::string& ip, Options options, Store& store,
               Record& record)
    : options_(std::move(options)),
      store_(store),
      record_(record),
      born_ms_(UnixMs()),
      server_(ip,
              [this](const HttpRequest& request) { return Handle(request); }) {}

void Target::SendHeartbeat() {
  if (is_down_) return;
  store_.Put(StoreKey(),
             "{\"service\":\"" + options_.service + "\",\"address\":\"" +
                 server_.address().ToString() + "\",\"zone\":\"" +
                 options_.zone + "\",\"version\":\"v1\",\"maxConcurrency\":" +
                 std::to_string(options_.slots) +
                 ",\"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":" +
                 std::to_string(++sequence_) +
                 ",\"born\":" + std::to_string(born_ms_) + "}");
}

HttpResponse Target::Handle(const HttpRequest& request) {
  if (request.target == "/health") {
    SleepUntil(NowMs() + kHealthMs);
    return {200, {{"Cherrydyke-Instance-Id", options_.id}}, ""};
  }
  const std::string expected = request.Header("Cherrydyke-Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    return {421, {{"Cherrydyke-Instance-Id", options_.id}}, ""};
  }
  return RunRequest(request);
}

HttpResponse Target::RunRequest(const HttpRequest& request) {
  const std::string request_id = request.Header("Cherrydyke-Request-Id");
  AcquireSlot();
  size_t number = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back({request_id, NowMs()});
    number = runs_.size();
  }
  record_.Write("target " + options_.id + " runs " + request_id);
  if (CrashesOn(request.target)) {
    ReleaseSlot();
    Crash();
    HttpResponse crash;
    crash.is_crash = true;
    return crash;
  }
  SleepUntil(NowMs() + options_.work_ms);
  ReleaseSlot();
  const int every = fail_every_;
  const bool fails = every > 0 && number % static_cast<size_t>(every) == 0;
  const int status = fails ? failure_status_.load() : 200;
  record_.Write("target " + options_.id + " answers " + request_id + " with " +
                std::to_string(status));
  HttpResponse response;
  response.status = status;
  response.headers = {
      {"Cherrydyke-Request-Id", request_id},
      {"Cherrydyke-Server-Stamp", options_.id + "." + request_id}};
  response.body = std::string(fails ? 0 : options_.response_bytes, 'x');
  const int repeat_every = repeat_every_;
  if (repeat_every > 0 && number % static_cast<size_t>(repeat_every) == 0) {
    response.is_repeated_late = true;
    record_.Write("target " + options_.id + " will send a late copy of " +
                  request_id);
  }
  return response;
}

bool Target::CrashesOn(const std::string& path) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return !crash_path_.empty() && path == crash_path_;
}

void Target::CrashOn(const std::string& path, int64_t back_after_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  crash_path_ = path;
  back_after_ms_ = back_after_ms;
}

void Target::Crash() {
  if (is_down_.exchange(true)) return;
  record_.Write("target " + options_.id + " crashes");
  server_.Stop();
  std::thread([this] {
    SleepUntil(NowMs() + back_after_ms_);
    born_ms_ = UnixMs();
    sequence_ = 0;
    server_.Restart();
    is_down_ = false;
    SendHeartbeat();
    record_.Write("target " + options_.id + " is back");
  }).detach();
}

void Target::AcquireSlot() {
  std::unique_lock<std::mutex> lock(mutex_);
  slot_freed_.wait(lock, [this] { return running_ < options_.slots; });
  ++running_;
}

void Target::ReleaseSlot() {
  const std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  slot_freed_.notify_one();
}

std::vector<Run> Target::Runs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

Targets::Targets(std::string ip, Store& store, Record& record)
    : ip_(std::move(ip)), store_(store), record_(record) {}

void Targets::AddService(const std::string& service, int count,
                         const std::vector<std::string>& zones,
                         Target::Options options) {
  for (int index = 0; index < count; ++index) {
    options.service = service;
    options.id = service + "-" + std::to_string(index);
    options.zone = zones[static_cast<size_t>(index) % zones.size()];
    targets_.push_back(std::make_unique<Target>(ip_, options, store_, record_));
  }
}

void Targets::Start() {
  SendHeartbeats();
  std::thread([this] {
    while (true) {
      SleepUntil(NowMs() + kHeartbeatMs);
      SendHeartbeats();
    }
  }).detach();
}

void Targets::SendHeartbeats() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& target : targets_) {
    if (std::count(silent_.begin(), silent_.end(), target->id()) == 0) {
      target->SendHeartbeat();
    }
  }
}

void Targets::StopHeartbeats(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  silent_.push_back(id);
}

std::vector<Target*> Targets::OfService(const std::string& service) const {
  std::vector<Target*> found;
  for (const auto& target : targets_) {
    if (target->service() == service) found.push_back(target.get());
  }
  return found;
}

std::map<std::string, std::vector<Run>> Targets::RunsByRequest() const {
  std::map<std::string, std::vector<Run>> runs;
  for (const auto& target : targets_) {
    for (const Run& run : target->Runs()) runs[run.request_id].push_back(run);
  }
  return runs;
}

}  // namespace cherrydyke::review
