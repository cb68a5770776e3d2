#include <algorithm>
#include <utility>

#include "worker/call_pvt.h"
#include "worker/follower_pvt.h"

namespace ebonygrade::worker {

namespace {

// Pending commands for one worker, of each kind. Starts beyond this limit are
// rejected. Stops beyond it are dropped, and the caller repeats them.
constexpr std::size_t kMaxPendingCommands = 4096;

bool matches(const wire::attempt_key& wire_key, const job::attempt_key& key) {
  return wire_key.attempt() == key.attempt &&
         wire_key.task_index() == key.task_index &&
         wire_key.request_id() == key.request_id;
}

}  // namespace

// ---- Starts ---------------------------------------------------------------

void follower::add_start(start&& command) {
  job::attempt_key key = job::from_wire(command.task.key());
  bool stale = phase_ == phase::superseded || command.epoch < epoch_;
  if (stale) return report_start(key, wire::fenced);
  if (pending_starts_.size() >= kMaxPendingCommands) {
    return report_start(key, wire::rejected);
  }
  pending_starts_.push_back(std::move(command));
  send_starts();
}

void follower::send_starts() {
  bool ready = phase_ == phase::following && sent_starts_.empty() &&
               !pending_starts_.empty() && !blocked();
  if (!ready) return;
  if (!may_grant_leases()) return reject_pending(wire::rejected);
  wire::start_request request = next_start_batch();
  last_start_ = context_.clock.now();
  may_have_running_tasks_ = true;
  call_worker<wire::start_reply>(
      *calls_, "start tasks",
      http::json_request(http::verb::post, "/v1/start",
                         http::to_compact_json(request)),
      context_.options.call_timeout, address_,
      [this](wire::start_reply&& reply) {
        record_reply();
        on_start_reply(reply);
        send_starts();
      },
      [this](const http::call_failure& failure) {
        on_start_failure(failure);
        send_starts();
      });
}

// Takes the next starts of one epoch and adds their keys to sent_starts_.
wire::start_request follower::next_start_batch() {
  wire::start_request request;
  request.set_epoch(pending_starts_.front().epoch);
  while (!pending_starts_.empty() &&
         pending_starts_.front().epoch == request.epoch() &&
         sent_starts_.size() < context_.options.max_batch) {
    wire::task_start* task = request.add_tasks();
    *task = std::move(pending_starts_.front().task);
    pending_starts_.pop_front();
    if (task->lease_ms() == 0) {
      task->set_lease_ms(
          static_cast<std::uint32_t>(context_.options.task_lease.count()));
    }
    sent_starts_.push_back(job::from_wire(task->key()));
  }
  return request;
}

void follower::on_start_reply(const wire::start_reply& reply) {
  std::vector<job::attempt_key> sent = std::exchange(sent_starts_, {});
  job::epoch higher_epoch = 0;
  for (const wire::start_result& result : reply.results()) {
    job::attempt_key key = job::from_wire(result.key());
    // Ignores results of other attempts and repeated results.
    if (std::erase(sent, key) == 0) continue;
    report_start(key, result.status());
    if (result.status() == wire::fenced) higher_epoch = reply.epoch();
  }
  error::failure missing{error::code::bad_reply, "start tasks", address_,
                         "the reply has no result for the attempt"};
  for (const job::attempt_key& key : sent) report_unanswered(key, missing);
  if (higher_epoch > epoch_) return on_superseded(higher_epoch);
  schedule_renewal(context_.options.task_lease / kRenewalsPerLease);
}

void follower::on_start_failure(const http::call_failure& failure) {
  record_failure(failure);
  std::vector<job::attempt_key> sent = std::exchange(sent_starts_, {});
  for (const job::attempt_key& key : sent) {
    if (failure.maybe_sent) {
      report_unanswered(key, failure.cause);
    } else {
      report_start(key, wire::rejected);
    }
  }
  if (failure.maybe_sent) {
    schedule_renewal(context_.options.task_lease / kRenewalsPerLease);
  } else {
    reject_pending(wire::rejected);
  }
  // The connection of the poll may have failed for the same reason.
  if (phase_ == phase::following) {
    make_poll_client();
    poll_immediately_ = true;
    poll();
  }
}

void follower::reject_pending(wire::start_status status) {
  std::deque<start> pending = std::exchange(pending_starts_, {});
  for (const start& command : pending) {
    report_start(job::from_wire(command.task.key()), status);
  }
}

void follower::report_start(const job::attempt_key& key,
                            wire::start_status status) {
  context_.reports.send(start_answered{worker_, key, status});
}

void follower::report_unanswered(const job::attempt_key& key,
                                 const error::failure& cause) {
  context_.reports.send(start_unanswered{worker_, key, cause});
}

// ---- Stops ----------------------------------------------------------------

bool follower::revoke_pending(const job::attempt_key& key) {
  auto found = std::find_if(pending_starts_.begin(), pending_starts_.end(),
                            [&key](const start& command) {
                              return matches(command.task.key(), key);
                            });
  if (found == pending_starts_.end()) return false;
  pending_starts_.erase(found);
  report_start(key, wire::revoked);
  context_.reports.send(stop_answered{worker_, key, wire::never_started});
  return true;
}

void follower::add_stop(stop&& command) {
  if (phase_ == phase::superseded || command.epoch < epoch_) {
    context_.reports.send(
        stop_answered{worker_, command.key, wire::stop_fenced});
    return;
  }
  if (command.mode != wire::throttle && revoke_pending(command.key)) return;
  if (pending_stops_.size() >= kMaxPendingCommands) return;
  pending_stops_.push_back(std::move(command));
  send_stops();
}

void follower::send_stops() {
  bool ready = phase_ == phase::following && !stops_in_flight_ &&
               !pending_stops_.empty() && !blocked();
  if (!ready) return;
  stops_in_flight_ = true;
  wire::stop_request request = next_stop_batch();
  call_worker<wire::stop_reply>(
      *stops_, "stop tasks",
      http::json_request(http::verb::post, "/v1/stop",
                         http::to_compact_json(request)),
      context_.options.call_timeout, address_,
      [this](wire::stop_reply&& reply) {
        stops_in_flight_ = false;
        record_reply();
        on_stop_reply(reply);
        send_stops();
      },
      [this](const http::call_failure& failure) {
        stops_in_flight_ = false;
        record_failure(failure);
        send_stops();
      });
}

// Takes the next stops of one epoch and mode.
wire::stop_request follower::next_stop_batch() {
  wire::stop_request request;
  request.set_epoch(pending_stops_.front().epoch);
  request.set_mode(pending_stops_.front().mode);
  while (!pending_stops_.empty() &&
         pending_stops_.front().epoch == request.epoch() &&
         pending_stops_.front().mode == request.mode() &&
         request.keys_size() < static_cast<int>(context_.options.max_batch)) {
    *request.add_keys() = job::to_wire(pending_stops_.front().key);
    pending_stops_.pop_front();
  }
  return request;
}

void follower::on_stop_reply(const wire::stop_reply& reply) {
  for (const wire::stop_result& result : reply.results()) {
    context_.reports.send(
        stop_answered{worker_, job::from_wire(result.key()), result.status()});
  }
  if (reply.epoch() > epoch_ && phase_ == phase::following) {
    on_superseded(reply.epoch());
  }
}

}  // namespace ebonygrade::worker
