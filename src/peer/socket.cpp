#include "peer/socket.h"

#include <cerrno>
#include <utility>

namespace ebonygrade::peer {

namespace {

// Repeats `operation` while a signal interrupts it. Returns false if it fails.
template <typename F>
bool retry_on_interrupt(F&& operation) {
  int result = operation();
  while (result < 0 && zmq_errno() == EINTR) result = operation();
  return result >= 0;
}

}  // namespace

socket::socket(boost::asio::io_context& context, zmq::context_t& zmq,
               zmq::socket_type type)
    : socket_(zmq, type), descriptor_(context, socket_.get(zmq::sockopt::fd)) {}

socket::~socket() { close(); }

void socket::watch(std::function<void()> on_ready) {
  on_ready_ = std::move(on_ready);
  wait();
}

void socket::wait() {
  std::weak_ptr<socket> weak = weak_from_this();
  descriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                         [weak](const boost::system::error_code& error) {
                           std::shared_ptr<socket> self = weak.lock();
                           if (error || !self || self->closed_) return;
                           self->on_ready_();
                           if (!self->closed_) self->wait();
                         });
}

bool socket::try_send(std::vector<zmq::message_t> parts) {
  for (std::size_t i = 0; i < parts.size(); ++i) {
    int flags = ZMQ_DONTWAIT;
    if (i + 1 < parts.size()) flags |= ZMQ_SNDMORE;
    if (!retry_on_interrupt([&] {
          return zmq_msg_send(parts[i].handle(), socket_.handle(), flags);
        })) {
      return false;
    }
  }
  return true;
}

bool socket::try_read(std::vector<zmq::message_t>* parts) {
  parts->clear();
  bool more = true;
  while (more) {
    zmq::message_t part;
    if (!retry_on_interrupt([&] {
          return zmq_msg_recv(part.handle(), socket_.handle(), ZMQ_DONTWAIT);
        })) {
      return false;
    }
    more = part.more();
    parts->push_back(std::move(part));
  }
  return true;
}

void socket::close() {
  if (closed_) return;
  closed_ = true;
  // ZeroMQ owns the descriptor, so it is released and not closed.
  descriptor_.cancel();
  descriptor_.release();
  socket_.close();
}

}  // namespace ebonygrade::peer
