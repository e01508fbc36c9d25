#include "waiting_requests.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {
namespace {

constexpr size_t kMaxWaiting = 256;
constexpr size_t kMaxWaitingBodyBytes = 8U << 20U;
/// How many waits end in each period.
constexpr size_t kResumedAtOnce = 4;
constexpr absl::Duration kResumePeriod = absl::Milliseconds(20);

}  // namespace

WaitingRequests::WaitingRequests(engine::EventLoop& loop, Handler handle)
    : loop_(loop), handle_(std::move(handle)) {}

WaitingRequests::~WaitingRequests() {
  for (const Waiting& waiting : waiting_) {
    waiting.exchange->OnDisconnect(nullptr);
  }
}

bool WaitingRequests::Add(std::shared_ptr<engine::ServerExchange> exchange,
                          absl::Time until) {
  const size_t body_bytes = exchange->request().body.size();
  if (waiting_.size() >= kMaxWaiting ||
      body_bytes_ + body_bytes > kMaxWaitingBodyBytes) {
    return false;
  }
  body_bytes_ += body_bytes;
  const auto entry = waiting_.insert(waiting_.end(), Waiting());
  entry->exchange = std::move(exchange);
  entry->exchange->OnDisconnect([this, entry] { Remove(entry); });
  entry->timer = timers_.RunAt(until, [this, entry] { End(entry); });
  return true;
}

void WaitingRequests::Resume() {
  const bool is_resuming = to_resume_ > 0;
  to_resume_ = waiting_.size();
  // The caller may be handling an event of one of the requests' connections.
  if (!is_resuming && to_resume_ > 0) timers_.Post([this] { ResumeSome(); });
}

void WaitingRequests::ResumeSome() {
  const size_t count = std::min(kResumedAtOnce, to_resume_);
  to_resume_ -= count;
  EndFirst(count);
  if (to_resume_ > 0) timers_.RunAfter(kResumePeriod, [this] { ResumeSome(); });
}

void WaitingRequests::ResumeAll() { EndFirst(waiting_.size()); }

void WaitingRequests::EndFirst(size_t count) {
  // Those that wait again are at the end, and callers may leave meanwhile.
  size_t left = std::min(count, waiting_.size());
  while (left-- > 0 && !waiting_.empty()) End(waiting_.begin());
}

std::shared_ptr<engine::ServerExchange> WaitingRequests::Remove(
    std::list<Waiting>::iterator entry) {
  auto exchange = std::move(entry->exchange);
  body_bytes_ -= exchange->request().body.size();
  loop_.Cancel(entry->timer);
  waiting_.erase(entry);
  return exchange;
}

void WaitingRequests::End(std::list<Waiting>::iterator entry) {
  const auto exchange = Remove(entry);
  exchange->OnDisconnect(nullptr);
  handle_(exchange);
}

}  // namespace cherrydyke
