#include <algorithm>
#include <bit>
#include <cmath>

#include "place/capacity_index_pvt.h"

namespace ebonygrade::place {

namespace {

constexpr int kMaxCandidates = 16;        // Workers scored in a search.
constexpr int kMaxSpreadCandidates = 64;  // For jobs that spread.
constexpr std::uint32_t kLevelUnit = 64;  // Millicores or MB; less is level 0.
// Added to the rank of workers on probation, so that all others go first.
constexpr std::uint32_t kProbationPenalty = 1U << 31;
constexpr std::uint32_t kHasSlots = 1;
constexpr std::uint32_t kHasAccelerators = 2;
constexpr std::uint32_t kReserved = 4;

float inverse(std::int32_t amount) {
  return amount > 0 ? 1.0F / static_cast<float>(amount) : 0.0F;
}

// A mask of the bits at and above `level`.
std::uint32_t from_level(std::uint32_t level) { return ~0U << level; }

}  // namespace

capacity_index::capacity_index() : buckets_(kGrids * kBucketsPerGrid) {}

std::uint32_t capacity_index::level(std::int32_t amount) {
  if (amount < static_cast<std::int32_t>(kLevelUnit)) return 0;
  std::uint32_t units = static_cast<std::uint32_t>(amount) / kLevelUnit;
  std::uint32_t width = static_cast<std::uint32_t>(std::bit_width(units));
  std::uint32_t half = width > 1 ? (units >> (width - 2)) & 1 : 0;
  return std::min(kLevels - 1, 2 * width - 1 + half);
}

std::uint32_t capacity_index::bucket_of(const worker_entry& w) const {
  std::uint32_t grid = w.part == section::reserved ? kReserved : 0;
  if (w.free.accelerators > 0) grid |= kHasAccelerators;
  if (w.free.slots > 0) grid |= kHasSlots;
  return grid * kBucketsPerGrid + level(w.free.millicores) * kLevels +
         level(w.free.memory_mb);
}

void capacity_index::set_worker(std::uint32_t worker,
                                const job::resources& capacity,
                                std::uint32_t zone, std::uint32_t rack) {
  if (worker >= entries_.size()) entries_.resize(worker + 1);
  worker_entry& w = entries_[worker];
  w.inverse_millicores = inverse(capacity.millicores);
  w.inverse_memory_mb = inverse(capacity.memory_mb);
  w.zone = zone;
  w.rack = rack;
}

void capacity_index::update(std::uint32_t worker, const job::resources& free,
                            section part, bool on_probation) {
  worker_entry& w = entries_[worker];
  w.free = free;
  w.part = part;
  w.on_probation = on_probation;
  std::uint32_t target = bucket_of(w);
  if (target != w.bucket) {
    unlink(worker);
    link(worker, target);
  }
  bucket& b = buckets_[target];
  b.max_millicores = std::max(b.max_millicores, free.millicores);
  b.max_memory_mb = std::max(b.max_memory_mb, free.memory_mb);
}

void capacity_index::remove(std::uint32_t worker) { unlink(worker); }

void capacity_index::link(std::uint32_t worker, std::uint32_t target) {
  bucket& b = buckets_[target];
  entries_[worker].bucket = target;
  entries_[worker].position = static_cast<std::uint32_t>(b.workers.size());
  b.workers.push_back(worker);
  if (b.workers.size() > 1) return;
  b.max_millicores = 0;
  b.max_memory_mb = 0;
  grid& g = grids_[target / kBucketsPerGrid];
  std::uint32_t cpu_level = target % kBucketsPerGrid / kLevels;
  g.rows[cpu_level] |= 1U << (target % kLevels);
  g.occupied_rows |= 1U << cpu_level;
}

void capacity_index::unlink(std::uint32_t worker) {
  worker_entry& w = entries_[worker];
  if (w.bucket == kNone) return;
  bucket& b = buckets_[w.bucket];
  std::uint32_t last = b.workers.back();
  b.workers[w.position] = last;
  entries_[last].position = w.position;
  b.workers.pop_back();
  if (b.workers.empty()) {
    grid& g = grids_[w.bucket / kBucketsPerGrid];
    std::uint32_t cpu_level = w.bucket % kBucketsPerGrid / kLevels;
    g.rows[cpu_level] &= ~(1U << (w.bucket % kLevels));
    if (g.rows[cpu_level] == 0) g.occupied_rows &= ~(1U << cpu_level);
  }
  w.bucket = kNone;
}

std::uint32_t capacity_index::find(const worker_query& query,
                                   random_source* random) {
  search s{.query = &query};
  s.max_candidates =
      query.spread != nullptr ? kMaxSpreadCandidates : kMaxCandidates;
  std::uint32_t first_part = query.reserved_only ? kReserved : 0;
  std::uint32_t last_part =
      query.use_reserved || query.reserved_only ? kReserved : 0;
  for (std::uint32_t part = first_part; part <= last_part; part += kReserved) {
    // A task without accelerators uses a worker with free ones only if no other
    // worker fits.
    for (std::uint32_t kind : {0U, kHasAccelerators}) {
      if (query.need.accelerators > 0 && kind == 0) continue;
      search_grid(part | kind | kHasSlots, &s, random);
      if (query.need.slots == 0) search_grid(part | kind, &s, random);
      if (s.best != kNone) return s.best;
    }
  }
  return kNone;
}

void capacity_index::search_grid(std::uint32_t which, search* s,
                                 random_source* random) {
  const grid& g = grids_[which];
  std::uint32_t rows =
      g.occupied_rows & from_level(level(s->query->need.millicores));
  const bool fullest_first = s->query->packing_weight >= kPackingThreshold;
  while (rows != 0 && s->candidates < s->max_candidates) {
    std::uint32_t cpu_level = static_cast<std::uint32_t>(
        fullest_first ? std::countr_zero(rows) : 31 - std::countl_zero(rows));
    rows &= ~(1U << cpu_level);
    search_row(which, cpu_level, s, random);
  }
}

void capacity_index::search_row(std::uint32_t which, std::uint32_t cpu_level,
                                search* s, random_source* random) {
  std::uint32_t bits = grids_[which].rows[cpu_level] &
                       from_level(level(s->query->need.memory_mb));
  const bool fullest_first = s->query->packing_weight >= kPackingThreshold;
  while (bits != 0 && s->candidates < s->max_candidates) {
    std::uint32_t memory_level = static_cast<std::uint32_t>(
        fullest_first ? std::countr_zero(bits) : 31 - std::countl_zero(bits));
    bits &= ~(1U << memory_level);
    search_bucket(which * kBucketsPerGrid + cpu_level * kLevels + memory_level,
                  s, random);
  }
}

void capacity_index::search_bucket(std::uint32_t which, search* s,
                                   random_source* random) {
  bucket& b = buckets_[which];
  const job::resources& need = s->query->need;
  if (need.millicores > b.max_millicores) return;
  if (need.memory_mb > b.max_memory_mb) return;
  const std::uint32_t count = static_cast<std::uint32_t>(b.workers.size());
  const int candidates_before = s->candidates;
  job::resources largest;
  std::uint32_t at = random->below(count);
  for (std::uint32_t i = 0; i < count && s->candidates < s->max_candidates;
       ++i) {
    std::uint32_t worker = b.workers[at];
    at = at + 1 == count ? 0 : at + 1;
    const worker_entry& w = entries_[worker];
    largest.millicores = std::max(largest.millicores, w.free.millicores);
    largest.memory_mb = std::max(largest.memory_mb, w.free.memory_mb);
    consider(worker, s);
  }
  if (s->candidates > candidates_before) return;
  // No worker fits, so the whole bucket was examined and its bounds are exact.
  b.max_millicores = largest.millicores;
  b.max_memory_mb = largest.memory_mb;
}

void capacity_index::consider(std::uint32_t worker, search* s) const {
  const worker_entry& w = entries_[worker];
  const worker_query& query = *s->query;
  if (!job::fits(query.need, w.free)) return;
  if (w.on_probation && !query.may_probe) return;
  ++s->candidates;
  float cpu = static_cast<float>(w.free.millicores - query.need.millicores) *
              w.inverse_millicores;
  float memory = static_cast<float>(w.free.memory_mb - query.need.memory_mb) *
                 w.inverse_memory_mb;
  // The packing weight decides whether the capacity that stays free raises or
  // lowers the score. An imbalance of free CPU and memory always lowers it.
  float fullness = 1.0F - 2.0F * static_cast<float>(query.packing_weight);
  float score = fullness * (cpu + memory) - std::fabs(cpu - memory);
  std::uint32_t rank = w.on_probation ? kProbationPenalty : 0;
  if (query.spread != nullptr) {
    const spread_counts& counts = *query.spread;
    if (w.zone < counts.zones.size()) rank += counts.zones[w.zone] << 16;
    if (w.rack < counts.racks.size()) rank += counts.racks[w.rack];
  }
  bool better = s->best == kNone || rank < s->spread_rank ||
                (rank == s->spread_rank && score > s->best_score);
  if (!better) return;
  s->best = worker;
  s->best_score = score;
  s->spread_rank = rank;
}

}  // namespace ebonygrade::place
