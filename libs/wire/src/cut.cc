#include "wire/cut.h"

#include <atomic>

#include "absl/time/clock.h"

namespace cherrydyke {
namespace {

constexpr absl::Duration kPollStep = absl::Milliseconds(20);

class CutStream : public Stream {
 public:
  CutStream(std::unique_ptr<Stream> inner, const CutSet& cuts)
      : inner_(std::move(inner)), cuts_(cuts) {}

  StreamState Write(const char* data, size_t size) override {
    if (Silent()) return StreamState::kOpen;
    return inner_->Write(data, size);
  }

  StreamState Read(char* data, size_t size, absl::Duration timeout) override {
    if (!Silent()) {
      const StreamState state = inner_->Read(data, size, timeout);
      if (!Silent()) return state;
    }
    absl::SleepFor(std::min(timeout, kPollStep));
    return closed_ ? StreamState::kClosed : StreamState::kTimedOut;
  }

  void Close() override {
    closed_ = true;
    inner_->Close();
  }
  std::string PeerAddress() const override { return inner_->PeerAddress(); }

 private:
  // Once cut, bytes may be missing, so the stream never speaks again.
  bool Silent() {
    if (cuts_.Contains(inner_->PeerAddress())) silent_ = true;
    return silent_;
  }

  std::unique_ptr<Stream> inner_;
  const CutSet& cuts_;
  std::atomic<bool> silent_{false};
  std::atomic<bool> closed_{false};
};

}  // namespace

void CutSet::Replace(std::set<std::string> addresses) {
  const absl::MutexLock lock(&mutex_);
  addresses_ = std::move(addresses);
}

bool CutSet::Contains(const std::string& address) const {
  const absl::MutexLock lock(&mutex_);
  return addresses_.count(address) > 0;
}

std::variant<std::unique_ptr<Stream>, ConnectFailure> CutConnector::Connect(
    const Endpoint& endpoint, absl::Duration timeout) {
  if (cuts_.Contains(AddressOf(endpoint))) {
    absl::SleepFor(timeout);
    return ConnectFailure::kUnreachable;
  }
  auto connected = inner_->Connect(endpoint, timeout);
  if (auto* stream = std::get_if<std::unique_ptr<Stream>>(&connected)) {
    return Adopt(std::move(*stream));
  }
  return connected;
}

std::unique_ptr<Stream> CutConnector::Adopt(std::unique_ptr<Stream> accepted) {
  return std::make_unique<CutStream>(inner_->Adopt(std::move(accepted)), cuts_);
}

void CutDatagramTransport::Send(const Endpoint& to,
                                const std::string& payload) {
  if (cuts_.Contains(AddressOf(to))) return;
  inner_->Send(to, payload);
}

bool CutDatagramTransport::Receive(Datagram& datagram, absl::Duration timeout) {
  return inner_->Receive(datagram, timeout) &&
         !cuts_.Contains(datagram.sender_address);
}

}  // namespace cherrydyke
