#include "load/balancer.h"

#include "absl/time/clock.h"
#include "adapters/http_client.h"

namespace cherrydyke {
namespace {

constexpr absl::Duration kPollPeriod = absl::Milliseconds(100);
constexpr absl::Duration kPollTimeout = absl::Milliseconds(300);

}  // namespace

Balancer::Balancer(std::vector<Endpoint> entries, absl::Duration lag)
    : entries_(std::move(entries)), lag_(lag) {
  if (lag_ > absl::ZeroDuration()) poller_ = std::thread([this] { Poll(); });
}

Balancer::~Balancer() {
  stopping_ = true;
  if (poller_.joinable()) poller_.join();
}

void Balancer::Poll() {
  while (!stopping_) {
    Observation observation{absl::Now(), {}};
    for (const Endpoint& entry : entries_) {
      const HttpClient::Outcome outcome =
          HttpClient(entry).Get("/readyz", kPollTimeout);
      const auto* reply = std::get_if<HttpReply>(&outcome);
      observation.ready.push_back(reply != nullptr && reply->status == 200);
    }
    {
      const absl::MutexLock lock(&mutex_);
      observations_.push_back(std::move(observation));
      // Drops observations until the front is the newest one that is at least
      // `lag_` old.
      while (observations_.size() > 1 &&
             observations_[1].time <= absl::Now() - lag_) {
        observations_.pop_front();
      }
    }
    absl::SleepFor(kPollPeriod);
  }
}

Endpoint Balancer::Next() {
  const absl::MutexLock lock(&mutex_);
  for (size_t tried = 0; tried < entries_.size(); ++tried) {
    const size_t index = next_index_.fetch_add(1) % entries_.size();
    const bool has_data = !observations_.empty();
    if (!has_data || observations_.front().ready[index]) return entries_[index];
  }
  return entries_[next_index_.fetch_add(1) % entries_.size()];
}

}  // namespace cherrydyke
