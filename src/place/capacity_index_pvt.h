// Private header: index of the workers by free capacity. A search scores a
// bounded number of workers that fit and returns the best, so its cost hardly
// depends on the number of workers.
//
// Workers are kept in grids of buckets by levels of free millicores (rows) and
// free memory (columns). There is one grid for each combination of section,
// with or without free accelerators, and with or without free slots. Levels are
// geometric, two for each doubling of the amount.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "job/job.h"
#include "place/indexed_heap_pvt.h"
#include "place/random_pvt.h"

namespace ebonygrade::place {

// From this packing weight on, the fullest workers and the largest tasks go
// first.
inline constexpr double kPackingThreshold = 0.5;

// Separates the workers that are reserved for one job from all others.
enum class section : std::uint8_t { unreserved, reserved };

// Number of running tasks of one job by zone and by rack, for spreading.
struct spread_counts {
  std::vector<std::uint32_t> zones;
  std::vector<std::uint32_t> racks;
};

struct worker_query {
  job::resources need;
  double packing_weight = 0.5;
  bool use_reserved = false;              // Search reserved workers too.
  bool reserved_only = false;             // Search reserved workers only.
  bool may_probe = false;                 // Accept workers on probation.
  const spread_counts* spread = nullptr;  // Prefer few tasks of the job.
};

class capacity_index {
 public:
  // The properties of a worker that the search reads.
  struct worker_entry {
    job::resources free;
    float inverse_millicores = 0;  // 1 / capacity; 0 if that is 0.
    float inverse_memory_mb = 0;
    std::uint32_t zone = 0;
    std::uint32_t rack = 0;
    std::uint32_t bucket = kNone;  // kNone: not in the index.
    std::uint32_t position = 0;    // In the bucket.
    section part = section::unreserved;
    bool on_probation = false;
  };

  capacity_index();

  // Sets the properties that a placement doesn't change.
  void set_worker(std::uint32_t worker, const job::resources& capacity,
                  std::uint32_t zone, std::uint32_t rack);
  // Adds the worker to the index, or moves it after a change.
  void update(std::uint32_t worker, const job::resources& free, section part,
              bool on_probation);
  void remove(std::uint32_t worker);
  bool contains(std::uint32_t worker) const {
    return worker < entries_.size() && entries_[worker].bucket != kNone;
  }
  // The best of the workers that were scored; kNone if no worker fits.
  std::uint32_t find(const worker_query& query, random_source* random);

 private:
  static constexpr std::uint32_t kLevels = 32;
  static constexpr std::uint32_t kBucketsPerGrid = kLevels * kLevels;
  static constexpr std::uint32_t kGrids = 8;

  struct bucket {
    std::vector<std::uint32_t> workers;
    // Upper bounds of the free amounts of any worker in the bucket.
    std::int32_t max_millicores = 0;
    std::int32_t max_memory_mb = 0;
  };
  struct grid {
    // By row, a bit for each bucket that isn't empty.
    std::array<std::uint32_t, kLevels> rows{};
    std::uint32_t occupied_rows = 0;  // A bit for each row that isn't empty.
  };
  struct search {
    const worker_query* query;
    std::uint32_t best = kNone;
    float best_score = 0;
    std::uint32_t spread_rank = 0;
    int candidates = 0;  // Workers that fit and were scored.
    int max_candidates = 0;
  };

  static std::uint32_t level(std::int32_t amount);
  std::uint32_t bucket_of(const worker_entry& w) const;
  void link(std::uint32_t worker, std::uint32_t bucket);
  void unlink(std::uint32_t worker);
  void search_grid(std::uint32_t grid, search* s, random_source* random);
  void search_row(std::uint32_t grid, std::uint32_t cpu_level, search* s,
                  random_source* random);
  void search_bucket(std::uint32_t bucket, search* s, random_source* random);
  void consider(std::uint32_t worker, search* s) const;

  std::vector<worker_entry> entries_;
  std::vector<bucket> buckets_;
  std::array<grid, kGrids> grids_;
};

}  // namespace ebonygrade::place
