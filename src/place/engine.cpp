#include <algorithm>
#include <limits>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

std::int32_t clamp_amount(std::int64_t amount) {
  constexpr std::int64_t kMost = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(amount, 0, kMost));
}

job::resources clamp_amounts(const amounts& value) {
  return {clamp_amount(value[0]), clamp_amount(value[1]),
          clamp_amount(value[2]), clamp_amount(value[3])};
}

}  // namespace

void engine_deleter::operator()(engine* value) const { delete value; }

engine_ptr make_engine(const engine_options& options) {
  return engine_ptr(new engine(options));
}

engine_summary summarise(const engine& e) {
  engine_summary total;
  amounts free{};
  std::int64_t largest = -1;
  for (std::uint32_t worker = 0; worker < e.workers.size(); ++worker) {
    if (!e.free_index.contains(worker)) continue;
    const job::resources& worker_free = e.workers[worker].free;
    add(&free, worker_free);
    const std::int64_t size =
        static_cast<std::int64_t>(worker_free.millicores) +
        worker_free.memory_mb;
    if (size <= largest) continue;
    largest = size;
    total.largest_free = worker_free;
  }
  total.free = clamp_amounts(free);
  total.capacity = clamp_amounts(e.capacity);
  total.queued = e.waiting_count;
  total.running = e.running_count;
  total.workers = e.worker_count;
  return total;
}

}  // namespace ebonygrade::place
