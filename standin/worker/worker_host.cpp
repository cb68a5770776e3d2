#include "standin/worker/worker_host.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "http/json.h"

namespace ebonygrade::standin::worker {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxConnections = 64;
constexpr std::size_t kMaxDeferredRequests = 256;
constexpr std::size_t kMaxBodyBytes = 16 << 20;
constexpr milliseconds kMaxPollWait{60000};

http::server_options make_server_options() {
  http::server_options options;
  options.max_connections = kMaxConnections;
  options.max_body_bytes = kMaxBodyBytes;
  options.idle_timeout = milliseconds(120000);
  return options;
}

std::uint64_t number_or_zero(const http::target_parts& target,
                             std::string_view name) {
  std::string text = http::query_value(target, name).value_or("");
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Drops the responders of connections that the caller has closed.
void erase_abandoned(std::vector<http::responder>* responders) {
  std::erase_if(*responders, [](const http::responder& answer) {
    return answer.abandoned();
  });
}

}  // namespace

worker_host::worker_host(asio::io_context& context, const clock::clock& clock,
                         const table_options& options, std::uint64_t boot,
                         ledger_book* book)
    : context_(context), clock_(clock), book_(book), timer_(context) {
  table_.options = options;
  table_.boot = boot;
}

worker_host::~worker_host() = default;

error::result<void> worker_host::open(std::string_view address) {
  error::result<void> listening = listen(address);
  if (listening.has_error()) return listening;
  std::string_view ip = address.substr(0, address.rfind(':'));
  address_ = std::string(ip) + ":" + std::to_string(server_->port());
  return {};
}

std::size_t worker_host::connection_count() const {
  return server_ ? server_->connection_count() : 0;
}

error::result<void> worker_host::listen(std::string_view address) {
  newest_connection_ = 0;
  last_silent_connection_ = 0;
  server_.emplace(context_, make_server_options(),
                  [this](http::request&& request, http::responder answer) {
                    handle(std::move(request), answer);
                  });
  return server_->listen(address);
}

error::result<void> worker_host::inject(worker_fault fault) {
  switch (fault) {
    case worker_fault::freeze:
      table_.frozen = true;
      break;
    case worker_fault::drop_answers:
      drop_answers_ = true;
      break;
    case worker_fault::fail_all:
      table_.fail_all = true;
      break;
    case worker_fault::silent:
      silence_connections();
      break;
    case worker_fault::kill:
      stop_listening();
      break;
    case worker_fault::reboot:
      stop_listening();
      return listen(address_);
    default:
      drop_answers_ = false;
      table_.fail_all = false;
      unfreeze();
      if (!server_) return listen(address_);
  }
  return {};
}

void worker_host::handle(http::request&& request,
                         const http::responder& answer) {
  newest_connection_ = std::max(newest_connection_, answer.connection());
  if (answer.connection() <= last_silent_connection_) {
    erase_abandoned(&unanswered_);
    unanswered_.push_back(answer);
    return;
  }
  if (table_.frozen) return defer(std::move(request), answer);
  serve(request, answer);
}

void worker_host::defer(http::request&& request,
                        const http::responder& answer) {
  if (deferred_.size() >= kMaxDeferredRequests) return answer.drop();
  deferred_.push_back({std::move(request), answer});
}

// The waiting polls belong to connections that are open now.
void worker_host::silence_connections() {
  last_silent_connection_ = newest_connection_;
  for (waiting_poll& poll : polls_) unanswered_.push_back(poll.answer);
  polls_.clear();
}

// Expires leases before serving the deferred requests, as a machine does that
// was suspended as a whole.
void worker_host::unfreeze() {
  table_.frozen = false;
  advance();
  std::deque<deferred_request> deferred = std::exchange(deferred_, {});
  for (deferred_request& request : deferred)
    serve(request.request, request.answer);
}

void worker_host::stop_listening() {
  server_.reset();
  polls_.clear();
  deferred_.clear();
  unanswered_.clear();
  table_.frozen = false;
  reboot(table_, *book_);
  schedule_advance();
}

void worker_host::serve(const http::request& request,
                        const http::responder& answer) {
  std::optional<http::target_parts> target =
      http::parse_target({request.target().data(), request.target().size()});
  if (!target || target->segments.size() != 2 || target->segments[0] != "v1") {
    return answer(
        http::error_response(http::status::not_found, "no such resource"));
  }
  worker::advance(table_, *book_, clock_.now());
  const std::string& call = target->segments[1];
  if (call == "events") {
    serve_events(*target, answer);
  } else {
    serve_call(call, request, answer);
  }
  answer_due_polls(clock_.now());
  schedule_advance();
}

namespace {

template <typename message>
std::optional<message> parse_body(const http::request& request,
                                  const http::responder& answer) {
  message parsed;
  error::result<void> result = http::from_json(request.body(), &parsed);
  if (result.has_value()) return parsed;
  answer(http::error_response(http::status::bad_request, result.error().detail,
                              http::failed_field(result.error())));
  return std::nullopt;
}

}  // namespace

void worker_host::serve_call(const std::string& call,
                             const http::request& request,
                             const http::responder& answer) {
  steady_time now = clock_.now();
  if (call == "fence") {
    std::optional<wire::fence_request> body =
        parse_body<wire::fence_request>(request, answer);
    if (body) reply(answer, fence(table_, *body, now));
  } else if (call == "start") {
    std::optional<wire::start_request> body =
        parse_body<wire::start_request>(request, answer);
    if (body) reply(answer, start(table_, *book_, *body, now));
  } else if (call == "renew") {
    std::optional<wire::renew_request> body =
        parse_body<wire::renew_request>(request, answer);
    if (body) reply(answer, renew(table_, *body, now));
  } else if (call == "stop") {
    std::optional<wire::stop_request> body =
        parse_body<wire::stop_request>(request, answer);
    if (body) reply(answer, stop(table_, *book_, *body, now));
  } else {
    answer(http::error_response(http::status::not_found, "no such call"));
  }
}

void worker_host::serve_events(const http::target_parts& target,
                               const http::responder& answer) {
  std::uint64_t after = number_or_zero(target, "after");
  milliseconds wait(std::min<std::uint64_t>(
      number_or_zero(target, "wait_ms"),
      static_cast<std::uint64_t>(kMaxPollWait.count())));
  steady_time now = clock_.now();
  if (has_events(table_, after) || wait.count() == 0) {
    return reply(answer, events(table_, after, now));
  }
  std::erase_if(
      polls_, [](const waiting_poll& poll) { return poll.answer.abandoned(); });
  polls_.push_back({after, answer, now + wait});
}

void worker_host::reply(const http::responder& answer,
                        const google::protobuf::Message& message) {
  if (drop_answers_) return answer.drop();
  answer(http::json_response(http::status::ok, http::to_compact_json(message)));
}

void worker_host::advance() {
  steady_time now = clock_.now();
  worker::advance(table_, *book_, now);
  if (!table_.frozen) answer_due_polls(now);
  schedule_advance();
}

void worker_host::answer_due_polls(steady_time now) {
  std::vector<waiting_poll> waiting = std::exchange(polls_, {});
  for (waiting_poll& poll : waiting) {
    if (has_events(table_, poll.after) || poll.until <= now) {
      reply(poll.answer, events(table_, poll.after, now));
    } else {
      polls_.push_back(std::move(poll));
    }
  }
}

void worker_host::schedule_advance() {
  steady_time next = next_due(table_);
  for (const waiting_poll& poll : polls_) {
    if (!table_.frozen) next = std::min(next, poll.until);
  }
  if (next == steady_time::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(next);
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) advance();
  });
}

}  // namespace ebonygrade::standin::worker
