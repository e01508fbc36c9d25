#pragma once

#include <cstddef>
#include <tuple>

namespace cherrydyke {

/// A host's place in the fleet, as far as it knows.
struct FleetPlace {
  /// Live hosts, this one included.
  size_t hosts = 1;
  size_t failure_domains = 1;
  /// Position of this host among those of its failure domain, from 0.
  size_t domain_rank = 0;

  friend bool operator==(const FleetPlace& a, const FleetPlace& b) {
    return std::tie(a.hosts, a.failure_domains, a.domain_rank) ==
           std::tie(b.hosts, b.failure_domains, b.domain_rank);
  }
};

/// Decides which hosts read the configuration service all the time, whatever
/// their peers say or prove. Such a host is current as long as it has a path to
/// the service. A small fleet reads as a whole, a large one with the same
/// number of hosts in each failure domain, so that their calls stay within what
/// the fleet may spend while changes continue.
///
/// Pure.
class ReaderAllowance {
 public:
  /// No host reads all the time.
  ReaderAllowance() = default;
  /// @param calls_per_s calls that the fleet may spend on reading.
  /// @param reader_calls_per_s the most calls of one reader.
  ReaderAllowance(double calls_per_s, double reader_calls_per_s)
      : readers_(static_cast<size_t>(calls_per_s / reader_calls_per_s)) {}

  /// @return how many hosts may read all the time.
  size_t readers() const { return readers_; }

  /// @return whether the host at this place reads all the time.
  bool Covers(const FleetPlace& place) const {
    return place.hosts <= readers_ ||
           place.domain_rank < readers_ / place.failure_domains;
  }

 private:
  size_t readers_ = 0;
};

}  // namespace cherrydyke
