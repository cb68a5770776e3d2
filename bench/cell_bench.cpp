#include "cell_bench.h"

int main() {
  ebonygrade::bench::measure_control_bytes();
  ebonygrade::bench::measure_routing_rules();
  ebonygrade::bench::measure_shard_moves();
  ebonygrade::bench::measure_silent_links();
  return 0;
}
