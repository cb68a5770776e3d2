// Parsing of addresses "IP:PORT" and "[IPv6]:PORT". Host names are not
// resolved.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "error/error.h"

namespace ebonygrade::http {

// Fails with error::code::invalid_argument; the failure's peer is `text`.
error::result<boost::asio::ip::tcp::endpoint> parse_address(
    std::string_view text);

}  // namespace ebonygrade::http
