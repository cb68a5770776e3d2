#include "http/server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace asio = boost::asio;
namespace http = ebonygrade::http;
using ebonygrade::http::milliseconds;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds kTestTimeout{20};

// Client that sends raw bytes, so that tests can send malformed requests.
class raw_client {
 public:
  raw_client(asio::io_context& context, std::uint16_t port)
      : context_(context), socket_(context) {
    socket_.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
  }
  void send(std::string_view bytes) {
    asio::write(socket_, asio::buffer(bytes));
  }
  // Runs the context until `text` is received or the server closes the
  // connection; returns everything received.
  std::string receive_until(std::string_view text) {
    while (received_.find(text) == std::string::npos && read_some()) {
    }
    return received_;
  }
  std::string receive_all() {
    while (read_some()) {
    }
    return received_;
  }
  void forget() { received_.clear(); }
  void close() { socket_.close(); }

 private:
  bool read_some() {
    std::optional<boost::system::error_code> result;
    char chunk[4096];
    std::size_t bytes = 0;
    socket_.async_read_some(
        asio::buffer(chunk),
        [&](boost::system::error_code failed, std::size_t count) {
          result = failed;
          bytes = count;
        });
    while (!result) {
      context_.restart();
      if (context_.run_one_for(kTestTimeout) == 0) {
        socket_.cancel();
        context_.run_one();
        FAIL("the server sent nothing before the test timeout");
      }
    }
    received_.append(chunk, bytes);
    return !*result;
  }

  asio::io_context& context_;
  tcp::socket socket_;
  std::string received_;
};

struct fixture {
  asio::io_context context;
  std::vector<http::request> requests;
  std::vector<http::responder> responders;
  bool reply_later = false;
  std::optional<http::server> server;

  explicit fixture(const http::server_options& options = {}) {
    server.emplace(
        context, options,
        [this](http::request&& request, http::responder respond) {
          requests.push_back(request);
          if (reply_later) {
            responders.push_back(respond);
            return;
          }
          respond(http::json_response(http::status::ok, request.body()));
        });
    REQUIRE(server->listen("127.0.0.1:0").has_value());
  }
  raw_client connect() { return raw_client(context, server->port()); }
  void run_until(const std::function<bool()>& condition) {
    while (!condition()) {
      context.restart();
      REQUIRE(context.run_one_for(kTestTimeout) > 0);
    }
  }
};

std::string post(std::string_view body) {
  return "POST /v1/x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

bool contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a connection serves several requests") {
  fixture f;
  raw_client client = f.connect();
  client.send(post("one"));
  CHECK(contains(client.receive_until("one"), "200 OK"));
  client.send(post("two"));
  CHECK(contains(client.receive_until("two"), "two"));
  CHECK(f.server->connection_count() == 1);
}

TEST_CASE("pipelined requests are answered in order") {
  fixture f;
  raw_client client = f.connect();
  client.send(post("first") + post("second"));
  std::string text = client.receive_until("second");
  CHECK(text.find("first") < text.find("second"));
}

TEST_CASE("a reply may be sent later, and only the first reply is sent") {
  fixture f;
  f.reply_later = true;
  raw_client client = f.connect();
  client.send(post("x"));
  f.run_until([&] { return !f.responders.empty(); });
  f.responders[0](http::json_response(http::status::accepted, "late"));
  f.responders[0](http::json_response(http::status::ok, "twice"));
  std::string text = client.receive_until("late");
  CHECK(contains(text, "202"));
  CHECK_FALSE(contains(text, "twice"));
}

TEST_CASE("a responder destroyed without a reply sends 500") {
  fixture f;
  f.reply_later = true;
  raw_client client = f.connect();
  client.send(post("x"));
  f.run_until([&] { return !f.responders.empty(); });
  f.responders.clear();
  CHECK(contains(client.receive_until("no answer"), "500"));
}

TEST_CASE("drop() closes the connection without a reply") {
  fixture f;
  f.reply_later = true;
  raw_client client = f.connect();
  client.send(post("x"));
  f.run_until([&] { return !f.responders.empty(); });
  CHECK(f.responders[0].connection() == 1);
  f.responders[0].drop();
  CHECK(client.receive_all().empty());
}

