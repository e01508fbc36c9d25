#pragma once

#include <vector>

#include "bench/table.h"

namespace cherrydyke {

/// Cost of control and query operations without I/O, by problem size.
std::vector<Table> MeasureMicro();

/// CPU time of entries, gates and targets per sub-request, by query rate.
Table MeasureDataPath();

/// Time to recompute a host's shares of fleet-wide limits, by fleet size.
Table MeasureFleetShares();

/// Cost of one HTTP exchange with a thread per connection and with the tier's
/// event loop, by number of connections.
Table MeasureHttpPaths();

/// Latency that the tier adds to a query of one shard, compared with requests
/// sent directly to the target.
Table MeasureAddedLatency();

/// Latency, coverage and load factor of queries over 140 shards with and
/// without stragglers, compared with runs without canaries or hedging and with
/// random replica choice.
Table MeasureStragglers();

/// Latency and coverage under the same faults for the entry classes `coverage`
/// and `latency`.
Table MeasureEntryClasses();

/// Responses per second while a failure domain is taken out of service and put
/// back.
Table MeasureDomainOutOfService();

/// Time until a restarted gate has leased its targets again, and until they are
/// warm.
Table MeasureWarmUp();

/// Control-plane cost per daemon and propagation time of a configuration
/// change, by number of daemons.
Table MeasureControlPlane();

}  // namespace cherrydyke
