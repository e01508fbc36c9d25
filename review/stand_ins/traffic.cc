#include "traffic.h"

#include <thread>

namespace cherrydyke::review {

void Traffic::Send(const Request& request) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++running_;
  }
  std::thread([this, request] {
    Attempt attempt{request.id, request.host, {}};
    attempt.result =
        Fetch(request.address, request.text, request.deadline_ms, request.rate);
    const HttpResult& result = attempt.result;
    record_.Write(
        "caller: " + request.id + " to " + request.host + ", sent at " +
        std::to_string(result.sent_at_ms) + " ms, " +
        (result.connected ? "status " + std::to_string(result.status) +
                                (result.complete ? "" : ", incomplete")
                          : "no connection") +
        ", " + std::to_string(result.body.size()) + " bytes, ended at " +
        std::to_string(result.ended_at_ms) + " ms");
    const std::lock_guard<std::mutex> lock(mutex_);
    attempts_[request.id] = std::move(attempt);
    --running_;
  }).detach();
}

void Traffic::Run(int64_t until_ms, double per_s,
                  const std::function<Request(int)>& make) {
  const int64_t begin = NowMs();
  for (int number = 0;; ++number) {
    const auto due = begin + static_cast<int64_t>(static_cast<double>(number) *
                                                  1000 / per_s);
    if (due >= until_ms) return;
    SleepUntil(due);
    Send(make(number));
  }
}

void Traffic::Wait() const {
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (running_ == 0) return;
    }
    SleepUntil(NowMs() + 20);
  }
}

std::map<std::string, Attempt> Traffic::Attempts() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return attempts_;
}

}  // namespace cherrydyke::review
