// Links to the other daemons: protobuf envelopes over ZeroMQ (one ROUTER
// socket that is bound, one DEALER socket a peer). Runs in a thread of its
// own; commands come in and reports go out through bounded channels.
//
// The core sends heartbeats; the link at the other end answers each one on
// the connection it came by, and these replies are not reported. Where other
// messages are sent, the link adds probes of its own, which are answered
// likewise. A connection whose heartbeats or probes have gone unanswered for
// `silence_limit` is replaced by a new one, with a growing, jittered pause
// between replacements. All other
// messages travel by the sender's own connection to the receiver, so each
// connection carries one direction.
//
// Delivery is not certain: a message that was taken may be lost with its
// connection. Sends never wait. While `reports` is full nothing is read, so a
// slow receiver fills its senders' queues, which are bounded, and they get
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
  milliseconds silence_limit{2000};
  milliseconds max_reconnect_pause{16000};
  milliseconds idle_heartbeat_interval{
      10000};                     // Of ZeroMQ, on idle connections.
  std::size_t send_queue = 1000;  // Envelopes a peer; further ones are dropped
                                  // and reported.
  // Bytes a peer that it has not been shown to have read; further messages
  // are dropped and reported. A single larger message may be sent alone.
  std::uint64_t window_bytes = 1 << 20;
  std::uint64_t initial_window_bytes = 64 << 10;  // Of a new connection.
};

struct peer_address {
  std::string id;
  std::string address;  // IP:PORT
  std::string zone;
  std::string region;

  friend bool operator==(const peer_address&, const peer_address&) = default;
};

// ---- Commands -----------------------------------------------------------

// Replaces the set of peers; links to the others are closed.
struct set_peers {
  std::vector<peer_address> peers;
};
// `from` and `incarnation` are filled in.
struct send {
  std::string to;
  wire::envelope message;
};
using command = std::variant<set_peers, send>;

// ---- Reports ------------------------------------------------------------

struct received {
  wire::envelope message;
};
// The message was not sent: the peer is unknown, there is no connection to it
// now, or its queue is full. Not reported for heartbeats.
struct undeliverable {
  std::string to;
  wire::envelope message;
};
// The connection to a peer was silent and has been replaced; what was sent by
// it of late may be lost.
struct reconnected {
  std::string to;
  milliseconds unresponsive_for{0};
};
// Bytes of envelopes since the last report, by kind of message and distance
// of the peer.
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
  // Closes all connections, so that the context can run out of work.
  void close();

  // IP:PORT that is bound; of use when port 0 was asked for.
  std::string bound_address() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::peer
