#include <algorithm>
#include <bit>
#include <cmath>

#include "place/room_index_pvt.h"

namespace ebonygrade::place {

namespace {

constexpr int kCandidates = 16;        // Workers that fit and are scored.
constexpr int kSpreadCandidates = 64;  // The same for a job that spreads.
constexpr std::uint32_t kUnit = 64;    // Millicores or MB of the first level.
constexpr std::uint32_t kProbationRank = 1U << 31;  // After all others.
constexpr std::uint32_t kHasSlots = 1;
constexpr std::uint32_t kHasAccelerators = 2;
constexpr std::uint32_t kHeld = 4;

float inverse(std::int32_t amount) {
  return amount > 0 ? 1.0F / static_cast<float>(amount) : 0.0F;
}

// Bits at and above `level`.
std::uint32_t from_level(std::uint32_t level) { return ~0U << level; }

}  // namespace

room_index::room_index() : cells_(kGrids * kGridCells) {}

std::uint32_t room_index::level(std::int32_t amount) {
  if (amount < static_cast<std::int32_t>(kUnit)) return 0;
  std::uint32_t units = static_cast<std::uint32_t>(amount) / kUnit;
  std::uint32_t width = static_cast<std::uint32_t>(std::bit_width(units));
  std::uint32_t half = width > 1 ? (units >> (width - 2)) & 1 : 0;
  return std::min(kLevels - 1, 2 * width - 1 + half);
}

std::uint32_t room_index::cell_of(const row& r) const {
  std::uint32_t grid = r.part == section::held ? kHeld : 0;
  if (r.free.accelerators > 0) grid |= kHasAccelerators;
  if (r.free.slots > 0) grid |= kHasSlots;
  return grid * kGridCells + level(r.free.millicores) * kLevels +
         level(r.free.memory_mb);
}

void room_index::describe(std::uint32_t worker, const job::resources& capacity,
                          std::uint32_t zone, std::uint32_t rack) {
  if (worker >= rows_.size()) rows_.resize(worker + 1);
  row& r = rows_[worker];
  r.per_millicore = inverse(capacity.millicores);
  r.per_megabyte = inverse(capacity.memory_mb);
  r.zone = zone;
  r.rack = rack;
}

void room_index::put(std::uint32_t worker, const job::resources& free,
                     section part, bool on_probation) {
  row& r = rows_[worker];
  r.free = free;
  r.part = part;
  r.on_probation = on_probation;
  std::uint32_t target = cell_of(r);
  if (target != r.cell) {
    unlink(worker);
    link(worker, target);
  }
  cell& c = cells_[target];
  c.most_millicores = std::max(c.most_millicores, free.millicores);
  c.most_memory = std::max(c.most_memory, free.memory_mb);
}

void room_index::take_out(std::uint32_t worker) { unlink(worker); }

void room_index::link(std::uint32_t worker, std::uint32_t target) {
  cell& c = cells_[target];
  rows_[worker].cell = target;
  rows_[worker].position = static_cast<std::uint32_t>(c.workers.size());
  c.workers.push_back(worker);
  if (c.workers.size() > 1) return;
  c.most_millicores = 0;
  c.most_memory = 0;
  grid& g = grids_[target / kGridCells];
  std::uint32_t cpu_level = target % kGridCells / kLevels;
  g.rows[cpu_level] |= 1U << (target % kLevels);
  g.occupied_rows |= 1U << cpu_level;
}

void room_index::unlink(std::uint32_t worker) {
  row& r = rows_[worker];
  if (r.cell == kNone) return;
  cell& c = cells_[r.cell];
  std::uint32_t last = c.workers.back();
  c.workers[r.position] = last;
  rows_[last].position = r.position;
  c.workers.pop_back();
  if (c.workers.empty()) {
    grid& g = grids_[r.cell / kGridCells];
    std::uint32_t cpu_level = r.cell % kGridCells / kLevels;
    g.rows[cpu_level] &= ~(1U << (r.cell % kLevels));
    if (g.rows[cpu_level] == 0) g.occupied_rows &= ~(1U << cpu_level);
  }
  r.cell = kNone;
}

std::uint32_t room_index::find(const room_query& query, random_source* random) {
  search s{.query = &query};
  s.most = query.spread != nullptr ? kSpreadCandidates : kCandidates;
  std::uint32_t first_part = query.held_only ? kHeld : 0;
  std::uint32_t last_part = query.use_held || query.held_only ? kHeld : 0;
  for (std::uint32_t part = first_part; part <= last_part; part += kHeld) {
    // Workers with accelerators come last for tasks that need none.
    for (std::uint32_t kind : {0U, kHasAccelerators}) {
      if (query.need.accelerators > 0 && kind == 0) continue;
      search_grid(part | kind | kHasSlots, &s, random);
      if (query.need.slots == 0) search_grid(part | kind, &s, random);
      if (s.best != kNone) return s.best;
    }
  }
  return kNone;
}

void room_index::search_grid(std::uint32_t which, search* s,
                             random_source* random) {
  const grid& g = grids_[which];
  std::uint32_t rows =
      g.occupied_rows & from_level(level(s->query->need.millicores));
  const bool fullest_first = s->query->packing_weight >= kPackingFirst;
  while (rows != 0 && s->seen < s->most) {
    std::uint32_t cpu_level = static_cast<std::uint32_t>(
        fullest_first ? std::countr_zero(rows) : 31 - std::countl_zero(rows));
    rows &= ~(1U << cpu_level);
    search_row(which, cpu_level, s, random);
  }
}

void room_index::search_row(std::uint32_t which, std::uint32_t cpu_level,
                            search* s, random_source* random) {
  std::uint32_t bits = grids_[which].rows[cpu_level] &
                       from_level(level(s->query->need.memory_mb));
  const bool fullest_first = s->query->packing_weight >= kPackingFirst;
  while (bits != 0 && s->seen < s->most) {
    std::uint32_t memory_level = static_cast<std::uint32_t>(
        fullest_first ? std::countr_zero(bits) : 31 - std::countl_zero(bits));
    bits &= ~(1U << memory_level);
    search_cell(which * kGridCells + cpu_level * kLevels + memory_level, s,
                random);
  }
}

void room_index::search_cell(std::uint32_t which, search* s,
                             random_source* random) {
  cell& c = cells_[which];
  const job::resources& need = s->query->need;
  if (need.millicores > c.most_millicores) return;
  if (need.memory_mb > c.most_memory) return;
  const std::uint32_t count = static_cast<std::uint32_t>(c.workers.size());
  const int seen_before = s->seen;
  job::resources most;
  std::uint32_t at = random->below(count);
  for (std::uint32_t i = 0; i < count && s->seen < s->most; ++i) {
    std::uint32_t worker = c.workers[at];
    at = at + 1 == count ? 0 : at + 1;
    const row& r = rows_[worker];
    most.millicores = std::max(most.millicores, r.free.millicores);
    most.memory_mb = std::max(most.memory_mb, r.free.memory_mb);
    consider(worker, s);
  }
  if (s->seen > seen_before) return;
  // The whole cell was looked at: its bounds are known exactly.
  c.most_millicores = most.millicores;
  c.most_memory = most.memory_mb;
}

void room_index::consider(std::uint32_t worker, search* s) const {
  const row& r = rows_[worker];
  const room_query& query = *s->query;
  if (!job::fits(query.need, r.free)) return;
  if (r.on_probation && !query.may_probe) return;
  ++s->seen;
  float cpu = static_cast<float>(r.free.millicores - query.need.millicores) *
              r.per_millicore;
  float memory = static_cast<float>(r.free.memory_mb - query.need.memory_mb) *
                 r.per_megabyte;
  // What stays free counts for or against; lopsided rests always against.
  float fullness = 1.0F - 2.0F * static_cast<float>(query.packing_weight);
  float score = fullness * (cpu + memory) - std::fabs(cpu - memory);
  std::uint32_t rank = r.on_probation ? kProbationRank : 0;
  if (query.spread != nullptr) {
    const spread_counts& counts = *query.spread;
    if (r.zone < counts.zones.size()) rank += counts.zones[r.zone] << 16;
    if (r.rack < counts.racks.size()) rank += counts.racks[r.rack];
  }
  bool better = s->best == kNone || rank < s->spread_rank ||
                (rank == s->spread_rank && score > s->best_score);
  if (!better) return;
  s->best = worker;
  s->best_score = score;
  s->spread_rank = rank;
}

}  // namespace ebonygrade::place
