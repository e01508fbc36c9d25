#pragma once

#include <memory>
#include <set>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "wire/socket.h"

namespace cherrydyke {

/// Addresses that this process is cut off from. Only tests ever fill it.
class PartitionedAddresses {
 public:
  void Replace(std::set<std::string> addresses);
  bool Contains(const std::string& address) const;

 private:
  mutable absl::Mutex mutex_;
  std::set<std::string> addresses_ ABSL_GUARDED_BY(mutex_);
};

/// Makes streams to cut addresses go silent, as a network partition does:
/// nothing is refused, nothing arrives, and a stream that lost bytes stays
/// silent after the partition heals.
class PartitionInjectingConnector : public Connector {
 public:
  PartitionInjectingConnector(std::unique_ptr<Connector> inner,
                              const PartitionedAddresses& partitioned_addresses)
      : inner_(std::move(inner)),
        partitioned_addresses_(partitioned_addresses) {}

  std::variant<std::unique_ptr<Stream>, ConnectFailure> Connect(
      const Endpoint& endpoint, absl::Duration timeout) override;
  std::unique_ptr<Stream> WrapAccepted(
      std::unique_ptr<Stream> accepted) override;

 private:
  std::unique_ptr<Connector> inner_;
  const PartitionedAddresses& partitioned_addresses_;
};

/// Drops datagrams to and from cut addresses.
class PartitionInjectingDatagramTransport : public DatagramTransport {
 public:
  PartitionInjectingDatagramTransport(
      std::unique_ptr<DatagramTransport> inner,
      const PartitionedAddresses& partitioned_addresses)
      : inner_(std::move(inner)),
        partitioned_addresses_(partitioned_addresses) {}

  void Send(const Endpoint& to, const std::string& payload) override;
  bool Receive(Datagram& datagram, absl::Duration timeout) override;

 private:
  std::unique_ptr<DatagramTransport> inner_;
  const PartitionedAddresses& partitioned_addresses_;
};

}  // namespace cherrydyke
