// The connection to one peer: a DEALER socket with its liveness state and its
// window of unacknowledged bytes. Internal to src/peer; runs on the link's
// context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>
#include <zmq.hpp>

#include "peer/link.h"
#include "peer/liveness.h"
#include "peer/socket.h"
#include "peer/traffic.h"
#include "peer/window.h"

namespace ebonygrade::peer {

class connection {
 public:
  connection(boost::asio::io_context& context, zmq::context_t& zmq,
             const link_options& options, peer_address address);
  ~connection();

  const peer_address& address() const { return address_; }
  distance peer_distance() const { return distance_; }

  // Connects, or reconnects; messages queued on the old socket are lost.
  // `on_ready` is called when there may be replies to read().
  void open(std::function<void()> on_ready);

  // Sends without blocking. Returns false if there is no connection or if the
  // queue or the window is full. Adds a probe when one is due.
  bool send(const wire::envelope& message, steady_time now,
            traffic_counters& traffic);

  // Reads and records the replies that have arrived.
  void read(steady_time now, traffic_counters& traffic);

  bool should_reconnect(steady_time now) const;
  // Time without a reply.
  milliseconds unresponsive_for(steady_time now) const;
  // To be called before an unresponsive connection is reopened.
  void record_reconnect(std::mt19937_64& random);

 private:
  bool write(const wire::envelope& message, traffic_counters& traffic);
  void probe_if_due(steady_time now, traffic_counters& traffic);

  boost::asio::io_context& context_;
  zmq::context_t& zmq_;
  const link_options& options_;
  peer_address address_;
  distance distance_;
  std::shared_ptr<socket> dealer_;
  liveness_options liveness_options_;
  liveness_state liveness_;
  window_options window_options_;
  window_state window_;
  steady_time last_probe_;
  std::uint64_t probe_count_ = 0;
};

// Serialises a message as one frame.
zmq::message_t serialise(const wire::envelope& message);
// Returns false if the frame doesn't contain an envelope.
bool parse(const zmq::message_t& frame, wire::envelope* message);

}  // namespace ebonygrade::peer
