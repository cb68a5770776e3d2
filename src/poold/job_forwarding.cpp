// Calls about jobs that a daemon without a copy of the journal passes to the
// pool's owner.
#include <algorithm>
#include <utility>

#include "events/events.h"
#include "poold/job_api.h"
#include "poold/job_replies.h"

namespace ebonygrade::poold {

namespace {

// Limits how long a call about a job waits while no owner serves it. Covers a
// takeover by a standby.
constexpr milliseconds kForwardPeriod{1500};
constexpr milliseconds kForwardTimeout{600};
// The same for a cancellation, which the owner writes to a store that may be
// slow.
constexpr milliseconds kCancelPeriod{2500};
constexpr milliseconds kCancelTimeout{1500};
constexpr milliseconds kForwardRetryInterval{100};
// Further calls are refused at once.
constexpr std::size_t kMaxUnservedQueries = 256;

}  // namespace

void job_api::answer_query(const wire::job_query& query,
                           http::responder respond) {
  job_request request;
  request.method = query.cancels() ? http::verb::delete_ : http::verb::get;
  request.queue = query.queue();
  request.id = query.job();
  request.deadline = clock_.now() + milliseconds(query.time_left_ms());
  request.caller = {query.tenant(), query.checks_tenant()};
  if (query.cancels()) return cancel(request, std::move(respond));
  read_state(request, std::move(respond));
}

void job_api::forward(const job_request& request, http::responder respond) {
  steady_time now = clock_.now();
  wire::job_query query;
  query.set_job(request.id);
  query.set_queue(request.queue);
  query.set_cancels(request.method == http::verb::delete_);
  query.set_tenant(request.caller.tenant);
  query.set_checks_tenant(request.caller.checks_tenant);
  milliseconds period = query.cancels() ? kCancelPeriod : kForwardPeriod;
  send_query(std::make_shared<forwarded_query>(forwarded_query{
      std::move(query), now, std::min(request.deadline, now + period),
      std::move(respond)}));
}

void job_api::send_query(std::shared_ptr<forwarded_query> call) {
  milliseconds left =
      std::chrono::duration_cast<milliseconds>(call->deadline - clock_.now());
  milliseconds timeout =
      std::min(left, call->query.cancels() ? kCancelTimeout : kForwardTimeout);
  call->query.set_time_left_ms(static_cast<std::uint32_t>(timeout.count()));
  owner_.forward(call->query, timeout,
                 [self = shared_from_this(), call](forward_result result) {
                   if (self->stopped_) return;
                   self->on_query_result(call, std::move(result));
                 });
}

void job_api::on_query_result(std::shared_ptr<forwarded_query> call,
                              forward_result result) {
  // A refusal says nothing of what an earlier owner, or attempt, has stored.
  bool refused = result.reply &&
                 result.reply->result() == http::status::service_unavailable;
  if (refused && call->query.cancels() && call->maybe_served) {
    return refuse_query(*call);
  }
  if (result.reply) {
    if (call->query.cancels() && result.reply->result() == http::status::ok) {
      events::emit(events::id::job_cancelled, "forward", "", "job={} queue={}",
                   call->query.job(), call->query.queue());
    }
    return call->respond(std::move(*result.reply));
  }
  call->maybe_served |= result.maybe_served;
  bool full = unserved_queries_.size() >= kMaxUnservedQueries;
  if (full || clock_.now() + kForwardRetryInterval >= call->deadline) {
    return refuse_query(*call);
  }
  call->retry_at = clock_.now() + kForwardRetryInterval;
  unserved_queries_.push_back(std::move(call));
  arm_timer();
}

void job_api::retry_queries(steady_time now) {
  std::vector<std::shared_ptr<forwarded_query>> calls =
      std::exchange(unserved_queries_, {});
  for (std::shared_ptr<forwarded_query>& each : calls) {
    if (each->retry_at > now) {
      unserved_queries_.push_back(std::move(each));
    } else if (each->deadline <= now) {
      refuse_query(*each);
    } else {
      send_query(std::move(each));
    }
  }
}

void job_api::refuse_query(const forwarded_query& call) {
  // A cancellation that an owner has received may be in the journal.
  bool unknown = call.query.cancels() && call.maybe_served;
  events::emit(
      events::id::job_refused, "forward", "",
      "job={} queue={} status={} cancels={} waited_ms={} "
      "reason=\"no owner serves the call\"",
      call.query.job(), call.query.queue(), unknown ? 504 : 503,
      call.query.cancels(),
      std::chrono::duration_cast<milliseconds>(clock_.now() - call.received)
          .count());
  if (unknown) {
    return call.respond(http::error_response(http::status::gateway_timeout,
                                             "the owner has not answered"));
  }
  call.respond(retry_later("the pool has no owner"));
}

}  // namespace ebonygrade::poold