TEST_CASE("a client that disconnects during its request is detected") {
  fixture f;
  f.reply_later = true;
  raw_client client = f.connect();
  client.send(post("x"));
  f.run_until([&] { return !f.responders.empty(); });
  CHECK_FALSE(f.responders[0].abandoned());
  client.close();
  f.run_until([&] { return f.responders[0].abandoned(); });
  CHECK(f.server->connection_count() == 0);
}

TEST_CASE("requests beyond a limit are refused with a reason") {
  http::server_options options;
  options.max_header_bytes = 512;
  options.max_body_bytes = 1000;
  options.read_timeout = milliseconds(20);
  fixture f(options);
  raw_client client = f.connect();
  std::string reply;
  SECTION("header") {
    client.send("GET / HTTP/1.1\r\nX: " + std::string(600, 'a') + "\r\n\r\n");
    reply = client.receive_all();
    CHECK(contains(reply, "431"));
    CHECK(contains(reply, "\"field\":\"header\""));
  }
  SECTION("body with Content-Length") {
    client.send(post(std::string(1001, 'a')));
    reply = client.receive_all();
    CHECK(contains(reply, "413"));
    CHECK(contains(reply, "\"field\":\"body\""));
  }
  SECTION("body in chunks") {
    client.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                std::string("7d0\r\n") + std::string(2000, 'a') + "\r\n");
    reply = client.receive_all();
    CHECK(contains(reply, "413"));
  }
  SECTION("slow header") {
    client.send("GET / HT");
    reply = client.receive_all();
    CHECK(contains(reply, "408"));
  }
  SECTION("slow body") {
    client.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    reply = client.receive_all();
    CHECK(contains(reply, "408"));
  }
  SECTION("malformed") {
    client.send("NONSENSE\r\n\r\n");
    reply = client.receive_all();
    CHECK(contains(reply, "400"));
  }
  CHECK(contains(reply, "Connection: close"));
  CHECK(f.requests.empty());
}

TEST_CASE("connections beyond the limit get 503") {
  http::server_options options;
  options.max_connections = 1;
  fixture f(options);
  raw_client first = f.connect();
  first.send(post("one"));
  first.receive_until("one");
  raw_client second = f.connect();
  CHECK(contains(second.receive_all(), "503"));
  first.send(post("still"));
  CHECK(contains(first.receive_until("still"), "still"));
}

TEST_CASE("an idle connection is closed") {
  http::server_options options;
  options.idle_timeout = milliseconds(5);
  fixture f(options);
  raw_client client = f.connect();
  CHECK(client.receive_all().empty());
}

TEST_CASE("a request with Expect: 100-continue gets 100 Continue") {
  fixture f;
  raw_client client = f.connect();
  client.send(
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  client.receive_until("100 Continue");
  client.send("abc");
  CHECK(contains(client.receive_until("abc"), "200 OK"));
}

TEST_CASE("a graceful stop replies to requests in flight") {
  http::server_options options;
  options.stop_grace = milliseconds(5);
  fixture f(options);
  f.reply_later = true;
  raw_client busy = f.connect();
  busy.send(post("x"));
  f.run_until([&] { return !f.responders.empty(); });
  raw_client idle = f.connect();
  f.run_until([&] { return f.server->connection_count() == 2; });
  bool stopped = false;
  f.server->stop([&] { stopped = true; });
  f.run_until([&] { return f.server->connection_count() == 1; });
  CHECK_FALSE(stopped);
  f.responders[0](http::json_response(http::status::ok, "last"));
  std::string reply = busy.receive_until("last");
  CHECK(contains(reply, "Connection: close"));
  busy.close();
  f.run_until([&] { return stopped; });
}

TEST_CASE("a responder may be called after the server is destroyed") {
  fixture f;
  f.reply_later = true;
  raw_client client = f.connect();
  client.send(post("x"));
  f.run_until([&] { return !f.responders.empty(); });
  f.server.reset();
  f.responders[0](http::json_response(http::status::ok, "late"));
  CHECK(client.receive_all().empty());
}
