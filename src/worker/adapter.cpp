#include "worker/adapter.h"

#include <functional>
#include <unordered_map>
#include <utility>

#include "worker/follower_pvt.h"

namespace ebonygrade::worker {

class adapter::implementation {
 public:
  implementation(boost::asio::io_context& context, const clock::clock& clock,
                 const adapter_options& options, ring::channel<report>& reports)
      : reports_(context, reports, [this] { resume(); }),
        shared_{context, clock, options, reports_,
                std::mt19937(static_cast<std::uint32_t>(
                    std::hash<std::string>()(options.self)))} {}

  void handle(command&& command) {
    std::visit([this](auto&& alternative) { on(std::move(alternative)); },
               std::move(command));
  }

  void close() {
    closed_ = true;
    followers_.clear();
    reports_.close();
  }

  http::client_traffic traffic() const {
    http::client_traffic sum = past_traffic_;
    for (const auto& [worker, follower] : followers_) {
      add(follower->traffic(), &sum);
    }
    return sum;
  }

 private:
  void on(watch&& command) {
    auto found = followers_.find(command.worker);
    if (found == followers_.end()) return follow(command);
    if (found->second->address() == command.address) {
      return found->second->fence_under(command.epoch);
    }
    erase(found);
    follow(command);
  }

  void on(unwatch&& command) {
    auto found = followers_.find(command.worker);
    if (found != followers_.end()) erase(found);
  }

  void on(start&& command) {
    auto found = followers_.find(command.worker);
    if (found != followers_.end()) {
      return found->second->add_start(std::move(command));
    }
    reports_.send(start_answered{
        command.worker, job::from_wire(command.task.key()), wire::rejected});
  }

  void on(stop&& command) {
    auto found = followers_.find(command.worker);
    if (found != followers_.end()) found->second->add_stop(std::move(command));
  }

  void follow(const watch& command) {
    if (closed_) return;
    followers_.emplace(command.worker,
                       std::make_shared<follower>(shared_, command));
  }

  using follower_map =
      std::unordered_map<std::string, std::shared_ptr<follower>>;

  void erase(follower_map::iterator found) {
    add(found->second->traffic(), &past_traffic_);
    followers_.erase(found);
  }

  static void add(const http::client_traffic& traffic,
                  http::client_traffic* sum) {
    sum->calls += traffic.calls;
    sum->connects += traffic.connects;
    sum->bytes_sent += traffic.bytes_sent;
    sum->bytes_received += traffic.bytes_received;
  }

  // Followers send no starts, stops or polls while reports are queued.
  void resume() {
    for (const auto& [worker, follower] : followers_) follower->resume();
  }

  ring::flushing_outbox<report> reports_;
  follower_context shared_;
  follower_map followers_;
  http::client_traffic past_traffic_;
  bool closed_ = false;
};

adapter::adapter(boost::asio::io_context& context, const clock::clock& clock,
                 const adapter_options& options, ring::channel<report>& reports)
    : implementation_(
          std::make_unique<implementation>(context, clock, options, reports)) {}

adapter::~adapter() = default;

void adapter::handle(command&& command) {
  implementation_->handle(std::move(command));
}

void adapter::close() { implementation_->close(); }

http::client_traffic adapter::traffic() const {
  return implementation_->traffic();
}

}  // namespace ebonygrade::worker
