#include "cell/http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace ebonygrade::testsuite {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::uint64_t kMaxReplyBytes = 256 << 20;

std::optional<tcp::endpoint> to_endpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code failed;
  const boost::asio::ip::address ip =
      boost::asio::ip::make_address(address.substr(0, colon), failed);
  if (failed) return std::nullopt;
  return tcp::endpoint(
      ip, static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
}

// One exchange: connects, writes the request and reads the reply.
struct exchange {
  explicit exchange(boost::asio::io_context& context) : stream(context) {
    parser.body_limit(kMaxReplyBytes);
  }

  void start(const tcp::endpoint& endpoint) {
    stream.async_connect(endpoint, [this](boost::system::error_code failed) {
      if (!failed) write();
    });
  }

  void write() {
    http::async_write(stream, request,
                      [this](boost::system::error_code failed, std::size_t) {
                        if (failed) return;
                        reply.broken_after_send = true;
                        read();
                      });
  }

  void read() {
    http::async_read(stream, buffer, parser,
                     [this](boost::system::error_code failed, std::size_t) {
                       if (failed) return;
                       reply = http_reply{
                           static_cast<int>(parser.get().result_int()),
                           parser.get().body()};
                     });
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response_parser<http::string_body> parser;
  http_reply reply;
};

}  // namespace

http_reply http_call(const std::string& address, const std::string& method,
                     const std::string& target, const std::string& body,
                     std::chrono::milliseconds timeout) {
  const std::optional<tcp::endpoint> endpoint = to_endpoint(address);
  if (!endpoint) return {};
  boost::asio::io_context context(1);
  exchange call(context);
  call.request.method_string(method);
  call.request.target(target);
  call.request.version(11);
  call.request.set(http::field::host, address);
  call.request.set(http::field::connection, "close");
  call.request.body() = body;
  call.request.prepare_payload();
  call.stream.expires_after(timeout);
  call.start(*endpoint);
  context.run();
  return call.reply;
}

}  // namespace ebonygrade::testsuite
