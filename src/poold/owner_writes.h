// Callers' writes that wait for the reply of the pool's owner. Each gets one
// reply: the owner's, or one when its time is up or the owner seems dead.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "clock/clock.h"
#include "poold/owner.h"

namespace ebonygrade::poold {

// A write that waits this long for an owner that doesn't reply to this daemon
// is given up, so that its caller's time limit of 3 s leaves time for an append
// by this daemon.
inline constexpr milliseconds kOwnerWriteTimeout{900};
// A daemon whose write waits this long asks whether the owner is alive.
inline constexpr milliseconds kOwnerCheckAge{400};

class owner_writes {
 public:
  using handler = write_handler;

  // Returns a handler that passes the first reply on to `reply` and ignores
  // later ones, and that counts as open until then.
  handler add(steady_time now, milliseconds timeout, handler reply);

  // Replies `late` to the writes whose time is up.
  void expire(steady_time now);
  // Replies `unknown` to the writes that have waited for kOwnerWriteTimeout, as
  // the owner doesn't reply to other calls either.
  void give_up(steady_time now);

  // Age of the oldest open write; 0 without any.
  milliseconds oldest(steady_time now) const;

 private:
  struct open_write {
    steady_time sent;
    steady_time deadline;
    handler reply;  // Empty once it has been called.
  };
  void reply_to(const std::function<bool(const open_write&)>& condition,
                owner_reply reply);

  std::vector<std::shared_ptr<open_write>> open_;
};

}  // namespace ebonygrade::poold
