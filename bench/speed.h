// Cost of the placement engine: scheduling decisions per second, memory, and
// cancellation.
#pragma once

namespace ebonygrade::bench {

// Each function prints its figures, one "name value unit" line per figure.
void measure_speed();
void measure_memory();
void measure_cancellations();

}  // namespace ebonygrade::bench
