// The way of a caller's record: through the owner, or in an append of this
// daemon.
#include <algorithm>
#include <utility>

#include "poold/append_pacing.h"
#include "poold/job_api.h"

namespace ebonygrade::poold {

void job_api::write(std::shared_ptr<pending_write> pending) {
  milliseconds left = std::chrono::duration_cast<milliseconds>(
      pending->deadline - clock_.now());
  owner_.write(
      pending->record, left,
      [self = shared_from_this(), pending](write_reply reply) {
        if (self->stopped_) return;
        if (reply == owner_reply::rejected) {
          return self->reject(*pending, reply.retry_after);
        }
        if (reply == owner_reply::written) {
          return self->confirm(*pending);
        }
        if (reply == owner_reply::other_tenant) {
          return self->refuse_other_tenant(*pending);
        }
        if (reply == owner_reply::unknown || reply == owner_reply::late) {
          self->maybe_stored_.add(pending->record.key, self->clock_.now());
        }
        // Appends of every daemon in addition to the owner's would
        // only slow the store further.
        if (reply == owner_reply::unavailable) {
          pending->retry_after = self->owner_.retry_after();
          return self->refuse(*pending, "the store takes no records");
        }
        // The owner has the record in hand and may still write it.
        if (reply == owner_reply::late) {
          pending->maybe_written = true;
          return self->refuse(*pending, "the owner has not answered");
        }
        bool unknown = reply == owner_reply::unknown;
        pending->maybe_written |= unknown;
        self->write_elsewhere(pending, unknown);
      });
}

bool job_api::may_be_stored(const jobs::record& record) {
  return maybe_stored_.may_contain(record.key, clock_.now());
}

void job_api::reject(pending_write& pending, std::chrono::seconds retry_after) {
  if (pending.maybe_written) return refuse(pending, "the pool has no room");
  if (std::exchange(pending.answered, true)) return;
  record_latency(pending);
  pending.respond(refusal_response(retry_after));
}

void job_api::write_elsewhere(std::shared_ptr<pending_write> pending,
                              bool owner_ended) {
  if (pending->deadline <= clock_.now()) {
    return refuse(*pending, "the owner has not answered");
  }
  // There may be another owner already. It has read what the former one wrote.
  if (owner_ended && !std::exchange(pending->repeated, true)) {
    return write(std::move(pending));
  }
  write_directly(std::move(pending));
}

void job_api::write_directly(std::shared_ptr<pending_write> pending) {
  maybe_stored_.add(pending->record.key, clock_.now());
  // The next append would wait for the current one for too long.
  if (!is_acceptable(milliseconds(0))) {
    pending->retry_after = retry_after(appender_->predicted());
    return refuse(*pending, "the store is silent");
  }
  queued_.push_back(std::move(pending));
  arm_timer();
  flush();
}

bool job_api::is_acceptable(milliseconds waited) const {
  return appender_->state() != store_state::silent &&
         is_in_time(waited, appender_->predicted());
}

void job_api::refuse_late_writes(steady_time now) {
  write_list queued = std::exchange(queued_, {});
  for (std::shared_ptr<pending_write>& each : queued) {
    milliseconds waited =
        std::chrono::duration_cast<milliseconds>(now - each->received);
    if (is_acceptable(std::max(waited, milliseconds(1)))) {
      queued_.push_back(std::move(each));
    } else {
      each->retry_after = retry_after(appender_->predicted());
      refuse(*each, "the store is silent");
    }
  }
}

}  // namespace ebonygrade::poold
