#include "peer/connection.h"

#include <utility>
#include <vector>

namespace ebonygrade::peer {

namespace {

constexpr int kReplyQueueLength = 16;
// Delays of ZeroMQ's own reconnects after a refused connection.
constexpr milliseconds kMinReconnectDelay{100};
constexpr milliseconds kMaxReconnectDelay{2000};
constexpr int kProbesPerSilenceLimit = 4;
// Set in the sequence numbers of probes, clear in those of heartbeats.
constexpr std::uint64_t kProbeBit = std::uint64_t{1} << 63;

int to_int(milliseconds value) { return static_cast<int>(value.count()); }

void set_options(zmq::socket_t& raw, const link_options& options) {
  int limit = to_int(options.silence_limit);
  raw.set(zmq::sockopt::linger, 0);
  raw.set(zmq::sockopt::tcp_keepalive, 1);
  raw.set(zmq::sockopt::sndhwm, static_cast<int>(options.send_queue));
  raw.set(zmq::sockopt::rcvhwm, kReplyQueueLength);
  raw.set(zmq::sockopt::immediate, true);
  raw.set(zmq::sockopt::connect_timeout, limit);
  raw.set(zmq::sockopt::reconnect_ivl, to_int(kMinReconnectDelay));
  raw.set(zmq::sockopt::reconnect_ivl_max, to_int(kMaxReconnectDelay));
  // ZeroMQ's heartbeats check idle connections, which carry neither heartbeats
  // nor probes of the link.
  int idle = to_int(options.idle_heartbeat_interval);
  raw.set(zmq::sockopt::heartbeat_ivl, idle);
  raw.set(zmq::sockopt::heartbeat_timeout, limit);
  raw.set(zmq::sockopt::heartbeat_ttl, 2 * idle + limit);
}

}  // namespace

zmq::message_t serialise(const wire::envelope& message) {
  zmq::message_t frame(message.ByteSizeLong());
  message.SerializeToArray(frame.data(), static_cast<int>(frame.size()));
  return frame;
}

bool parse(const zmq::message_t& frame, wire::envelope* message) {
  return message->ParseFromArray(frame.data(), static_cast<int>(frame.size()));
}

connection::connection(boost::asio::io_context& context, zmq::context_t& zmq,
                       const link_options& options, peer_address address)
    : context_(context),
      zmq_(zmq),
      options_(options),
      address_(std::move(address)),
      distance_(distance_to(options.zone, options.region, address_)),
      liveness_options_{options.silence_limit, options.max_reconnect_pause},
      window_options_{options.window_bytes, options.initial_window_bytes} {}

connection::~connection() {
  if (dealer_) dealer_->close();
}

void connection::open(std::function<void()> on_ready) {
  if (dealer_) dealer_->close();
  window_ = window_state{};
  last_probe_ = steady_time{};
  dealer_ = std::make_shared<socket>(context_, zmq_, zmq::socket_type::dealer);
  set_options(dealer_->raw(), options_);
  dealer_->watch(std::move(on_ready));
  try {
    dealer_->raw().connect("tcp://" + address_.address);
  } catch (const zmq::error_t&) {
    // The address is invalid: sends fail until the list has a valid one.
  }
}

bool connection::send(const wire::envelope& message, steady_time now,
                      traffic_counters& traffic) {
  bool sent = write(message, traffic);
  if (message.has_heartbeat()) {
    std::uint64_t sequence = message.heartbeat().sequence();
    record_heartbeat(liveness_, sequence, now);
    if (sent) record_mark(window_, sequence);
  } else {
    probe_if_due(now, traffic);
  }
  read(now, traffic);
  return sent;
}

bool connection::write(const wire::envelope& message,
                       traffic_counters& traffic) {
  zmq::message_t frame = serialise(message);
  std::uint64_t bytes = frame.size();
  bool is_mark = message.has_heartbeat() || message.has_probe();
  if (!is_mark && !can_send(window_, window_options_, bytes)) return false;
  std::vector<zmq::message_t> parts;
  parts.push_back(std::move(frame));
  if (!dealer_->try_send(std::move(parts))) return false;
  if (!is_mark) count_sent(window_, bytes);
  traffic.count_sent(message.body_case(), distance_, bytes);
  return true;
}

void connection::probe_if_due(steady_time now, traffic_counters& traffic) {
  bool interval_elapsed =
      now - last_probe_ >= options_.silence_limit / kProbesPerSilenceLimit;
  bool is_due = interval_elapsed || needs_mark(window_, window_options_);
  if (!is_due) return;
  last_probe_ = now;
  wire::envelope message;
  message.set_from(options_.self);
  message.set_incarnation(options_.incarnation);
  std::uint64_t sequence = kProbeBit | ++probe_count_;
  message.mutable_probe()->set_sequence(sequence);
  bool sent = write(message, traffic);
  record_heartbeat(liveness_, sequence, now);
  if (sent) record_mark(window_, sequence);
}

void connection::read(steady_time now, traffic_counters& traffic) {
  std::vector<zmq::message_t> parts;
  while (dealer_->try_read(&parts)) {
    wire::envelope message;
    if (!parse(parts.back(), &message)) continue;
    traffic.count_received(message.body_case(), distance_, parts.back().size());
    if (!message.has_heartbeat_reply()) continue;
    std::uint64_t sequence = message.heartbeat_reply().sequence();
    record_reply(liveness_, sequence, now);
    record_mark_reply(window_, sequence);
  }
}

bool connection::should_reconnect(steady_time now) const {
  return peer::should_reconnect(liveness_, liveness_options_, now);
}

milliseconds connection::unresponsive_for(steady_time now) const {
  return peer::unresponsive_for(liveness_, now);
}

void connection::record_reconnect(std::mt19937_64& random) {
  peer::record_reconnect(liveness_, liveness_options_, random);
}

}  // namespace ebonygrade::peer
