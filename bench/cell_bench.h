// Measurements of many daemons as one cell, on the step functions with a fake
// network and clock. Each prints its figures. Seeded: the counts are the same
// in every run, the processor times are not.
#pragma once

namespace ebonygrade::bench {

void measure_control_bytes();
void measure_routing_rules();
void measure_shard_moves();
void measure_silent_links();

}  // namespace ebonygrade::bench
