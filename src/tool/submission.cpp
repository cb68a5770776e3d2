#include "tool/submission.h"

#include <algorithm>
#include <utility>

#include "clock/timer.h"
#include "http/json.h"
#include "http/message.h"

namespace ebonygrade::tool {

namespace {

// A wait is split into several calls, so that an unresponsive daemon is
// detected.
constexpr milliseconds kMaxWaitPerCall{5000};
constexpr milliseconds kUnreachableDelay{500};
constexpr double kMaxJitter = 0.5;  // Largest increase of a delay, as a ratio.

bool is_overload(http::status code) {
  return code == http::status::service_unavailable ||
         code == http::status::too_many_requests;
}

bool is_client_error(http::status code) {
  return boost::beast::http::to_status_class(code) ==
         boost::beast::http::status_class::client_error;
}

}  // namespace

// A request without a final result.
struct submission::active_request {
  wire::job_request message;
  submit_result result;
  clock::steady_time wait_deadline;
  bool may_have_run = false;  // A reply was lost since the last refusal.
  std::unique_ptr<clock::timer> timer;
};

std::vector<std::string> request_ids(const submit_options& options) {
  const std::string& id = options.request.id();
  if (options.count == 1) return {id};
  std::vector<std::string> ids;
  for (std::uint32_t i = 1; i <= options.count; ++i) {
    ids.push_back(id + "-" + std::to_string(i));
  }
  return ids;
}

submission::submission(boost::asio::io_context& context,
                       const clock::clock& clock, caller& daemons,
                       const submit_options& options, milliseconds wait,
                       std::uint64_t seed, on_result handler)
    : context_(context),
      clock_(clock),
      daemons_(daemons),
      options_(options),
      wait_(wait),
      handler_(std::move(handler)),
      random_(seed),
      ids_(request_ids(options)) {}

void submission::start() {
  for (std::uint32_t i = 0; i < options_.parallel; ++i) start_next();
}

void submission::start_next() {
  if (next_id_ == ids_.size()) return;
  std::shared_ptr<active_request> active = std::make_shared<active_request>();
  active->message = options_.request;
  active->message.set_id(ids_[next_id_++]);
  active->result.status.set_id(active->message.id());
  active->wait_deadline = clock_.now() + wait_;
  ++active->result.attempts;
  send(active);
}

void submission::send(const std::shared_ptr<active_request>& active) {
  milliseconds remaining = std::chrono::duration_cast<milliseconds>(
      active->wait_deadline - clock_.now());
  milliseconds call_wait =
      std::clamp(remaining, milliseconds(0), kMaxWaitPerCall);
  call call;
  call.step = "submit";
  call.method = http::verb::post;
  call.target = "/v1/requests?wait_ms=" + std::to_string(call_wait.count());
  call.body = http::to_compact_json(active->message);
  call.timeout = daemons_.timeout() + call_wait;
  daemons_.send(call, [this, active](call_report&& report) {
    on_reply(active, std::move(report));
  });
}

void submission::on_reply(const std::shared_ptr<active_request>& active,
                          call_report&& report) {
  if (report.maybe_sent) active->may_have_run = true;
  if (!report.reply) {
    active->result.kind =
        active->may_have_run ? result_kind::lost : result_kind::unreachable;
    active->result.cause = report.cause;
    retry_or_finish(active, kUnreachableDelay);
    return;
  }
  wire::request_status status;
  bool readable = http::from_json(report.reply->body(), &status).has_value() &&
                  status.has_outcome();
  if (!readable) {
    on_error_reply(active, report);
    return;
  }
  if (status.id().empty()) status.set_id(active->message.id());
  active->result.kind = result_kind::outcome;
  active->result.status = std::move(status);
  on_status(active);
}

void submission::on_status(const std::shared_ptr<active_request>& active) {
  const wire::outcome& outcome = active->result.status.outcome();
  if (outcome.kind() == wire::pending) {
    if (clock_.now() < active->wait_deadline) {
      send(active);
    } else {
      finish(active);
    }
    return;
  }
  if (outcome.kind() == wire::not_run && outcome.retry_after_ms() > 0) {
    active->may_have_run = false;
    retry_or_finish(active, milliseconds(outcome.retry_after_ms()));
    return;
  }
  finish(active);
}

void submission::on_error_reply(const std::shared_ptr<active_request>& active,
                                const call_report& report) {
  http::status code = report.reply->result();
  active->result.cause =
      http::status_failure(*report.reply, "submit", report.address);
  bool overloaded = is_overload(code);
  if (active->may_have_run) {
    active->result.kind = result_kind::lost;
  } else if (overloaded) {
    active->result.kind = result_kind::unreachable;
  } else if (is_client_error(code)) {
    active->result.kind = result_kind::refused_input;
  } else {
    active->result.kind = result_kind::lost;
  }
  if (overloaded) {
    retry_or_finish(active, kUnreachableDelay);
    return;
  }
  finish(active);
}

void submission::retry_or_finish(const std::shared_ptr<active_request>& active,
                                 milliseconds delay) {
  if (active->result.attempts > options_.retries) {
    finish(active);
    return;
  }
  ++active->result.attempts;
  active->timer = std::make_unique<clock::timer>(context_, with_jitter(delay));
  active->timer->async_wait([this, active](boost::system::error_code) {
    active->wait_deadline = clock_.now() + wait_;
    send(active);
  });
}

milliseconds submission::with_jitter(milliseconds delay) {
  std::uniform_real_distribution<double> share(1.0, 1.0 + kMaxJitter);
  return std::chrono::duration_cast<milliseconds>(delay * share(random_));
}

void submission::finish(const std::shared_ptr<active_request>& active) {
  // The request owns the timer, and the timer's handler holds a reference to
  // the request.
  active->timer.reset();
  handler_(active->result);
  start_next();
}

}  // namespace ebonygrade::tool
