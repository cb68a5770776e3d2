#include "poold/recent_ids.h"

namespace ebonygrade::poold {

void recent_ids::add(const std::string& id, clock::steady_time now) {
  forget_old(now);
  if (by_time_.size() >= limit_) {
    incomplete_until_ = now + period_;
    return;
  }
  by_time_.emplace_back(now, id);
  ++counts_[id];
}

bool recent_ids::may_contain(const std::string& id, clock::steady_time now) {
  forget_old(now);
  return now < incomplete_until_ || counts_.count(id) > 0;
}

void recent_ids::forget_old(clock::steady_time now) {
  while (!by_time_.empty() && now - by_time_.front().first > period_) {
    std::unordered_map<std::string, std::size_t>::iterator found =
        counts_.find(by_time_.front().second);
    if (--found->second == 0) counts_.erase(found);
    by_time_.pop_front();
  }
}

}  // namespace ebonygrade::poold
