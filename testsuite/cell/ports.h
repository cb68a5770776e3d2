// Ports of loopback for daemons that a test starts. They lie below the range
// from which the system gives out ports for outgoing connections; a port from
// that range may be taken by a connection before the daemon listens on it.
#pragma once

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ebonygrade::testsuite {

// Free when asked for. Each process looks in its own part of the range first.
inline std::vector<std::uint16_t> free_ports(std::size_t count) {
  constexpr std::uint16_t kFirst = 20000;
  constexpr std::uint16_t kCount = 12000;
  constexpr std::uint16_t kPartOfProcess = 97;
  static std::uint16_t next = static_cast<std::uint16_t>(
      static_cast<unsigned>(getpid()) * kPartOfProcess % kCount);
  boost::asio::io_context context;
  std::vector<std::uint16_t> ports;
  for (std::uint16_t tried = 0; ports.size() < count && tried < kCount;
       ++tried) {
    std::uint16_t port = static_cast<std::uint16_t>(kFirst + next);
    next = static_cast<std::uint16_t>((next + 1) % kCount);
    boost::asio::ip::tcp::acceptor probe(context);
    boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::address_v4::loopback(), port);
    boost::system::error_code failed;
    probe.open(endpoint.protocol());
    probe.set_option(boost::asio::socket_base::reuse_address(true));
    probe.bind(endpoint, failed);
    if (!failed) ports.push_back(port);
  }
  return ports;
}

}  // namespace ebonygrade::testsuite
