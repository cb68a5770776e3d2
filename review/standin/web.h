// HTTP/1.1 server and client of the stand-ins, on one io_context.
#pragma once

#include <unistd.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;
// Returns nothing to close the connection without a reply.
using handler = std::function<asio::awaitable<std::optional<response>>(
    const request& received)>;

inline constexpr int kHttpVersion = 11;
inline constexpr std::uint64_t kMaxBodyBytes = 16U << 20U;

inline response make_reply(unsigned status, std::string body,
                           const char* type = "application/json") {
  response reply{static_cast<http::status>(status), kHttpVersion};
  reply.set(http::field::content_type, type);
  reply.body() = std::move(body);
  reply.prepare_payload();
  return reply;
}

inline asio::awaitable<void> pause(milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(time);
  co_await timer.async_wait(asio::use_awaitable);
}

inline asio::awaitable<void> serve_connection(tcp::socket socket,
                                              handler handle) {
  try {
    socket.set_option(tcp::no_delay(true));
    beast::flat_buffer buffer;
    while (true) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxBodyBytes);
      co_await http::async_read(socket, buffer, parser, asio::use_awaitable);
      std::optional<response> reply = co_await handle(parser.get());
      if (!reply) co_return;
      reply->keep_alive(parser.get().keep_alive());
      co_await http::async_write(socket, *reply, asio::use_awaitable);
      if (!parser.get().keep_alive()) co_return;
    }
  } catch (const std::exception&) {
    // The peer has closed the connection.
  }
}

inline asio::awaitable<void> accept_all(std::shared_ptr<tcp::acceptor> from,
                                        handler handle) {
  try {
    while (true) {
      tcp::socket socket = co_await from->async_accept(asio::use_awaitable);
      asio::co_spawn(from->get_executor(),
                     serve_connection(std::move(socket), handle),
                     asio::detached);
    }
  } catch (const std::exception&) {
    // Closed.
  }
}

// Serves on a free port of the loopback address, which it returns.
inline std::string serve(asio::io_context* context, handler handle) {
  std::shared_ptr<tcp::acceptor> acceptor = std::make_shared<tcp::acceptor>(
      *context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  asio::co_spawn(*context, accept_all(acceptor, std::move(handle)),
                 asio::detached);
  return "127.0.0.1:" + std::to_string(acceptor->local_endpoint().port());
}

// A port of the loopback address that is free now. Not one of those that the
// kernel gives to outgoing connections, which could take it meanwhile; cases
// that run at the same time begin at different ports.
inline std::string free_address(asio::io_context* context) {
  constexpr int kFirstPort = 20000;
  constexpr int kPorts = 12000;
  constexpr int kPortsPerProcess = 16;
  static int next = getpid() * kPortsPerProcess % kPorts;
  for (int tried = 0; tried < kPorts; ++tried) {
    int port = kFirstPort + next;
    next = (next + 1) % kPorts;
    tcp::acceptor acceptor(*context);
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    boost::system::error_code taken;
    acceptor.bind(tcp::endpoint(asio::ip::address_v4::loopback(),
                                static_cast<std::uint16_t>(port)),
                  taken);
    if (!taken) return "127.0.0.1:" + std::to_string(port);
  }
  return "127.0.0.1:1";
}

struct call_result {
  int status = 0;  // 0: no reply.
  std::string body;
};

inline asio::awaitable<call_result> call(
    std::string address, http::verb method, std::string target,
    std::string body, std::map<std::string, std::string> headers,
    milliseconds timeout) {
  call_result result;
  try {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    std::size_t colon = address.find(':');
    tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
                           static_cast<std::uint16_t>(std::strtoul(
                               address.c_str() + colon + 1, nullptr, 10)));
    co_await stream.async_connect(endpoint, asio::use_awaitable);
    request sent{method, target, kHttpVersion};
    for (const std::pair<const std::string, std::string>& each : headers) {
      sent.set(each.first, each.second);
    }
    if (!body.empty()) sent.set(http::field::content_type, "application/json");
    sent.body() = std::move(body);
    sent.prepare_payload();
    co_await http::async_write(stream, sent, asio::use_awaitable);
    beast::flat_buffer buffer;
    response reply;
    co_await http::async_read(stream, buffer, reply, asio::use_awaitable);
    result.status = static_cast<int>(reply.result_int());
    result.body = reply.body();
  } catch (const std::exception&) {
    result.status = 0;
  }
  co_return result;
}

}  // namespace review
