#include "poold/owner_writes.h"

#include <algorithm>
#include <utility>

namespace ebonygrade::poold {

owner_writes::handler owner_writes::add(steady_time now, milliseconds timeout,
                                        handler reply) {
  std::shared_ptr<open_write> made = std::make_shared<open_write>(
      open_write{now, now + timeout, std::move(reply)});
  open_.push_back(made);
  return [this, made](write_reply result) {
    handler then = std::exchange(made->reply, nullptr);
    if (!then) return;
    std::erase(open_, made);
    then(result);
  };
}

void owner_writes::expire(steady_time now) {
  reply_to([now](const open_write& each) { return each.deadline <= now; },
           owner_reply::late);
}

void owner_writes::give_up(steady_time now) {
  reply_to(
      [now](const open_write& each) {
        return now - each.sent >= kOwnerWriteTimeout;
      },
      owner_reply::unknown);
}

void owner_writes::reply_to(
    const std::function<bool(const open_write&)>& condition,
    owner_reply reply) {
  std::vector<std::shared_ptr<open_write>> ended;
  std::erase_if(open_, [&](const std::shared_ptr<open_write>& each) {
    if (!condition(*each)) return false;
    ended.push_back(each);
    return true;
  });
  for (const std::shared_ptr<open_write>& each : ended) {
    std::exchange(each->reply, nullptr)(reply);
  }
}

milliseconds owner_writes::oldest(steady_time now) const {
  // Writes are added in order.
  if (open_.empty()) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(now - open_.front()->sent);
}

}  // namespace ebonygrade::poold
