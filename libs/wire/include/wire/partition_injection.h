#pragma once

#include <memory>
#include <set>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "wire/socket.h"

namespace cherrydyke {

/// IP addresses that this process treats as unreachable, to simulate a network
/// partition. Empty except in tests. Thread-safe.
class PartitionedAddresses {
 public:
  void Replace(std::set<std::string> addresses);
  bool Contains(const std::string& address) const;

 private:
  mutable absl::Mutex mutex_;
  std::set<std::string> addresses_ ABSL_GUARDED_BY(mutex_);
};

/// Simulates a network partition on streams to and from partitioned addresses:
/// connection attempts time out instead of being refused, writes are discarded
/// and reads time out. A stream that was partitioned once stays so after the
/// partition heals, because bytes of it may be missing.
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

/// Drops datagrams to and from partitioned addresses.
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
