#include "poold/entry.h"

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
constexpr milliseconds kAnswerMargin{150};
// While the store refuses appends, callers are told to come back after this
// long: enough to pass over a restart, and short beside any objective.
constexpr milliseconds kRefuseAfter{90};
constexpr char kRetryAfterSeconds[] = "1";
// A caller whose record may or may not be stored is told so after this, so
// that it can ask another daemon, which may reach the store.
constexpr milliseconds kUncertainTime{1000};
// For the owner's answer; an append to a store that is slowed sixty times,
// and the one before it, take less.
constexpr milliseconds kOwnerWriteTime{900};
// Replies about unknown jobs need a copy of the journal no older than this.
constexpr milliseconds kFreshEnough{1000};
constexpr milliseconds kTimerPeriod{50};
constexpr char kDeadlineHeader[] = "X-Deadline-Ms";

http::response come_back(std::string_view reason) {
  http::response reply =
      http::error_response(http::status::service_unavailable, reason);
  reply.set(boost::beast::http::field::retry_after, kRetryAfterSeconds);
  return reply;
}

milliseconds time_limit(const http::request& request) {
  boost::beast::string_view text = request[kDeadlineHeader];
  std::int64_t value = 0;
  std::from_chars_result done =
      std::from_chars(text.data(), text.data() + text.size(), value);
  bool valid = !text.empty() && done.ec == std::errc() && value > 0;
  milliseconds limit = valid ? milliseconds(value) : kDefaultDeadline;
  return std::max(limit - kAnswerMargin, kAnswerMargin);
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

entry::entry(boost::asio::io_context& context, store& store,
             const clock::clock& clock, const std::string& daemon,
             const jobs::table& table, topic_follower& journal,
             owner_writer by_owner, end_reader learn_end,
             measurements& measured)
    : clock_(clock),
      daemon_(daemon),
      table_(table),
      journal_(journal),
      by_owner_(std::move(by_owner)),
      learn_end_(std::move(learn_end)),
      measured_(measured),
      timer_(context) {
  // The name holds the time of the start, so that no earlier life of this
  // daemon has numbered appends under it.
  std::string producer = daemon + "." + std::to_string(unix_ms(clock));
  appender_ = std::make_shared<appender>(context, store,
                                         std::string(platform::kJournalTopic),
                                         platform::producer{producer, 1, 0});
}

void entry::set_manifest(std::shared_ptr<const pool::manifest> manifest) {
  manifest_ = std::move(manifest);
}

void entry::stop() {
  stopped_ = true;
  timer_.cancel();
  appender_->stop();
}

void entry::handle(http::request&& request, http::responder answer) {
  if (!manifest_) return answer(come_back("no manifest yet"));
  std::string_view host(request[boost::beast::http::field::host].data(),
                        request[boost::beast::http::field::host].size());
  std::string_view path = path_of(request);
  const pool::queue_route* route = pool::find_route(*manifest_, host, path);
  if (route == nullptr) {
    return answer(
        http::error_response(http::status::not_found, "no such queue"));
  }
  job_request asked;
  asked.method = request.method();
  asked.route = route;
  asked.id = path.substr(route->path_prefix.size());
  asked.deadline = clock_.now() + time_limit(request);
  if (asked.id.empty() && asked.method == http::verb::get) {
    return answer(http::json_response(
        http::status::ok,
        platform::encode_not_started(jobs::not_started(table_, route->name))));
  }
  if (!platform::is_job_id(asked.id)) {
    return answer(
        http::error_response(http::status::bad_request, "not a job id", "id"));
  }
  switch (asked.method) {
    case http::verb::post:
      return submit(asked, request.body(), std::move(answer));
    case http::verb::get:
      return read_state(asked, std::move(answer));
    case http::verb::delete_:
      return cancel(asked, std::move(answer));
    default:
      return answer(http::error_response(http::status::method_not_allowed,
                                         "expected POST, GET or DELETE"));
  }
}

void entry::submit(const job_request& asked, const std::string& body,
                   http::responder answer) {
  if (jobs::find(table_, asked.id) != nullptr) {
    return answer(http::json_response(http::status::ok, "{}"));
  }
  error::result<wire::job_submission> job = platform::decode_submission(body);
  if (job.has_error()) {
    events::emit(events::id::bad_request, "submit", "", "job={} queue={} {}",
                 asked.id, asked.route->name, job.error().detail);
    return answer(
        http::error_response(http::status::bad_request, job.error().detail));
  }
  job->set_queue(asked.route->name);
  job->set_service(asked.route->policy.service);
  *job->mutable_terms() = pool::to_terms(asked.route->policy);
  job->set_accepted_ms(unix_ms(clock_));
  std::shared_ptr<waiting_write> wanted =
      std::make_shared<waiting_write>(waiting_write{
          {jobs::submission_key(asked.id), job->SerializeAsString(), 0},
          std::move(answer),
          clock_.now(),
          asked.deadline,
          asked.id,
          asked.route->name});
  write(std::move(wanted));
}

void entry::read_state(const job_request& asked, http::responder answer) {
  std::function<void()> tell = [self = shared_from_this(), id = asked.id,
                                answer] {
    const jobs::entry* found = jobs::find(self->table_, id);
    if (found == nullptr) {
      return answer(http::error_response(http::status::gone, "no such job"));
    }
    answer(http::json_response(http::status::ok,
                               platform::encode_state(jobs::state_of(*found))));
  };
  const jobs::entry* known = jobs::find(table_, asked.id);
  if (known == nullptr) return when_current(asked.deadline, answer, tell);
  bool ended = known->cancelled || known->progress.outcome() != wire::OPEN;
  if (ended) return tell();
  learn_end_(asked.id, std::move(tell));
}

void entry::cancel(const job_request& asked, http::responder answer) {
  std::string queue = asked.route->name;
  std::function<void()> then = [this, id = asked.id, queue,
                                deadline = asked.deadline, answer] {
    const jobs::entry* known = jobs::find(table_, id);
    if (known == nullptr) {
      return answer(http::error_response(http::status::gone, "no such job"));
    }
    if (known->cancelled || known->progress.outcome() != wire::OPEN) {
      return answer(http::json_response(http::status::ok, "{}"));
    }
    wire::job_cancellation record;
    record.set_accepted_ms(unix_ms(clock_));
    write(std::make_shared<waiting_write>(waiting_write{
        {jobs::cancellation_key(id), record.SerializeAsString(), 0},
        answer,
        clock_.now(),
        deadline,
        id,
        queue,
        true}));
  };
  if (jobs::find(table_, asked.id) != nullptr) return then();
  when_current(asked.deadline, std::move(answer), std::move(then));
}

// ---- Reading what others have written ---------------------------------------

void entry::when_current(steady_time deadline, http::responder answer,
                         std::function<void()> then) {
  readers_.push_back(
      {clock_.now(), deadline, std::move(answer), std::move(then)});
  journal_.hurry();
  arm_timer();
}

void entry::check_current() {
  std::vector<waiting_reader> waiting = std::exchange(readers_, {});
  for (waiting_reader& each : waiting) {
    if (journal_.loaded() && journal_.current_as_of() >= each.asked) {
      each.then();
    } else {
      readers_.push_back(std::move(each));
    }
  }
}

// ---- Writing ----------------------------------------------------------------

void entry::write(std::shared_ptr<waiting_write> wanted) {
  milliseconds left =
      std::chrono::duration_cast<milliseconds>(wanted->deadline - clock_.now());
  by_owner_(wanted->record, std::min(left, kOwnerWriteTime),
            [self = shared_from_this(), wanted](owner_answer answer) {
              if (self->stopped_) return;
              if (answer == owner_answer::written) {
                return self->confirm(*wanted);
              }
              // Appends of every daemon beside the owner's would only make
              // the store slower.
              if (answer == owner_answer::unavailable) {
                return self->refuse(*wanted, "the store takes no records");
              }
              wanted->tried = answer == owner_answer::unknown;
              self->write_directly(wanted);
            });
}

void entry::write_directly(std::shared_ptr<waiting_write> wanted) {
  // Behind an append that the store doesn't answer nothing gets through soon.
  if (appender_->uncertain()) return refuse(*wanted, "the store is silent");
  queue_.push_back(std::move(wanted));
  arm_timer();
  flush();
}

void entry::measure(const waiting_write& wanted) {
  measured_.answers.record(
      wanted.queue,
      std::chrono::duration_cast<milliseconds>(clock_.now() - wanted.asked));
}

void entry::confirm(waiting_write& wanted) {
  if (std::exchange(wanted.answered, true)) return;
  measure(wanted);
  if (wanted.cancels) {
    events::emit(events::id::job_cancelled, "journal", "", "job={} queue={}",
                 wanted.job, wanted.queue);
  } else {
    events::emit(events::id::job_accepted, "journal", "", "job={} queue={}",
                 wanted.job, wanted.queue);
  }
  wanted.answer(http::json_response(http::status::ok, "{}"));
}

void entry::flush() {
  if (!appender_->idle() || queue_.empty()) return;
  in_flight_ = std::exchange(queue_, {});
  std::vector<jobs::record> records;
  records.reserve(in_flight_.size());
  for (const std::shared_ptr<waiting_write>& each : in_flight_) {
    records.push_back(each->record);
  }
  steady_time refuse_at = clock_.now() + kRefuseAfter;
  appender_->write(
      std::move(records),
      [this, refuse_at] { return clock_.now() < refuse_at; },
      [self = shared_from_this()](write_outcome outcome) {
        write_list batch = std::exchange(self->in_flight_, {});
        self->on_written(batch, outcome);
        self->flush();
      });
}

void entry::refuse(waiting_write& wanted, std::string_view reason) {
  if (std::exchange(wanted.answered, true)) return;
  measure(wanted);
  // What the owner was asked to write may be in the journal after all.
  int status = wanted.tried ? 504 : 503;
  events::emit(events::id::job_refused, "journal", "",
               "job={} queue={} status={} reason=\"{}\"", wanted.job,
               wanted.queue, status, reason);
  if (wanted.tried) {
    return wanted.answer(
        http::error_response(http::status::gateway_timeout, reason));
  }
  wanted.answer(come_back(reason));
}

void entry::refuse_queue(std::string_view reason) {
  write_list behind = std::exchange(queue_, {});
  for (const std::shared_ptr<waiting_write>& each : behind) {
    refuse(*each, reason);
  }
}

void entry::on_written(const write_list& batch, write_outcome outcome) {
  for (const std::shared_ptr<waiting_write>& each : batch) {
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

void entry::check_deadlines() {
  steady_time now = clock_.now();
  if (appender_->uncertain()) refuse_queue("the store is silent");
  for (const std::shared_ptr<waiting_write>& each : in_flight_) {
    bool give_up = each->deadline <= now || now - each->asked > kUncertainTime;
    if (each->answered || !give_up || !appender_->uncertain()) continue;
    each->answered = true;
    events::emit(events::id::job_refused, "journal", "",
                 "job={} queue={} status=504 reason=unknown", each->job,
                 each->queue);
    each->answer(http::error_response(http::status::gateway_timeout,
                                      "the store has not answered"));
  }
  std::vector<waiting_reader> waiting = std::exchange(readers_, {});
  for (waiting_reader& each : waiting) {
    if (each.deadline <= now || now - each.asked > kFreshEnough) {
      each.answer(come_back("the journal can't be read"));
    } else {
      readers_.push_back(std::move(each));
    }
  }
}

void entry::arm_timer() {
  if (timer_armed_ || stopped_) return;
  timer_armed_ = true;
  timer_.expires_after(kTimerPeriod);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code e) {
    if (e || self->stopped_) return;
    self->timer_armed_ = false;
    self->check_deadlines();
    bool busy = !self->in_flight_.empty() || !self->queue_.empty() ||
                !self->readers_.empty();
    if (busy) self->arm_timer();
  });
}

}  // namespace ebonygrade::poold
