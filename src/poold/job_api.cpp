#include "poold/job_api.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include "events/events.h"
#include "platform/callers.h"
#include "poold/job_replies.h"

namespace ebonygrade::poold {

namespace {

// Time limit of a call without a deadline header.
constexpr milliseconds kDefaultTimeLimit{3000};
// Time reserved for the reply to reach the caller before its deadline.
constexpr milliseconds kReplyMargin{150};
// Rejected appends are retried for this long before callers get a 503 with
// Retry-After: enough to bridge a store restart, and short relative to every
// latency target.
constexpr milliseconds kRetryPeriod{90};
// A caller whose record may or may not be written gets a 504 after this time if
// the store is silent, so that it can try another daemon, which may reach the
// store.
constexpr milliseconds kUnknownOutcomeTimeout{1000};
// Limit for the journal read that precedes a reply about an unknown job.
constexpr milliseconds kCurrentReadTimeout{1000};
// Longer than callers repeat a submission whose outcome they don't know.
constexpr milliseconds kMaybeStoredPeriod{60000};
constexpr std::size_t kMaxMaybeStored = 16384;
constexpr milliseconds kDeadlineCheckInterval{50};
constexpr char kDeadlineHeader[] = "X-Deadline-Ms";

milliseconds reply_time_limit(const http::request& request) {
  boost::beast::string_view text = request[kDeadlineHeader];
  std::int64_t value = 0;
  std::from_chars_result done =
      std::from_chars(text.data(), text.data() + text.size(), value);
  bool valid = !text.empty() && done.ec == std::errc() && value > 0;
  milliseconds limit = valid ? milliseconds(value) : kDefaultTimeLimit;
  return std::max(limit - kReplyMargin, kReplyMargin);
}

std::int64_t unix_ms(const clock::clock& clock) {
  return std::chrono::duration_cast<milliseconds>(
             clock.wall_now().time_since_epoch())
      .count();
}

std::string age_text(const std::optional<queue_length>& length) {
  return length ? std::to_string(length->age.count()) : "none";
}

std::string_view path_of(const http::request& request) {
  std::string_view target(request.target().data(), request.target().size());
  return target.substr(0, target.find('?'));
}

}  // namespace

job_api::job_api(boost::asio::io_context& context, store_client& store,
                 const clock::clock& clock, const std::string& daemon,
                 const jobs::table& table, owner_calls owner,
                 measurements& measurements)
    : clock_(clock),
      daemon_(daemon),
      table_(table),
      owner_(std::move(owner)),
      measurements_(measurements),
      access_(clock, measurements),
      maybe_stored_(kMaybeStoredPeriod, kMaxMaybeStored),
      deadline_timer_(context) {
  // Keeps the sequence numbers apart from those of earlier processes of this
  // daemon. The time of day may repeat.
  std::string producer = daemon + "." + std::to_string(unix_ms(clock)) + "." +
                         std::to_string(std::random_device{}());
  appender_ = std::make_shared<appender>(context, store,
                                         std::string(platform::kJournalTopic),
                                         platform::producer{producer, 1, 0});
}

void job_api::set_manifest(std::shared_ptr<const pool::manifest> manifest) {
  manifest_ = std::move(manifest);
  access_.set_manifest(manifest_);
}

void job_api::set_journal(std::shared_ptr<topic_follower> journal) {
  journal_ = std::move(journal);
}

void job_api::stop() {
  stopped_ = true;
  deadline_timer_.cancel();
  appender_->stop();
}

void job_api::handle(http::request&& request, http::responder respond) {
  if (!manifest_) return respond(retry_later("no manifest yet"));
  std::optional<http::response> refused = access_.check_manifest();
  if (refused) return respond(std::move(*refused));
  std::string_view host(request[boost::beast::http::field::host].data(),
                        request[boost::beast::http::field::host].size());
  std::string_view path = path_of(request);
  const pool::queue_route* route = pool::find_route(*manifest_, host, path);
  if (route == nullptr) {
    return respond(
        http::error_response(http::status::not_found, "no such queue"));
  }
  job_request call;
  refused = access_.check_key(request, *route, &call.caller);
  if (refused) return respond(std::move(*refused));
  call.method = request.method();
  call.queue = route->name;
  call.id = path.substr(route->path_prefix.size());
  call.deadline = clock_.now() + reply_time_limit(request);
  if (call.id.empty() && call.method == http::verb::get) {
    return read_queue(call.queue, respond);
  }
  if (!platform::is_job_id(call.id)) {
    return respond(
        http::error_response(http::status::bad_request, "not a job id", "id"));
  }
  switch (call.method) {
    case http::verb::post:
      return submit(call, *route, request.body(), std::move(respond));
    case http::verb::get:
      return read_state(call, std::move(respond));
    case http::verb::delete_:
      return cancel(call, std::move(respond));
    default:
      return respond(http::error_response(http::status::method_not_allowed,
                                          "expected POST, GET or DELETE"));
  }
}

void job_api::read_queue(const std::string& queue,
                         const http::responder& respond) {
  std::optional<queue_length> from_copy;
  if (has_journal()) {
    from_copy = {jobs::not_started(table_, queue),
                 std::chrono::duration_cast<milliseconds>(
                     clock_.now() - journal_->current_as_of()),
                 length_source::copy};
  }
  std::optional<queue_length> from_report = owner_.not_started(queue);
  std::optional<queue_length> told =
      choose_queue_length(from_copy, from_report);
  if (!told) {
    events::emit(events::id::job_refused, "read queue", "",
                 "queue={} status=503 copy_age_ms={} report_age_ms={} "
                 "reason=\"no recent queue length\"",
                 queue, age_text(from_copy), age_text(from_report));
    return respond(retry_later("no recent queue length"));
  }
  events::emit(events::id::queue_length_told, "read queue", "",
               "queue={} not_started={} source={} age_ms={}", queue,
               told->not_started,
               told->source == length_source::copy ? "copy" : "owner",
               told->age.count());
  respond(http::json_response(http::status::ok,
                              platform::encode_not_started(told->not_started)));
}

void job_api::submit(const job_request& request, const pool::queue_route& route,
                     const std::string& body, http::responder respond) {
  const call_subject subject{"submit", request.id, request.queue};
  std::optional<http::response> refused;
  if (const jobs::entry* known = jobs::find(table_, request.id)) {
    refused =
        access_.check_tenant(subject, request.caller, jobs::tenant_of(*known));
    if (refused) return respond(std::move(*refused));
    return respond(http::json_response(http::status::ok, "{}"));
  }
  error::result<wire::job_submission> job = platform::decode_submission(body);
  if (job.has_error()) {
    events::emit(events::id::bad_request, "submit", "", "job={} queue={} {}",
                 request.id, request.queue, job.error().detail);
    return respond(
        http::error_response(http::status::bad_request, job.error().detail));
  }
  refused = access_.check_quota(subject, request.caller, *job);
  if (refused) return respond(std::move(*refused));
  job->set_queue(request.queue);
  job->set_tenant(request.caller.tenant);
  job->set_service(route.policy.service);
  *job->mutable_terms() = pool::to_terms(route.policy);
  job->set_accepted_ms(unix_ms(clock_));
  std::shared_ptr<pending_write> pending =
      std::make_shared<pending_write>(pending_write{
          {jobs::submission_key(request.id), job->SerializeAsString(), 0},
          std::move(respond),
          clock_.now(),
          request.deadline,
          request.id,
          request.queue,
          request.caller.tenant});
  write(std::move(pending));
}

void job_api::read_state(const job_request& request, http::responder respond) {
  if (!has_journal()) return forward(request, std::move(respond));
  std::function<void()> reply = [self = shared_from_this(), request, respond] {
    // The copy may have been dropped in the meantime.
    if (!self->has_journal()) return self->forward(request, respond);
    const jobs::entry* found = jobs::find(self->table_, request.id);
    if (found == nullptr) {
      return respond(http::error_response(http::status::gone, "no such job"));
    }
    std::optional<http::response> refused =
        self->access_.check_tenant({"read state", request.id, request.queue},
                                   request.caller, jobs::tenant_of(*found));
    if (refused) return respond(std::move(*refused));
    respond(http::json_response(
        http::status::ok, platform::encode_job_state(jobs::state_of(*found))));
  };
  const jobs::entry* known = jobs::find(table_, request.id);
  if (known == nullptr) return when_current(request.deadline, respond, reply);
  bool ended = known->cancelled || known->progress.outcome() != wire::OPEN;
  if (ended) return reply();
  owner_.fetch_end(request.id, std::move(reply));
}

void job_api::cancel(const job_request& request, http::responder respond) {
  if (!has_journal()) return forward(request, std::move(respond));
  std::function<void()> then = [this, request, respond] {
    const jobs::entry* known = jobs::find(table_, request.id);
    if (known == nullptr) {
      return respond(http::error_response(http::status::gone, "no such job"));
    }
    std::optional<http::response> refused =
        access_.check_tenant({"cancel", request.id, request.queue},
                             request.caller, jobs::tenant_of(*known));
    if (refused) return respond(std::move(*refused));
    if (known->cancelled || known->progress.outcome() != wire::OPEN) {
      return respond(http::json_response(http::status::ok, "{}"));
    }
    wire::job_cancellation record;
    record.set_accepted_ms(unix_ms(clock_));
    write(std::make_shared<pending_write>(pending_write{
        {jobs::cancellation_key(request.id), record.SerializeAsString(), 0},
        respond,
        clock_.now(),
        request.deadline,
        request.id,
        request.queue,
        request.caller.tenant,
        true}));
  };
  if (jobs::find(table_, request.id) != nullptr) return then();
  when_current(request.deadline, std::move(respond), std::move(then));
}

// ---- Current reads ----------------------------------------------------------

void job_api::when_current(steady_time deadline, http::responder respond,
                           std::function<void()> then) {
  pending_reads_.push_back(
      {clock_.now(), deadline, std::move(respond), std::move(then)});
  journal_->read_now();
  arm_timer();
}

void job_api::run_current_reads() {
  std::vector<pending_read> reads = std::exchange(pending_reads_, {});
  for (pending_read& each : reads) {
    if (has_journal() && journal_->current_as_of() >= each.received) {
      each.then();
    } else {
      pending_reads_.push_back(std::move(each));
    }
  }
}

// ---- Writing ----------------------------------------------------------------

void job_api::record_latency(const pending_write& pending) {
  measurements_.reply_times.record(pending.queue,
                                   std::chrono::duration_cast<milliseconds>(
                                       clock_.now() - pending.received));
}

void job_api::confirm(pending_write& pending) {
  if (std::exchange(pending.answered, true)) return;
  record_latency(pending);
  if (pending.is_cancellation) {
    events::emit(events::id::job_cancelled, "journal", "", "job={} queue={}",
                 pending.job, pending.queue);
  } else {
    events::emit(events::id::job_accepted, "journal", "", "job={} queue={}",
                 pending.job, pending.queue);
  }
  pending.respond(http::json_response(http::status::ok, "{}"));
}

void job_api::tell_cancelled(const write_list& written, std::uint64_t offset) {
  wire::recorded_cancellations told;
  for (const std::shared_ptr<pending_write>& each : written) {
    if (each->is_cancellation) {
      wire::recorded_cancellation* record = told.add_records();
      record->set_job(each->job);
      record->set_value(each->record.value);
      record->set_offset(offset);
    }
    ++offset;
  }
  if (told.records_size() > 0) owner_.tell_cancelled(told);
}

void job_api::flush() {
  if (!appender_->idle() || queued_.empty()) return;
  in_flight_ = std::exchange(queued_, {});
  std::vector<jobs::record> records;
  records.reserve(in_flight_.size());
  for (const std::shared_ptr<pending_write>& each : in_flight_) {
    records.push_back(each->record);
  }
  steady_time retry_until = clock_.now() + kRetryPeriod;
  appender_->write(
      std::move(records),
      [this, retry_until] { return clock_.now() < retry_until; },
      [self = shared_from_this()](write_outcome outcome) {
        write_list batch = std::exchange(self->in_flight_, {});
        self->on_written(batch, outcome);
        self->flush();
      });
}

void job_api::refuse_other_tenant(pending_write& pending) {
  if (std::exchange(pending.answered, true)) return;
  pending.respond(access_.refuse_other_tenant(
      {"submit", pending.job, pending.queue}, pending.tenant, ""));
}

void job_api::refuse(pending_write& pending, std::string_view reason) {
  if (std::exchange(pending.answered, true)) return;
  record_latency(pending);
  // The write through the owner may have reached the journal.
  int status = pending.maybe_written ? 504 : 503;
  events::emit(events::id::job_refused, "journal", "",
               "job={} queue={} status={} reason=\"{}\"", pending.job,
               pending.queue, status, reason);
  if (pending.maybe_written) {
    return pending.respond(
        http::error_response(http::status::gateway_timeout, reason));
  }
  pending.respond(retry_later(reason, pending.retry_after));
}

void job_api::refuse_queue(std::string_view reason) {
  write_list queued = std::exchange(queued_, {});
  for (const std::shared_ptr<pending_write>& each : queued) {
    refuse(*each, reason);
  }
}

void job_api::on_written(const write_list& batch, write_outcome outcome) {
  for (const std::shared_ptr<pending_write>& each : batch) {
    if (outcome != write_outcome::written) {
      refuse(*each, "the store takes no records");
      continue;
    }
    confirm(*each);
  }
  if (outcome == write_outcome::written) {
    tell_cancelled(batch, appender_->last_offset());
  }
  // The queued writes would meet the same store: refuse them at once.
  if (outcome != write_outcome::written) {
    refuse_queue("the store takes no records");
  }
}

void job_api::check_deadlines() {
  steady_time now = clock_.now();
  refuse_late_writes(now);
  bool silent = appender_->state() == store_state::silent;
  for (const std::shared_ptr<pending_write>& each : in_flight_) {
    bool expired = each->deadline <= now ||
                   (silent && now - each->received > kUnknownOutcomeTimeout);
    if (each->answered || !expired || !appender_->in_doubt()) continue;
    each->answered = true;
    events::emit(events::id::job_refused, "journal", "",
                 "job={} queue={} status=504 reason=unknown", each->job,
                 each->queue);
    each->respond(http::error_response(http::status::gateway_timeout,
                                       "the store has not answered"));
  }
  retry_queries(now);
  std::vector<pending_read> reads = std::exchange(pending_reads_, {});
  for (pending_read& each : reads) {
    if (each.deadline <= now || now - each.received > kCurrentReadTimeout) {
      each.respond(retry_later("the journal can't be read"));
    } else {
      pending_reads_.push_back(std::move(each));
    }
  }
}

void job_api::arm_timer() {
  if (timer_armed_ || stopped_) return;
  timer_armed_ = true;
  deadline_timer_.expires_after(kDeadlineCheckInterval);
  deadline_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code failed) {
        if (failed || self->stopped_) return;
        self->timer_armed_ = false;
        self->check_deadlines();
        bool busy = !self->in_flight_.empty() || !self->queued_.empty() ||
                    !self->pending_reads_.empty() ||
                    !self->unserved_queries_.empty();
        if (busy) self->arm_timer();
      });
}

}  // namespace ebonygrade::poold
