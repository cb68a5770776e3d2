// Loopback ports for daemons that a test starts. The ports lie below the range
// that the system uses for outgoing connections; a port of that range may be
// taken by a connection before the daemon listens on it.
#pragma once

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ebonygrade::testsuite {

// Returns ports that are free at the time of the call. Each process starts its
// search at its own part of the range, so that concurrent tests rarely collide.
inline std::vector<std::uint16_t> free_ports(std::size_t count) {
  constexpr std::uint16_t kFirstPort = 20000;
  constexpr std::uint16_t kPortCount = 12000;
  constexpr std::uint16_t kPortsPerProcess = 97;
  static std::uint16_t next_offset = static_cast<std::uint16_t>(
      static_cast<unsigned>(getpid()) * kPortsPerProcess % kPortCount);
  boost::asio::io_context context;
  std::vector<std::uint16_t> ports;
  for (std::uint16_t tries = 0; ports.size() < count && tries < kPortCount;
       ++tries) {
    std::uint16_t port = static_cast<std::uint16_t>(kFirstPort + next_offset);
    next_offset = static_cast<std::uint16_t>((next_offset + 1) % kPortCount);
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
