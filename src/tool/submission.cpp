#include "tool/submission.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "http/json.h"
#include "http/message.h"

namespace ebonygrade::tool {

namespace {

// A wait is cut into steps, so that a silent daemon is noticed.
constexpr milliseconds kWaitStep{5000};
constexpr milliseconds kUnreachablePause{500};
constexpr double kMostJitter = 0.5;  // Share of a pause.

bool is_overload(http::status code) {
  return code == http::status::service_unavailable ||
         code == http::status::too_many_requests;
}

bool is_refusal_of_input(http::status code) {
  return boost::beast::http::to_status_class(code) ==
         boost::beast::http::status_class::client_error;
}

}  // namespace

// One request on its way.
struct submission::request {
  wire::job_request message;
  submit_result result;
  clock::steady_time give_up_at;
  bool maybe_run = false;  // Some answer was lost since the last refusal.
  std::unique_ptr<boost::asio::steady_timer> timer;
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
  std::shared_ptr<request> each = std::make_shared<request>();
  each->message = options_.request;
  each->message.set_id(ids_[next_id_++]);
  each->result.status.set_id(each->message.id());
  each->give_up_at = clock_.now() + wait_;
  ++each->result.attempts;
  send(each);
}

void submission::send(const std::shared_ptr<request>& each) {
  milliseconds left =
      std::chrono::duration_cast<milliseconds>(each->give_up_at - clock_.now());
  milliseconds step = std::clamp(left, milliseconds(0), kWaitStep);
  call call;
  call.step = "submit";
  call.method = http::verb::post;
  call.target = "/v1/requests?wait_ms=" + std::to_string(step.count());
  call.body = http::to_compact_json(each->message);
  call.timeout = daemons_.timeout() + step;
  daemons_.send(call, [this, each](call_report&& report) {
    on_reply(each, std::move(report));
  });
}

void submission::on_reply(const std::shared_ptr<request>& each,
                          call_report&& report) {
  if (report.maybe_sent) each->maybe_run = true;
  if (!report.reply) {
    each->result.kind =
        each->maybe_run ? result_kind::lost : result_kind::unreachable;
    each->result.cause = report.cause;
    come_back(each, kUnreachablePause);
    return;
  }
  wire::request_status status;
  bool readable = http::from_json(report.reply->body(), &status).has_value() &&
                  status.has_outcome();
  if (!readable) {
    on_error_reply(each, report);
    return;
  }
  if (status.id().empty()) status.set_id(each->message.id());
  each->result.kind = result_kind::outcome;
  each->result.status = std::move(status);
  on_status(each);
}

void submission::on_status(const std::shared_ptr<request>& each) {
  const wire::outcome& outcome = each->result.status.outcome();
  if (outcome.kind() == wire::pending) {
    if (clock_.now() < each->give_up_at) {
      send(each);
    } else {
      finish(each);
    }
    return;
  }
  if (outcome.kind() == wire::not_run && outcome.retry_after_ms() > 0) {
    each->maybe_run = false;
    come_back(each, milliseconds(outcome.retry_after_ms()));
    return;
  }
  finish(each);
}

void submission::on_error_reply(const std::shared_ptr<request>& each,
                                const call_report& report) {
  http::status code = report.reply->result();
  each->result.cause =
      http::status_failure(*report.reply, "submit", report.address);
  bool overload = is_overload(code);
  if (each->maybe_run) {
    each->result.kind = result_kind::lost;
  } else if (overload) {
    each->result.kind = result_kind::unreachable;
  } else if (is_refusal_of_input(code)) {
    each->result.kind = result_kind::refused_input;
  } else {
    each->result.kind = result_kind::lost;
  }
  if (overload) {
    come_back(each, kUnreachablePause);
    return;
  }
  finish(each);
}

void submission::come_back(const std::shared_ptr<request>& each,
                           milliseconds pause) {
  if (each->result.attempts > options_.retries) {
    finish(each);
    return;
  }
  ++each->result.attempts;
  each->timer =
      std::make_unique<boost::asio::steady_timer>(context_, with_jitter(pause));
  each->timer->async_wait([this, each](boost::system::error_code) {
    each->give_up_at = clock_.now() + wait_;
    send(each);
  });
}

milliseconds submission::with_jitter(milliseconds pause) {
  std::uniform_real_distribution<double> share(1.0, 1.0 + kMostJitter);
  return std::chrono::duration_cast<milliseconds>(pause * share(random_));
}

void submission::finish(const std::shared_ptr<request>& each) {
  // The timer's handler holds the request.
  each->timer.reset();
  handler_(each->result);
  start_next();
}

}  // namespace ebonygrade::tool
