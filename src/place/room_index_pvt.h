// Workers indexed by free capacity. A search looks at a bounded number of
// workers that fit and takes the best by score, so its cost hardly depends on
// the number of workers. Not for outside.
//
// Workers sit in a grid of cells by free processors and free memory, one grid
// for each combination of section, free accelerators and free slots. Levels
// are geometric: two to each doubling.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "job/job.h"
#include "place/indexed_heap_pvt.h"
#include "place/random_pvt.h"

namespace ebonygrade::place {

// From this packing weight on, packing goes before waiting.
inline constexpr double kPackingFirst = 0.5;

// Workers that anyone may use, and those reserved for one job.
enum class section : std::uint8_t { open, held };

// Tasks of one job by zone, rack and worker, for spreading.
struct spread_counts {
  std::vector<std::uint32_t> zones;
  std::vector<std::uint32_t> racks;
};

struct room_query {
  job::resources need;
  double packing_weight = 0.5;
  bool use_held = false;                  // Also look among held workers.
  bool held_only = false;                 // Look among held workers only.
  bool may_probe = false;                 // A worker on probation will do.
  const spread_counts* spread = nullptr;  // Fewest of the job's tasks first.
};

class room_index {
 public:
  // What the search reads of a worker.
  struct row {
    job::resources free;
    float per_millicore = 0;  // 1 / capacity; 0 if there is none.
    float per_megabyte = 0;
    std::uint32_t zone = 0;
    std::uint32_t rack = 0;
    std::uint32_t cell = kNone;  // kNone: not in the index.
    std::uint32_t position = 0;  // In the cell.
    section part = section::open;
    bool on_probation = false;
  };

  room_index();

  // Sets what does not change with every placement.
  void describe(std::uint32_t worker, const job::resources& capacity,
                std::uint32_t zone, std::uint32_t rack);
  // Puts the worker into the index, or moves it after a change.
  void put(std::uint32_t worker, const job::resources& free, section part,
           bool on_probation);
  void take_out(std::uint32_t worker);
  bool contains(std::uint32_t worker) const {
    return worker < rows_.size() && rows_[worker].cell != kNone;
  }
  // The best worker among those looked at; kNone if no worker fits.
  std::uint32_t find(const room_query& query, random_source* random);

 private:
  static constexpr std::uint32_t kLevels = 32;
  static constexpr std::uint32_t kGridCells = kLevels * kLevels;
  static constexpr std::uint32_t kGrids = 8;

  struct cell {
    std::vector<std::uint32_t> workers;
    // Upper bounds of what a worker here has free.
    std::int32_t most_millicores = 0;
    std::int32_t most_memory = 0;
  };
  struct grid {
    std::array<std::uint32_t, kLevels> rows{};  // Bit: occupied cell.
    std::uint32_t occupied_rows = 0;
  };
  struct search {
    const room_query* query;
    std::uint32_t best = kNone;
    float best_score = 0;
    std::uint32_t spread_rank = 0;
    int seen = 0;  // Workers that fit.
    int most = 0;
  };

  static std::uint32_t level(std::int32_t amount);
  std::uint32_t cell_of(const row& r) const;
  void link(std::uint32_t worker, std::uint32_t cell);
  void unlink(std::uint32_t worker);
  void search_grid(std::uint32_t grid, search* s, random_source* random);
  void search_row(std::uint32_t grid, std::uint32_t cpu_level, search* s,
                  random_source* random);
  void search_cell(std::uint32_t cell, search* s, random_source* random);
  void consider(std::uint32_t worker, search* s) const;

  std::vector<row> rows_;
  std::vector<cell> cells_;
  std::array<grid, kGrids> grids_;
};

}  // namespace ebonygrade::place
