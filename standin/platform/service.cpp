#include "standin/platform/service.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clock/timer.h"
#include "http/json.h"
#include "http/server.h"
#include "standin/platform/vm_table.h"

namespace ebonygrade::standin::platform {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kMaxWait{60000};
constexpr std::size_t kMaxReadRecords = 1000;
constexpr std::size_t kMaxConnections = 2048;
constexpr std::size_t kMaxListBodyBytes = 16 << 20;

// A read that waits for the next record of its stream.
struct waiting_read {
  waiting_read(asio::io_context& context, std::string stream,
               std::uint64_t from, std::size_t max_count,
               http::responder answer)
      : stream(std::move(stream)),
        from(from),
        max_count(max_count),
        answer(std::move(answer)),
        timer(context) {}
  std::string stream;
  std::uint64_t from;
  std::size_t max_count;
  http::responder answer;
  clock::timer timer;
};

http::server_options make_server_options() {
  http::server_options options;
  options.max_connections = kMaxConnections;
  options.max_body_bytes = kMaxListBodyBytes;
  return options;
}

// The number given by a query parameter; `default_value` if it is missing,
// nothing if it is malformed.
std::optional<std::uint64_t> query_number(const http::target_parts& target,
                                          std::string_view name,
                                          std::uint64_t default_value) {
  std::optional<std::string> text = http::query_value(target, name);
  if (!text) return default_value;
  std::uint64_t value = 0;
  const char* end = text->data() + text->size();
  std::from_chars_result parsed = std::from_chars(text->data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

http::response ok(const google::protobuf::Message& message) {
  return http::json_response(http::status::ok, http::to_json(message));
}

http::response bad_request(const error::failure& failure) {
  return http::error_response(http::status::bad_request, failure.detail,
                              http::failed_field(failure));
}

http::response unavailable() {
  return http::error_response(http::status::service_unavailable, "outage");
}

}  // namespace

class service::implementation {
 public:
  implementation(asio::io_context& context, const clock::clock& clock,
                 const service_options& options)
      : context_(context),
        clock_(clock),
        log_(make_log_store(options.log, clock.now())),
        server_(context, make_server_options(),
                [this](http::request&& request, http::responder answer) {
                  handle(std::move(request), std::move(answer));
                }) {
    vms_.lag = options.list_lag;
    // Versions start at the current time, so that a version of an earlier run
    // isn't taken for one of this run.
    vms_.version = static_cast<std::uint64_t>(
        clock.wall_now().time_since_epoch() / milliseconds(1));
    vms_.oldest_delta_base = vms_.version;
    control_.set_list_lag_ms(
        static_cast<std::uint32_t>(options.list_lag.count()));
    control_.set_outage(false);
    control_.set_list_outage(false);
    control_.set_append_delay_ms(0);
    control_.set_lose_answers(0);
  }

  http::server& server() { return server_; }
  std::uint64_t appends() const { return appends_; }
  std::uint64_t reads() const { return reads_; }

  void close() {
    waiting_.clear();
    server_.close();
  }

  platform_control control(const platform_control& change) {
    control_.MergeFrom(change);
    vms_.lag = milliseconds(control_.list_lag_ms());
    if (control_.outage()) {
      for (auto& [id, waiting] : waiting_) waiting.answer(unavailable());
      waiting_.clear();
    }
    return control_;
  }

 private:
  void handle(http::request&& request, http::responder answer) {
    std::optional<http::target_parts> target =
        http::parse_target({request.target().data(), request.target().size()});
    if (!target || target->segments.size() < 2 || target->segments[0] != "v1") {
      return not_found(answer);
    }
    const std::string& resource = target->segments[1];
    if (resource == "streams") return handle_stream(request, *target, answer);
    if (resource == "list") return handle_list(request, *target, answer);
    if (resource == "control") return handle_control(request, answer);
    not_found(answer);
  }

  static void not_found(const http::responder& answer) {
    answer(http::error_response(http::status::not_found, "no such resource"));
  }

  void handle_control(const http::request& request,
                      const http::responder& answer) {
    platform_control change;
    error::result<void> parsed = http::from_json(request.body(), &change);
    if (parsed.has_error()) return answer(bad_request(parsed.error()));
    answer(ok(control(change)));
  }

  // ---- Log --------------------------------------------------------------

  void handle_stream(http::request& request, const http::target_parts& target,
                     const http::responder& answer) {
    if (target.segments.size() != 4 || target.segments[3] != "records") {
      return not_found(answer);
    }
    if (control_.outage()) return answer(unavailable());
    const std::string& stream = target.segments[2];
    if (request.method() == http::verb::post) {
      return handle_append(stream, std::move(request.body()), answer);
    }
    handle_read(stream, target, answer);
  }

  void handle_append(const std::string& stream, std::string data,
                     const http::responder& answer) {
    if (!take_append_token(log_, clock_.now())) {
      return answer(http::error_response(http::status::too_many_requests,
                                         "append rate exceeded"));
    }
    if (control_.append_delay_ms() == 0) {
      return append_now(stream, std::move(data), answer);
    }
    std::shared_ptr<clock::timer> timer =
        std::make_shared<clock::timer>(context_);
    timer->expires_after(milliseconds(control_.append_delay_ms()));
    timer->async_wait([this, timer, stream, data = std::move(data), answer,
                       alive = std::weak_ptr<int>(alive_)](
                          boost::system::error_code) mutable {
      if (alive.expired()) return;
      if (control_.outage()) return answer(unavailable());
      append_now(stream, std::move(data), answer);
    });
  }

  void append_now(const std::string& stream, std::string data,
                  const http::responder& answer) {
    error::result<std::uint64_t> offset =
        append(log_, stream, std::move(data), clock_.now());
    if (offset.has_error()) return answer(bad_request(offset.error()));
    answer_waiting_reads(stream);
    if (control_.lose_answers() > 0) {
      control_.set_lose_answers(control_.lose_answers() - 1);
      return answer.drop();
    }
    ++appends_;
    wire::log_append_reply reply;
    reply.set_offset(*offset);
    answer(ok(reply));
  }

  void handle_read(const std::string& stream, const http::target_parts& target,
                   const http::responder& answer) {
    std::optional<std::uint64_t> from = query_number(target, "from", 0);
    std::optional<std::uint64_t> max_count =
        query_number(target, "max", kMaxReadRecords);
    std::optional<std::uint64_t> wait = query_number(target, "wait_ms", 0);
    if (!from || !max_count || !wait) {
      return answer(http::error_response(http::status::bad_request,
                                         "expected numbers", "query"));
    }
    std::size_t limit = std::min<std::size_t>(*max_count, kMaxReadRecords);
    wire::log_read_reply reply = read(log_, stream, *from, limit, clock_.now());
    bool waits_for_record = *wait > 0 && reply.next() == *from;
    if (!waits_for_record) return answer_read(reply, answer);
    milliseconds timeout(std::min<std::uint64_t>(
        *wait, static_cast<std::uint64_t>(kMaxWait.count())));
    wait_for_record(stream, *from, limit, timeout, answer);
  }

  void answer_read(const wire::log_read_reply& reply,
                   const http::responder& answer) {
    ++reads_;
    answer(ok(reply));
  }

  void wait_for_record(const std::string& stream, std::uint64_t from,
                       std::size_t max_count, milliseconds timeout,
                       const http::responder& answer) {
    std::uint64_t id = ++last_waiting_id_;
    waiting_read& added =
        waiting_.try_emplace(id, context_, stream, from, max_count, answer)
            .first->second;
    added.timer.expires_after(timeout);
    added.timer.async_wait([this, id, alive = std::weak_ptr<int>(alive_)](
                               boost::system::error_code cancelled) {
      if (!cancelled && !alive.expired()) end_waiting_read(id);
    });
  }

  void end_waiting_read(std::uint64_t id) {
    auto found = waiting_.find(id);
    if (found == waiting_.end()) return;
    answer_waiting_read(found->second);
    waiting_.erase(found);
  }

  void answer_waiting_read(waiting_read& waiting) {
    answer_read(read(log_, waiting.stream, waiting.from, waiting.max_count,
                     clock_.now()),
                waiting.answer);
  }

  void answer_waiting_reads(const std::string& stream) {
    for (auto i = waiting_.begin(); i != waiting_.end();) {
      if (i->second.stream != stream) {
        ++i;
        continue;
      }
      answer_waiting_read(i->second);
      i = waiting_.erase(i);
    }
  }

  // ---- List -------------------------------------------------------------

  void handle_list(const http::request& request,
                   const http::target_parts& target,
                   const http::responder& answer) {
    if (request.method() == http::verb::get)
      return handle_list_query(target, answer);
    if (request.method() == http::verb::delete_) {
      if (target.segments.size() != 3) return not_found(answer);
      return change_list({vm_removal{target.segments[2]}}, answer);
    }
    std::string kind = target.segments.size() > 2 ? target.segments[2] : "";
    if (kind == "daemons") return add_vm<wire::daemon_vm>(request, answer);
    if (kind == "workers") return add_vm<wire::worker_vm>(request, answer);
    add_vms(request, answer);
  }

  void handle_list_query(const http::target_parts& target,
                         const http::responder& answer) {
    if (control_.list_outage()) return answer(unavailable());
    std::optional<std::uint64_t> since = query_number(target, "since", 0);
    if (!since) {
      return answer(http::error_response(http::status::bad_request,
                                         "expected a number", "since"));
    }
    answer(ok(list_vms(vms_, *since, clock_.now())));
  }

  template <typename vm>
  void add_vm(const http::request& request, const http::responder& answer) {
    vm entry;
    error::result<void> parsed = http::from_json(request.body(), &entry);
    if (parsed.has_error()) return answer(bad_request(parsed.error()));
    change_list({std::move(entry)}, answer);
  }

  void add_vms(const http::request& request, const http::responder& answer) {
    wire::vm_list list;
    error::result<void> parsed = http::from_json(request.body(), &list);
    if (parsed.has_error()) return answer(bad_request(parsed.error()));
    std::vector<vm_change> changes;
    for (const wire::daemon_vm& vm : list.daemons()) changes.push_back(vm);
    for (const wire::worker_vm& vm : list.workers()) changes.push_back(vm);
    for (const std::string& id : list.removed()) {
      changes.push_back(vm_removal{id});
    }
    change_list(std::move(changes), answer);
  }

  void change_list(std::vector<vm_change> changes,
                   const http::responder& answer) {
    for (vm_change& entry : changes) {
      if (!add_change(vms_, std::move(entry), clock_.now())) {
        return answer(http::error_response(http::status::insufficient_storage,
                                           "too many VMs"));
      }
    }
    answer(http::json_response(http::status::ok, "{}"));
  }

  asio::io_context& context_;
  const clock::clock& clock_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  platform_control control_;
  log_store log_;
  vm_table vms_;
  std::map<std::uint64_t, waiting_read> waiting_;
  std::uint64_t last_waiting_id_ = 0;
  std::uint64_t appends_ = 0;
  std::uint64_t reads_ = 0;
  http::server server_;
};

service::service(asio::io_context& context, const clock::clock& clock,
                 const service_options& options)
    : implementation_(
          std::make_unique<implementation>(context, clock, options)) {}

service::~service() = default;

error::result<void> service::listen(std::string_view address) {
  return implementation_->server().listen(address);
}

std::uint16_t service::port() const { return implementation_->server().port(); }

void service::close() { implementation_->close(); }

platform_control service::control(const platform_control& change) {
  return implementation_->control(change);
}

std::uint64_t service::appends() const { return implementation_->appends(); }

std::uint64_t service::reads() const { return implementation_->reads(); }

}  // namespace ebonygrade::standin::platform
