// Benchmarks of a cell of many daemons, which run the step functions on a
// simulated network and clock. Each function prints its figures. The seeds are
// fixed: the counts are the same in every run, the CPU times are not.
#pragma once

namespace ebonygrade::bench {

void measure_control_bytes();
void measure_routing_rules();
void measure_shard_moves();
void measure_silent_links();

}  // namespace ebonygrade::bench
