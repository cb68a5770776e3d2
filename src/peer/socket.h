// A ZeroMQ socket that signals readability on a boost::asio::io_context.
// Internal to src/peer.
//
// The descriptor of a ZeroMQ socket is edge triggered and signals only that the
// events may have changed. `try_read` must therefore be called until it returns
// false, also after each `try_send`, which may consume a signal.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>
#include <zmq.hpp>

namespace ebonygrade::peer {

class socket : public std::enable_shared_from_this<socket> {
 public:
  socket(boost::asio::io_context& context, zmq::context_t& zmq,
         zmq::socket_type type);
  ~socket();

  zmq::socket_t& raw() { return socket_; }

  // Calls `on_ready` on the context whenever there may be a message to read,
  // until close().
  void watch(std::function<void()> on_ready);

  // Sends all parts without blocking. If the queue is full or there is no
  // connection, sends nothing and returns false.
  bool try_send(std::vector<zmq::message_t> parts);

  // Reads one message with any number of parts. Returns false if there is none.
  bool try_read(std::vector<zmq::message_t>* parts);

  void close();

 private:
  void wait();

  zmq::socket_t socket_;
  boost::asio::posix::stream_descriptor descriptor_;
  std::function<void()> on_ready_;
  bool closed_ = false;
};

}  // namespace ebonygrade::peer
