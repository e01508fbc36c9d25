#pragma once

#include <vector>

#include "bench/table.h"

namespace cherrydyke {

/// Costs of the control and query logic alone, against their sizes.
std::vector<Table> MeasureMicro();

/// Processor time of entries and gates for each sub-request.
Table MeasureDataPath();

/// Cost of dividing shared limits in a tier against the fleet's size.
Table MeasureFleetShares();

/// Costs of one exchange over HTTP on the first version's path, a thread for
/// each connection, and on the tier's event loop.
Table MeasureHttpPaths();

/// The tier's own added time: one shard, through the tier and straight to the
/// target.
Table MeasureAddedLatency();

/// Tail latency, coverage and extra load of queries over 140 shards with and
/// without stragglers, against the naive baselines.
Table MeasureStragglers();

/// The same faults under the Cooperative's class and under Retornos Andinos's.
Table MeasureEntryClasses();

/// Service while a failure domain leaves and returns.
Table MeasureDomainOutOfService();

/// Time until targets are held and warm again after their gate restarted.
Table MeasureWarmUp();

/// Cost of control in each daemon and time for a change to be in force, against
/// the number of daemons.
Table MeasureControlPlane();

}  // namespace cherrydyke
