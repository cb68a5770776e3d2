// Links to the other daemons: protobuf envelopes over ZeroMQ, with one bound
// ROUTER socket for receiving and one DEALER socket per peer for sending. Runs
// in its own thread; commands arrive and reports leave through bounded
// channels.
//
// The core sends heartbeats. The receiving link replies to each of them on the
// connection on which it arrived; these replies are not reported. When other
// messages are sent, the link adds probes, which are replied to likewise. A
// connection without a reply to its heartbeats or probes for `silence_limit` is
// replaced by a new one; the delay between replacements grows and has jitter.
// All other messages use the sender's own connection to the receiver, so each
// connection carries messages in one direction only.
//
// Delivery is not guaranteed: a message that was accepted may be lost with its
// connection. Sends never block. While `reports` is full, nothing is read, so a
// slow receiver fills the bounded queues of its senders, which then report
// `undeliverable`.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "clock/clock.h"
#include "error/error.h"
#include "ring/channel.h"
#include "wire/peer.pb.h"

namespace ebonygrade::peer {

using clock::milliseconds;

struct link_options {
  std::string self;  // Daemon id.
  std::uint64_t incarnation = 0;
  std::string listen_address;  // IP:PORT
  std::string zone;
  std::string region;
  // Time without a reply after which a connection is replaced.
  milliseconds silence_limit{2000};
  // Maximum of the growing delay between replacements.
  milliseconds max_reconnect_pause{16000};
  // Interval of ZeroMQ's own heartbeats, for idle connections.
  milliseconds idle_heartbeat_interval{10000};
  // Envelopes queued per peer; any further ones are dropped and reported.
  std::size_t send_queue = 1000;
  // Bytes per peer that are sent but not acknowledged; any further messages are
  // dropped and reported. A larger message may be sent when nothing else is
  // unacknowledged.
  std::uint64_t window_bytes = 1 << 20;
  // The same for a connection that has received no reply yet.
  std::uint64_t initial_window_bytes = 64 << 10;
};

struct peer_address {
  std::string id;
  std::string address;  // IP:PORT
  std::string zone;
  std::string region;

  friend bool operator==(const peer_address&, const peer_address&) = default;
};

// ---- Commands -----------------------------------------------------------

// Replaces the set of peers; connections to all other daemons are closed.
struct set_peers {
  std::vector<peer_address> peers;
};
// The link sets `from` and `incarnation` of the message.
struct send {
  std::string to;
  wire::envelope message;
};
using command = std::variant<set_peers, send>;

// ---- Reports ------------------------------------------------------------

struct received {
  wire::envelope message;
};
// The message was not sent: the peer is unknown, has no connection, or its
// queue or window is full. Not reported for heartbeats.
struct undeliverable {
  std::string to;
  wire::envelope message;
};
// The connection to a peer became unresponsive and has been replaced; messages
// sent recently may be lost.
struct reconnected {
  std::string to;
  milliseconds unresponsive_for{0};
};
// Bytes of envelopes since the previous report, by kind of message and distance
// to the peer.
struct traffic {
  std::string kind;  // Field name of the envelope's body.
  std::string link;  // "zone", "region", "cross_region", or "unknown" for a
                     // sender that is not among the peers.
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
};
using report = std::variant<received, undeliverable, reconnected, traffic>;

// Runs on `context`, which the caller runs in a thread of its own.
class link {
 public:
  // Throws std::system_error when the address can't be bound.
  link(boost::asio::io_context& context, const clock::clock& clock,
       const link_options& options, ring::channel<report>& reports);
  ~link();

  // Called on `context`.
  void handle(command&& command);
  // Closes all connections; the context has no more work from this link.
  void close();

  // The bound IP:PORT, for a `listen_address` with port 0.
  std::string bound_address() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::peer
