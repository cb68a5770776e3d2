// Links to the other daemons: protobuf envelopes over ZeroMQ (one ROUTER
// socket that is bound, one DEALER socket a peer). Runs in a thread of its
// own; commands come in and reports go out through bounded channels.
//
// A link from which nothing was received for `silence_limit`, although
// heartbeats were sent, is replaced by a new connection, with a growing
// pause between replacements.
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
  milliseconds silence_limit{2000};
  milliseconds max_reconnect_pause{16000};
  std::size_t send_queue = 1000;  // Envelopes a peer; further ones are dropped
                                  // and reported.
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
// The message was not sent: the peer is unknown or its queue is full.
struct undeliverable {
  std::string to;
  wire::envelope message;
};
struct reconnected {
  std::string to;
  milliseconds silent_for{0};
};
// Bytes since the last report, by kind of message and distance of the peer.
struct traffic {
  std::string kind;  // Field name of the envelope's body.
  std::string link;  // "zone", "region" or "cross_region".
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
  void close();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::peer
