// A ZeroMQ socket that reports on a boost::asio::io_context when it can be
// read. For use inside the peer slice.
//
// The descriptor of a ZeroMQ socket is edge triggered: it tells only that the
// events may have changed. So `read` takes every message that is present, and
// it must also be called after each `try_send`, which may consume an edge.
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

  // Calls `on_ready` on the context whenever there may be something to read,
  // until close().
  void watch(std::function<void()> on_ready);

  // Sends all parts without waiting. False if the queue is full or there is
  // no connection; nothing is sent then.
  bool try_send(std::vector<zmq::message_t> parts);

  // Reads one message of any number of parts. False if there is none.
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
