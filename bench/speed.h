// Cost of the engine: decisions a second, bytes of state, cancellation.
#pragma once

namespace ebonygrade::bench {

// Prints its figures, one "name value unit" a line.
void measure_speed();
void measure_memory();
void measure_cancellations();

}  // namespace ebonygrade::bench
