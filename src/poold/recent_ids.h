// Job ids that were added within a period, bounded in number. Used for
// submissions that may be in the journal although this daemon can't see them.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "clock/clock.h"

namespace ebonygrade::poold {

class recent_ids {
 public:
  // Ids are forgotten after `period`. With `limit` ids that are younger,
  // further ones are not kept, and may_contain() is true for all.
  recent_ids(clock::milliseconds period, std::size_t limit)
      : period_(period), limit_(limit) {}

  void add(const std::string& id, clock::steady_time now);
  bool may_contain(const std::string& id, clock::steady_time now);

 private:
  void forget_old(clock::steady_time now);

  clock::milliseconds period_;
  std::size_t limit_;
  std::deque<std::pair<clock::steady_time, std::string>> by_time_;
  std::unordered_map<std::string, std::size_t> counts_;
  // An id that isn't kept may be sought until then.
  clock::steady_time incomplete_until_;
};

}  // namespace ebonygrade::poold
