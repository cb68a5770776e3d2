#include "poold/job_api.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "events/events.h"
#include "platform/callers.h"

namespace ebonygrade::poold {

namespace {

// A caller that names no deadline waits so long.
constexpr milliseconds kDefaultDeadline{3000};
// The answer leaves so long before the caller's deadline, for its way back.
constexpr milliseconds kReplyMargin{150};
// While the store refuses appends, callers are told to come back after this
// long: enough to pass over a restart, and short beside any objective.
constexpr milliseconds kRetryPeriod{90};
constexpr char kRetryAfterSeconds[] = "1";
// A caller whose record may or may not be stored is told so after this, so
// that it can ask another daemon, which may reach the store.
constexpr milliseconds kUnknownOutcomeTimeout{1000};
// For the owner's answer; an append to a store that is slowed sixty times,
// and the one before it, take less.
constexpr milliseconds kOwnerWriteTimeout{900};
// Replies about unknown jobs need a copy of the journal no older than this.
constexpr milliseconds kCurrentReadTimeout{1000};
constexpr milliseconds kDeadlineCheckInterval{50};
constexpr char kDeadlineHeader[] = "X-Deadline-Ms";

http::response retry_later(std::string_view reason) {
  http::response reply =
      http::error_response(http::status::service_unavailable, reason);
  reply.set(boost::beast::http::field::retry_after, kRetryAfterSeconds);
  return reply;
}

milliseconds reply_time_limit(const http::request& request) {
  boost::beast::string_view text = request[kDeadlineHeader];
  std::int64_t value = 0;
  std::from_chars_result done =
      std::from_chars(text.data(), text.data() + text.size(), value);
  bool valid = !text.empty() && done.ec == std::errc() && value > 0;
  milliseconds limit = valid ? milliseconds(value) : kDefaultDeadline;
  return std::max(limit - kReplyMargin, kReplyMargin);
}

std::int64_t unix_ms(const clock::clock& clock) {
  return std::chrono::duration_cast<milliseconds>(
             clock.wall_now().time_since_epoch())
      .count();
}

std::string_view path_of(const http::request& request) {
  std::string_view target(request.target().data(), request.target().size());
  return target.substr(0, target.find('?'));
}

}  // namespace

job_api::job_api(boost::asio::io_context& context, store_client& store,
                 const clock::clock& clock, const std::string& daemon,
                 const jobs::table& table, topic_follower& journal,
                 owner_writer write_through_owner, end_fetcher fetch_end,
                 measurements& measurements)
    : clock_(clock),
      daemon_(daemon),
      table_(table),
      journal_(journal),
      write_through_owner_(std::move(write_through_owner)),
      fetch_end_(std::move(fetch_end)),
      measurements_(measurements),
      timer_(context) {
  // The name holds the time of the start, so that no earlier life of this
  // daemon has numbered appends under it.
  std::string producer = daemon + "." + std::to_string(unix_ms(clock));
  appender_ = std::make_shared<appender>(context, store,
                                         std::string(platform::kJournalTopic),
                                         platform::producer{producer, 1, 0});
}

void job_api::set_manifest(std::shared_ptr<const pool::manifest> manifest) {
  manifest_ = std::move(manifest);
}

void job_api::stop() {
  stopped_ = true;
  timer_.cancel();
  appender_->stop();
}

void job_api::handle(http::request&& request, http::responder answer) {
  if (!manifest_) return answer(retry_later("no manifest yet"));
  std::string_view host(request[boost::beast::http::field::host].data(),
                        request[boost::beast::http::field::host].size());
  std::string_view path = path_of(request);
  const pool::queue_route* route = pool::find_route(*manifest_, host, path);
  if (route == nullptr) {
    return answer(
        http::error_response(http::status::not_found, "no such queue"));
  }
  job_request call;
  call.method = request.method();
  call.route = route;
  call.id = path.substr(route->path_prefix.size());
  call.deadline = clock_.now() + reply_time_limit(request);
  if (call.id.empty() && call.method == http::verb::get) {
    return answer(http::json_response(
        http::status::ok,
        platform::encode_not_started(jobs::not_started(table_, route->name))));
  }
  if (!platform::is_job_id(call.id)) {
    return answer(
        http::error_response(http::status::bad_request, "not a job id", "id"));
  }
  switch (call.method) {
    case http::verb::post:
      return submit(call, request.body(), std::move(answer));
    case http::verb::get:
      return read_state(call, std::move(answer));
    case http::verb::delete_:
      return cancel(call, std::move(answer));
    default:
      return answer(http::error_response(http::status::method_not_allowed,
                                         "expected POST, GET or DELETE"));
  }
}

void job_api::submit(const job_request& request, const std::string& body,
                     http::responder answer) {
  if (jobs::find(table_, request.id) != nullptr) {
    return answer(http::json_response(http::status::ok, "{}"));
  }
  error::result<wire::job_submission> job = platform::decode_submission(body);
  if (job.has_error()) {
    events::emit(events::id::bad_request, "submit", "", "job={} queue={} {}",
                 request.id, request.route->name, job.error().detail);
    return answer(
        http::error_response(http::status::bad_request, job.error().detail));
  }
  job->set_queue(request.route->name);
  job->set_service(request.route->policy.service);
  *job->mutable_terms() = pool::to_terms(request.route->policy);
  job->set_accepted_ms(unix_ms(clock_));
  std::shared_ptr<pending_write> wanted =
      std::make_shared<pending_write>(pending_write{
          {jobs::submission_key(request.id), job->SerializeAsString(), 0},
          std::move(answer),
          clock_.now(),
          request.deadline,
          request.id,
          request.route->name});
  write(std::move(wanted));
}

void job_api::read_state(const job_request& request, http::responder answer) {
  std::function<void()> tell = [self = shared_from_this(), id = request.id,
                                answer] {
    const jobs::entry* found = jobs::find(self->table_, id);
    if (found == nullptr) {
      return answer(http::error_response(http::status::gone, "no such job"));
    }
    answer(http::json_response(http::status::ok,
                               platform::encode_state(jobs::state_of(*found))));
  };
  const jobs::entry* known = jobs::find(table_, request.id);
  if (known == nullptr)
    return after_current_read(request.deadline, answer, tell);
  bool ended = known->cancelled || known->progress.outcome() != wire::OPEN;
  if (ended) return tell();
  fetch_end_(request.id, std::move(tell));
}

void job_api::cancel(const job_request& request, http::responder answer) {
  std::string queue = request.route->name;
  std::function<void()> then = [this, id = request.id, queue,
                                deadline = request.deadline, answer] {
    const jobs::entry* known = jobs::find(table_, id);
    if (known == nullptr) {
      return answer(http::error_response(http::status::gone, "no such job"));
    }
    if (known->cancelled || known->progress.outcome() != wire::OPEN) {
      return answer(http::json_response(http::status::ok, "{}"));
    }
    wire::job_cancellation record;
    record.set_accepted_ms(unix_ms(clock_));
    write(std::make_shared<pending_write>(pending_write{
        {jobs::cancellation_key(id), record.SerializeAsString(), 0},
        answer,
        clock_.now(),
        deadline,
        id,
        queue,
        true}));
  };
  if (jobs::find(table_, request.id) != nullptr) return then();
  after_current_read(request.deadline, std::move(answer), std::move(then));
}

// ---- Reading what others have written ---------------------------------------

void job_api::after_current_read(steady_time deadline, http::responder answer,
                                 std::function<void()> then) {
  readers_.push_back(
      {clock_.now(), deadline, std::move(answer), std::move(then)});
  journal_.read_now();
  arm_timer();
}

void job_api::run_current_reads() {
  std::vector<pending_read> waiting = std::exchange(readers_, {});
  for (pending_read& each : waiting) {
    if (journal_.loaded() && journal_.current_as_of() >= each.received) {
      each.then();
    } else {
      readers_.push_back(std::move(each));
    }
  }
}

// ---- Writing ----------------------------------------------------------------

void job_api::write(std::shared_ptr<pending_write> wanted) {
  milliseconds left =
      std::chrono::duration_cast<milliseconds>(wanted->deadline - clock_.now());
  write_through_owner_(
      wanted->record, std::min(left, kOwnerWriteTimeout),
      [self = shared_from_this(), wanted](owner_write_result answer) {
        if (self->stopped_) return;
        if (answer == owner_write_result::written) {
          return self->confirm(*wanted);
        }
        // Appends of every daemon beside the owner's would only make
        // the store slower.
        if (answer == owner_write_result::unavailable) {
          return self->refuse(*wanted, "the store takes no records");
        }
        wanted->may_be_written = answer == owner_write_result::unknown;
        self->write_directly(wanted);
      });
}

void job_api::write_directly(std::shared_ptr<pending_write> wanted) {
  // Behind an append that the store doesn't answer nothing gets through soon.
  if (appender_->outcome_unknown())
    return refuse(*wanted, "the store is silent");
  queued_.push_back(std::move(wanted));
  arm_timer();
  flush();
}

void job_api::record_latency(const pending_write& wanted) {
  measurements_.reply_times.record(
      wanted.queue,
      std::chrono::duration_cast<milliseconds>(clock_.now() - wanted.received));
}

void job_api::confirm(pending_write& wanted) {
  if (std::exchange(wanted.answered, true)) return;
  record_latency(wanted);
  if (wanted.is_cancellation) {
    events::emit(events::id::job_cancelled, "journal", "", "job={} queue={}",
                 wanted.job, wanted.queue);
  } else {
    events::emit(events::id::job_accepted, "journal", "", "job={} queue={}",
                 wanted.job, wanted.queue);
  }
  wanted.answer(http::json_response(http::status::ok, "{}"));
}

void job_api::flush() {
  if (!appender_->idle() || queued_.empty()) return;
  in_flight_ = std::exchange(queued_, {});
  std::vector<jobs::record> records;
  records.reserve(in_flight_.size());
  for (const std::shared_ptr<pending_write>& each : in_flight_) {
    records.push_back(each->record);
  }
  steady_time refuse_at = clock_.now() + kRetryPeriod;
  appender_->write(
      std::move(records),
      [this, refuse_at] { return clock_.now() < refuse_at; },
      [self = shared_from_this()](write_outcome outcome) {
        write_list batch = std::exchange(self->in_flight_, {});
        self->on_written(batch, outcome);
        self->flush();
      });
}

void job_api::refuse(pending_write& wanted, std::string_view reason) {
  if (std::exchange(wanted.answered, true)) return;
  record_latency(wanted);
  // What the owner was asked to write may be in the journal after all.
  int status = wanted.may_be_written ? 504 : 503;
  events::emit(events::id::job_refused, "journal", "",
               "job={} queue={} status={} reason=\"{}\"", wanted.job,
               wanted.queue, status, reason);
  if (wanted.may_be_written) {
    return wanted.answer(
        http::error_response(http::status::gateway_timeout, reason));
  }
  wanted.answer(retry_later(reason));
}

void job_api::refuse_queue(std::string_view reason) {
  write_list behind = std::exchange(queued_, {});
  for (const std::shared_ptr<pending_write>& each : behind) {
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
  // What has waited behind a store that takes nothing is refused with it.
  if (outcome != write_outcome::written) {
    refuse_queue("the store takes no records");
  }
}

void job_api::check_deadlines() {
  steady_time now = clock_.now();
  if (appender_->outcome_unknown()) refuse_queue("the store is silent");
  for (const std::shared_ptr<pending_write>& each : in_flight_) {
    bool give_up =
        each->deadline <= now || now - each->received > kUnknownOutcomeTimeout;
    if (each->answered || !give_up || !appender_->outcome_unknown()) continue;
    each->answered = true;
    events::emit(events::id::job_refused, "journal", "",
                 "job={} queue={} status=504 reason=unknown", each->job,
                 each->queue);
    each->answer(http::error_response(http::status::gateway_timeout,
                                      "the store has not answered"));
  }
  std::vector<pending_read> waiting = std::exchange(readers_, {});
  for (pending_read& each : waiting) {
    if (each.deadline <= now || now - each.received > kCurrentReadTimeout) {
      each.answer(retry_later("the journal can't be read"));
    } else {
      readers_.push_back(std::move(each));
    }
  }
}

void job_api::arm_timer() {
  if (timer_armed_ || stopped_) return;
  timer_armed_ = true;
  timer_.expires_after(kDeadlineCheckInterval);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code e) {
    if (e || self->stopped_) return;
    self->timer_armed_ = false;
    self->check_deadlines();
    bool busy = !self->in_flight_.empty() || !self->queued_.empty() ||
                !self->readers_.empty();
    if (busy) self->arm_timer();
  });
}

}  // namespace ebonygrade::poold
