#include "standin/worker/fleet.h"

#include <optional>
#include <utility>

#include "clock/timer.h"
#include "http/client.h"
#include "http/json.h"
#include "http/server.h"
#include "standin/worker/worker_host.h"

namespace ebonygrade::standin::worker {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kRegisterRetryInterval{200};
constexpr milliseconds kRegisterTimeout{5000};

std::string zone_of(const fleet_options& options, std::size_t rack) {
  return options.zones[rack % options.zones.size()];
}

}  // namespace

class fleet::implementation {
 public:
  implementation(asio::io_context& context, const clock::clock& clock,
                 const fleet_options& options)
      : context_(context),
        options_(options),
        register_timer_(context),
        control_(context, http::server_options(),
                 [this](http::request&& request, http::responder answer) {
                   handle(request, answer);
                 }) {
    std::uint64_t first_boot = static_cast<std::uint64_t>(
        clock.wall_now().time_since_epoch() / milliseconds(1));
    for (std::size_t i = 0; i < options.count; ++i) {
      table_options table;
      table.id = options.prefix + std::to_string(i);
      table.capacity = options.capacity;
      table.retention = options.retention;
      table.usage_lag = options.usage_lag;
      workers_.push_back(std::make_unique<worker_host>(context, clock, table,
                                                       first_boot, &book_));
    }
  }

  error::result<void> open() {
    std::uint16_t port = options_.first_port;
    for (const std::unique_ptr<worker_host>& worker : workers_) {
      error::result<void> opened = worker->open(address(port));
      if (opened.has_error()) return opened;
      if (port != 0) ++port;
    }
    return control_.listen(address(options_.control_port));
  }

  std::uint16_t control_port() const { return control_.port(); }

  wire::vm_list list() const {
    wire::vm_list result;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      std::size_t rack = i / options_.workers_per_rack;
      wire::worker_vm* vm = result.add_workers();
      vm->set_id(workers_[i]->id());
      vm->set_zone(zone_of(options_, rack));
      vm->set_rack(vm->zone() + "-r" + std::to_string(rack));
      vm->set_address(workers_[i]->address());
      *vm->mutable_capacity() = job::to_wire(options_.capacity);
    }
    return result;
  }

  void register_at(std::string_view platform, std::function<void()> done) {
    on_registered_ = std::move(done);
    platform_.emplace(context_, platform, http::client_options());
    send_registration();
  }

  error::result<void> inject(const worker_control& control) {
    worker_host* worker = find(control.worker());
    if (worker == nullptr) {
      return error::failure{error::code::invalid_argument, "inject fault",
                            control.worker(), "worker: no such worker"};
    }
    return worker->inject(control.fault());
  }

  const standin::ledger& ledger() const { return book_.totals; }

  std::size_t connection_count(std::string_view id) const {
    worker_host* worker = find(id);
    return worker == nullptr ? 0 : worker->connection_count();
  }

 private:
  std::string address(std::uint16_t port) const {
    return options_.ip + ":" + std::to_string(port);
  }

  worker_host* find(std::string_view id) const {
    for (const std::unique_ptr<worker_host>& worker : workers_) {
      if (worker->id() == id) return worker.get();
    }
    return nullptr;
  }

  void send_registration() {
    platform_->call("register workers",
                    http::json_request(http::verb::put, "/v1/list",
                                       http::to_compact_json(list())),
                    kRegisterTimeout, [this](http::call_result&& result) {
                      bool accepted = result.has_value() &&
                                      result->result() == http::status::ok;
                      if (accepted) return on_registered_();
                      schedule_registration();
                    });
  }

  void schedule_registration() {
    register_timer_.expires_after(kRegisterRetryInterval);
    register_timer_.async_wait([this](boost::system::error_code cancelled) {
      if (!cancelled) send_registration();
    });
  }

  void handle(const http::request& request, const http::responder& answer) {
    if (request.target() == "/v1/ledger") return answer_with(ledger(), answer);
    if (request.target() == "/v1/workers") return answer_with(list(), answer);
    if (request.target() == "/v1/control") {
      return handle_control(request, answer);
    }
    answer(http::error_response(http::status::not_found, "no such resource"));
  }

  static void answer_with(const google::protobuf::Message& message,
                          const http::responder& answer) {
    answer(http::json_response(http::status::ok, http::to_json(message)));
  }

  void handle_control(const http::request& request,
                      const http::responder& answer) {
    worker_control control;
    error::result<void> done = http::from_json(request.body(), &control);
    if (done.has_value()) done = inject(control);
    if (done.has_value()) {
      return answer(http::json_response(http::status::ok, "{}"));
    }
    answer(http::error_response(http::status::bad_request, done.error().detail,
                                http::failed_field(done.error())));
  }

  asio::io_context& context_;
  fleet_options options_;
  ledger_book book_;
  std::vector<std::unique_ptr<worker_host>> workers_;
  std::function<void()> on_registered_;
  clock::timer register_timer_;
  http::server control_;
  std::optional<http::client> platform_;
};

fleet::fleet(asio::io_context& context, const clock::clock& clock,
             const fleet_options& options)
    : implementation_(
          std::make_unique<implementation>(context, clock, options)) {}

fleet::~fleet() = default;

error::result<void> fleet::open() { return implementation_->open(); }

std::uint16_t fleet::control_port() const {
  return implementation_->control_port();
}

wire::vm_list fleet::list() const { return implementation_->list(); }

void fleet::register_at(std::string_view platform, std::function<void()> done) {
  implementation_->register_at(platform, std::move(done));
}

error::result<void> fleet::inject(const worker_control& control) {
  return implementation_->inject(control);
}

const standin::ledger& fleet::ledger() const {
  return implementation_->ledger();
}

std::size_t fleet::connection_count(std::string_view worker) const {
  return implementation_->connection_count(worker);
}

}  // namespace ebonygrade::standin::worker
