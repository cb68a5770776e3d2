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

constexpr std::chrono::seconds kPatience{20};

// A caller that speaks bytes, so that tests can send what no client would.
class raw_caller {
 public:
  raw_caller(asio::io_context& context, std::uint16_t port)
      : context_(context), socket_(context) {
    socket_.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
  }
  void send(std::string_view bytes) {
    asio::write(socket_, asio::buffer(bytes));
  }
  // Runs the context until the text has been received or the server closed.
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
    std::optional<boost::system::error_code> outcome;
    char chunk[4096];
    std::size_t bytes = 0;
    socket_.async_read_some(
        asio::buffer(chunk),
        [&](boost::system::error_code failed, std::size_t count) {
          outcome = failed;
          bytes = count;
        });
    while (!outcome) {
      context_.restart();
      if (context_.run_one_for(kPatience) == 0) {
        socket_.cancel();
        context_.run_one();
        FAIL("the server did not answer in time");
      }
    }
    received_.append(chunk, bytes);
    return !*outcome;
  }

  asio::io_context& context_;
  tcp::socket socket_;
  std::string received_;
};

struct fixture {
  asio::io_context context;
  std::vector<http::request> requests;
  std::vector<http::responder> waiting;
  bool answer_later = false;
  std::optional<http::server> server;

