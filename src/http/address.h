// Parses "IP:PORT" and "[IPv6]:PORT"; host names are not resolved.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "error/error.h"

namespace ebonygrade::http {

// On failure error::code::invalid_argument, with the text as the peer.
error::result<boost::asio::ip::tcp::endpoint> parse_address(
    std::string_view text);

}  // namespace ebonygrade::http
