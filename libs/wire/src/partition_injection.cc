#include "wire/partition_injection.h"

#include <atomic>

#include "absl/time/clock.h"

namespace cherrydyke {
namespace {

/// Longest wait of one read on a partitioned stream, so that `Close` takes
/// effect soon.
constexpr absl::Duration kBlackholedReadWait = absl::Milliseconds(20);

class PartitionInjectingStream : public Stream {
 public:
  PartitionInjectingStream(std::unique_ptr<Stream> inner,
                           const PartitionedAddresses& partitioned_addresses)
      : inner_(std::move(inner)),
        partitioned_addresses_(partitioned_addresses) {}

  StreamState Write(const char* data, size_t size) override {
    if (IsBlackholed()) return StreamState::kOpen;
    return inner_->Write(data, size);
  }

  StreamState Read(char* data, size_t size, absl::Duration timeout) override {
    if (!IsBlackholed()) {
      const StreamState state = inner_->Read(data, size, timeout);
      if (!IsBlackholed()) return state;
    }
    absl::SleepFor(std::min(timeout, kBlackholedReadWait));
    return closed_ ? StreamState::kClosed : StreamState::kTimedOut;
  }

  void Close() override {
    closed_ = true;
    inner_->Close();
  }
  std::string PeerAddress() const override { return inner_->PeerAddress(); }

 private:
  // A stream that was partitioned once stays so: bytes of it may be missing.
  bool IsBlackholed() {
    if (partitioned_addresses_.Contains(inner_->PeerAddress()))
      blackholed_ = true;
    return blackholed_;
  }

  std::unique_ptr<Stream> inner_;
  const PartitionedAddresses& partitioned_addresses_;
  std::atomic<bool> blackholed_{false};
  std::atomic<bool> closed_{false};
};

}  // namespace

void PartitionedAddresses::Replace(std::set<std::string> addresses) {
  const absl::MutexLock lock(&mutex_);
  addresses_ = std::move(addresses);
}

bool PartitionedAddresses::Contains(const std::string& address) const {
  const absl::MutexLock lock(&mutex_);
  return addresses_.count(address) > 0;
}

std::variant<std::unique_ptr<Stream>, ConnectFailure>
PartitionInjectingConnector::Connect(const Endpoint& endpoint,
                                     absl::Duration timeout) {
  if (partitioned_addresses_.Contains(AddressOf(endpoint))) {
    absl::SleepFor(timeout);
    return ConnectFailure::kUnreachable;
  }
  auto connected = inner_->Connect(endpoint, timeout);
  if (auto* stream = std::get_if<std::unique_ptr<Stream>>(&connected)) {
    return WrapAccepted(std::move(*stream));
  }
  return connected;
}

std::unique_ptr<Stream> PartitionInjectingConnector::WrapAccepted(
    std::unique_ptr<Stream> accepted) {
  return std::make_unique<PartitionInjectingStream>(
      inner_->WrapAccepted(std::move(accepted)), partitioned_addresses_);
}

void PartitionInjectingDatagramTransport::Send(const Endpoint& to,
                                               const std::string& payload) {
  if (partitioned_addresses_.Contains(AddressOf(to))) return;
  inner_->Send(to, payload);
}

bool PartitionInjectingDatagramTransport::Receive(Datagram& datagram,
                                                  absl::Duration timeout) {
  return inner_->Receive(datagram, timeout) &&
         !partitioned_addresses_.Contains(datagram.sender_address);
}

}  // namespace cherrydyke
