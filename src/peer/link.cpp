#include "peer/link.h"

#include <boost/asio/post.hpp>
#include <deque>
#include <map>
#include <random>
#include <system_error>
#include <utility>

#include "clock/timer.h"
#include "peer/connection.h"
#include "peer/socket.h"
#include "peer/traffic.h"

namespace ebonygrade::peer {

namespace {

constexpr milliseconds kLivenessCheckInterval{50};
constexpr milliseconds kTrafficInterval{1000};
// Delay before reading goes on after the report channel was full.
constexpr milliseconds kFullChannelRetryDelay{2};
constexpr std::size_t kMaxPendingReports = 4096;
constexpr int kMaxReadsPerCallback = 256;
constexpr int kReplyQueueLength = 16;  // Queued heartbeat replies per peer.
constexpr std::int64_t kMaxEnvelopeBytes = 64 << 20;
constexpr int kMaxSockets = 2048;

std::string without_scheme(const std::string& endpoint) {
  constexpr std::string_view kScheme = "tcp://";
  return endpoint.substr(kScheme.size());
}

}  // namespace

class link::implementation
    : public std::enable_shared_from_this<link::implementation> {
 public:
  implementation(boost::asio::io_context& context, const clock::clock& clock,
                 const link_options& options, ring::channel<report>& reports)
      : context_(context),
        clock_(clock),
        options_(options),
        reports_(reports),
        zmq_(1),
        check_timer_(context),
        retry_timer_(context),
        random_(options.incarnation ^ std::hash<std::string>()(options.self)) {
    zmq_.set(zmq::ctxopt::max_sockets, kMaxSockets);
  }

  void start() {
    router_ =
        std::make_shared<socket>(context_, zmq_, zmq::socket_type::router);
    router_->raw().set(zmq::sockopt::linger, 0);
    router_->raw().set(zmq::sockopt::tcp_keepalive, 1);
    router_->raw().set(zmq::sockopt::rcvhwm,
                       static_cast<int>(options_.send_queue));
    router_->raw().set(zmq::sockopt::sndhwm, kReplyQueueLength);
    router_->raw().set(zmq::sockopt::maxmsgsize, kMaxEnvelopeBytes);
    bind();
    router_->watch([this] { read_router(); });
    schedule_check();
  }

  void handle(command&& value) {
    if (closed_) return;
    if (set_peers* replacement = std::get_if<set_peers>(&value)) {
      replace_peers(std::move(replacement->peers));
    } else {
      send_to(std::move(std::get<send>(value)));
    }
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    check_timer_.cancel();
    retry_timer_.cancel();
    peers_.clear();
    router_->close();
  }

  std::string bound_address() const {
    return without_scheme(router_->raw().get(zmq::sockopt::last_endpoint));
  }

 private:
  using connection_map = std::map<std::string, std::unique_ptr<connection>>;

  // ---- Sockets ----------------------------------------------------------

  void bind() {
    try {
      router_->raw().bind("tcp://" + options_.listen_address);
    } catch (const zmq::error_t& error) {
      throw std::system_error(error.num(), std::generic_category(),
                              "bind " + options_.listen_address);
    }
  }

  void open(connection& peer) {
    std::string id = peer.address().id;
    peer.open([this, id] { read_connection(id); });
  }

  // ---- Commands ---------------------------------------------------------

  void replace_peers(std::vector<peer_address> addresses) {
    connection_map kept;
    for (peer_address& address : addresses) {
      if (address.id == options_.self || kept.count(address.id) > 0) continue;
      keep_or_open(std::move(address), kept);
    }
    peers_ = std::move(kept);
  }

  // Moves the connection to this address to `kept`, or opens one if there is
  // none.
  void keep_or_open(peer_address&& address, connection_map& kept) {
    connection_map::iterator old = peers_.find(address.id);
    std::string id = address.id;
    if (old != peers_.end() && old->second->address() == address) {
      kept.emplace(id, std::move(old->second));
      peers_.erase(old);
      return;
    }
    std::unique_ptr<connection>& peer = kept[id];
    peer = std::make_unique<connection>(context_, zmq_, options_,
                                        std::move(address));
    open(*peer);
  }

  void send_to(send&& outgoing) {
    connection_map::iterator found = peers_.find(outgoing.to);
    outgoing.message.set_from(options_.self);
    outgoing.message.set_incarnation(options_.incarnation);
    bool sent = found != peers_.end() &&
                found->second->send(outgoing.message, clock_.now(), traffic_);
    if (sent || outgoing.message.has_heartbeat()) return;
    send_report(
        undeliverable{std::move(outgoing.to), std::move(outgoing.message)});
  }

  // ---- Receiving --------------------------------------------------------

  void read_connection(const std::string& id) {
    connection_map::iterator found = peers_.find(id);
    if (closed_ || found == peers_.end()) return;
    found->second->read(clock_.now(), traffic_);
  }

  void read_router() {
    if (closed_) return;
    if (reports_full_) {
      // Reading the events resets the edge-triggered descriptor, so that it
      // doesn't signal again before the retry.
      static_cast<void>(router_->raw().get(zmq::sockopt::events));
      return;
    }
    std::vector<zmq::message_t> parts;
    for (int reads = 0; reads < kMaxReadsPerCallback; ++reads) {
      if (!has_report_space()) return retry_read_later();
      if (!router_->try_read(&parts)) return;
      receive(parts);
    }
    boost::asio::post(context_,
                      [self = shared_from_this()] { self->read_router(); });
  }

  void receive(std::vector<zmq::message_t>& parts) {
    wire::envelope message;
    if (!parse(parts.back(), &message)) return;
    traffic_.count_received(message.body_case(), distance_of(message.from()),
                            parts.back().size());
    if (message.has_probe()) {
      send_reply(parts.front(), message, message.probe().sequence());
      return;
    }
    if (message.has_heartbeat()) {
      send_reply(parts.front(), message, message.heartbeat().sequence());
    }
    send_report(received{std::move(message)});
  }

  void send_reply(zmq::message_t& sender, const wire::envelope& message,
                  std::uint64_t sequence) {
    // The reply needs no sender: the connection identifies it.
    wire::envelope reply;
    reply.mutable_heartbeat_reply()->set_sequence(sequence);
    std::vector<zmq::message_t> parts;
    parts.push_back(std::move(sender));
    parts.push_back(serialise(reply));
    std::uint64_t bytes = parts.back().size();
    if (!router_->try_send(std::move(parts))) return;
    traffic_.count_sent(reply.body_case(), distance_of(message.from()), bytes);
  }

  distance distance_of(const std::string& id) const {
    connection_map::const_iterator found = peers_.find(id);
    return found == peers_.end() ? distance::unknown
                                 : found->second->peer_distance();
  }

  // ---- Reports ----------------------------------------------------------

  bool has_report_space() {
    flush_pending();
    return pending_reports_.empty() && reports_.free_space() > 0;
  }

  void flush_pending() {
    while (!pending_reports_.empty() &&
           reports_.try_send(pending_reports_.front())) {
      pending_reports_.pop_front();
    }
  }

  // Drops the report if both the channel and `pending_reports_` are full.
  void send_report(report value) {
    flush_pending();
    if (pending_reports_.empty() && reports_.try_send(value)) return;
    if (pending_reports_.size() < kMaxPendingReports) {
      pending_reports_.push_back(std::move(value));
    }
  }

  void retry_read_later() {
    reports_full_ = true;
    retry_timer_.expires_after(kFullChannelRetryDelay);
    retry_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error || self->closed_) return;
          self->reports_full_ = false;
          self->read_router();
        });
  }

  // ---- Liveness ---------------------------------------------------------

  void schedule_check() {
    check_timer_.expires_after(kLivenessCheckInterval);
    check_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error || self->closed_) return;
          self->check_connections();
          self->schedule_check();
        });
  }

  void check_connections() {
    steady_time now = clock_.now();
    for (auto& [id, peer] : peers_) {
      if (!peer->should_reconnect(now)) continue;
      milliseconds unresponsive_time = peer->unresponsive_for(now);
      peer->record_reconnect(random_);
      open(*peer);
      send_report(reconnected{id, unresponsive_time});
    }
    flush_pending();
    report_traffic(now);
  }

  void report_traffic(steady_time now) {
    if (now - last_traffic_report_ < kTrafficInterval) return;
    last_traffic_report_ = now;
    for (traffic& each : traffic_.take()) send_report(std::move(each));
  }

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  const link_options options_;
  ring::channel<report>& reports_;
  zmq::context_t zmq_;
  std::shared_ptr<socket> router_;
  connection_map peers_;
  std::deque<report> pending_reports_;
  traffic_counters traffic_;
  clock::timer check_timer_;
  clock::timer retry_timer_;
  std::mt19937_64 random_;
  steady_time last_traffic_report_;
  bool reports_full_ = false;
  bool closed_ = false;
};

link::link(boost::asio::io_context& context, const clock::clock& clock,
           const link_options& options, ring::channel<report>& reports)
    : implementation_(
          std::make_shared<implementation>(context, clock, options, reports)) {
  implementation_->start();
}

link::~link() { implementation_->close(); }

void link::handle(command&& command) {
  implementation_->handle(std::move(command));
}

void link::close() { implementation_->close(); }

std::string link::bound_address() const {
  return implementation_->bound_address();
}

}  // namespace ebonygrade::peer