  explicit fixture(const http::server_options& options = {}) {
    server.emplace(
        context, options,
        [this](http::request&& request, http::responder answer) {
          requests.push_back(request);
          if (answer_later) {
            waiting.push_back(answer);
            return;
          }
          answer(http::json_response(http::status::ok, request.body()));
        });
    REQUIRE(server->listen("127.0.0.1:0").has_value());
  }
  raw_caller call() { return raw_caller(context, server->port()); }
  void run_until(const std::function<bool()>& met) {
    while (!met()) {
      context.restart();
      REQUIRE(context.run_one_for(kPatience) > 0);
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

TEST_CASE("a connection is kept for several requests") {
  fixture f;
  raw_caller caller = f.call();
  caller.send(post("one"));
  CHECK(contains(caller.receive_until("one"), "200 OK"));
  caller.send(post("two"));
  CHECK(contains(caller.receive_until("two"), "two"));
  CHECK(f.server->connection_count() == 1);
}

TEST_CASE("pipelined requests are answered in order") {
  fixture f;
  raw_caller caller = f.call();
  caller.send(post("first") + post("second"));
  std::string text = caller.receive_until("second");
  CHECK(text.find("first") < text.find("second"));
}

TEST_CASE("an answer may come later, and counts once") {
  fixture f;
  f.answer_later = true;
  raw_caller caller = f.call();
  caller.send(post("x"));
  f.run_until([&] { return !f.waiting.empty(); });
  f.waiting[0](http::json_response(http::status::accepted, "late"));
  f.waiting[0](http::json_response(http::status::ok, "twice"));
  std::string text = caller.receive_until("late");
  CHECK(contains(text, "202"));
  CHECK_FALSE(contains(text, "twice"));
}

TEST_CASE("a responder dropped without an answer answers 500") {
  fixture f;
  f.answer_later = true;
  raw_caller caller = f.call();
  caller.send(post("x"));
  f.run_until([&] { return !f.waiting.empty(); });
  f.waiting.clear();
  CHECK(contains(caller.receive_until("no answer"), "500"));
}

TEST_CASE("a connection may be dropped without an answer") {
  fixture f;
  f.answer_later = true;
  raw_caller caller = f.call();
  caller.send(post("x"));
  f.run_until([&] { return !f.waiting.empty(); });
  CHECK(f.waiting[0].connection() == 1);
  f.waiting[0].drop();
  CHECK(caller.receive_all().empty());
}

TEST_CASE("a caller that leaves is noticed") {
  fixture f;
  f.answer_later = true;
  raw_caller caller = f.call();
  caller.send(post("x"));
  f.run_until([&] { return !f.waiting.empty(); });
  CHECK_FALSE(f.waiting[0].abandoned());
  caller.close();
  f.run_until([&] { return f.waiting[0].abandoned(); });
  CHECK(f.server->connection_count() == 0);
}

TEST_CASE("requests beyond a limit are refused with the reason") {
  http::server_options options;
  options.max_header_bytes = 512;
  options.max_body_bytes = 1000;
  options.read_timeout = milliseconds(20);
  fixture f(options);
  raw_caller caller = f.call();
  std::string reply;
  SECTION("header") {
    caller.send("GET / HTTP/1.1\r\nX: " + std::string(600, 'a') + "\r\n\r\n");
    reply = caller.receive_all();
    CHECK(contains(reply, "431"));
    CHECK(contains(reply, "\"field\":\"header\""));
  }
  SECTION("body announced") {
    caller.send(post(std::string(1001, 'a')));
    reply = caller.receive_all();
    CHECK(contains(reply, "413"));
    CHECK(contains(reply, "\"field\":\"body\""));
  }
  SECTION("body in chunks") {
    caller.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                std::string("7d0\r\n") + std::string(2000, 'a') + "\r\n");
    reply = caller.receive_all();
    CHECK(contains(reply, "413"));
  }
  SECTION("slow header") {
    caller.send("GET / HT");
    reply = caller.receive_all();
    CHECK(contains(reply, "408"));
  }
  SECTION("slow body") {
    caller.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    reply = caller.receive_all();
    CHECK(contains(reply, "408"));
  }
  SECTION("malformed") {
    caller.send("NONSENSE\r\n\r\n");
    reply = caller.receive_all();
    CHECK(contains(reply, "400"));
  }
  CHECK(contains(reply, "Connection: close"));
  CHECK(f.requests.empty());
}

TEST_CASE("connections over the limit are told so") {
  http::server_options options;
  options.max_connections = 1;
  fixture f(options);
  raw_caller first = f.call();
  first.send(post("one"));
  first.receive_until("one");
  raw_caller second = f.call();
  CHECK(contains(second.receive_all(), "503"));
  first.send(post("still"));
  CHECK(contains(first.receive_until("still"), "still"));
}

TEST_CASE("an idle connection is closed") {
  http::server_options options;
  options.idle_timeout = milliseconds(5);
  fixture f(options);
  raw_caller caller = f.call();
  CHECK(caller.receive_all().empty());
}

TEST_CASE("a body is asked for when the caller expects it") {
  fixture f;
  raw_caller caller = f.call();
  caller.send(
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  caller.receive_until("100 Continue");
  caller.send("abc");
  CHECK(contains(caller.receive_until("abc"), "200 OK"));
}

TEST_CASE("a graceful stop answers what is in flight") {
  http::server_options options;
  options.stop_grace = milliseconds(5);
  fixture f(options);
  f.answer_later = true;
  raw_caller busy = f.call();
  busy.send(post("x"));
  f.run_until([&] { return !f.waiting.empty(); });
  raw_caller idle = f.call();
  f.run_until([&] { return f.server->connection_count() == 2; });
  bool stopped = false;
  f.server->stop([&] { stopped = true; });
  f.run_until([&] { return f.server->connection_count() == 1; });
  CHECK_FALSE(stopped);
  f.waiting[0](http::json_response(http::status::ok, "last"));
  std::string reply = busy.receive_until("last");
  CHECK(contains(reply, "Connection: close"));
  busy.close();
  f.run_until([&] { return stopped; });
}

TEST_CASE("destroying the server leaves late responders harmless") {
  fixture f;
  f.answer_later = true;
  raw_caller caller = f.call();
  caller.send(post("x"));
  f.run_until([&] { return !f.waiting.empty(); });
  f.server.reset();
  f.waiting[0](http::json_response(http::status::ok, "late"));
  CHECK(caller.receive_all().empty());
}
