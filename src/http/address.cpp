#include "http/address.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace ebonygrade::http {

namespace {

error::failure invalid_address(std::string_view text) {
  return {error::code::invalid_argument, "parse address", std::string(text),
          "expected IP:PORT"};
}

}  // namespace

error::result<boost::asio::ip::tcp::endpoint> parse_address(
    std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return invalid_address(text);
  std::string_view host = text.substr(0, colon);
  std::string_view port_text = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  std::from_chars_result parsed = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  if (parsed.ec != std::errc() ||
      parsed.ptr != port_text.data() + port_text.size()) {
    return invalid_address(text);
  }
  boost::system::error_code failed;
  boost::asio::ip::address ip =
      boost::asio::ip::make_address(std::string(host), failed);
  if (failed) return invalid_address(text);
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace ebonygrade::http
