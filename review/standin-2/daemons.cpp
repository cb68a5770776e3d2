#include "daemons.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fstream>
#include <random>
#include <thread>
#include <utility>

#include "http/address.h"

namespace ebonygrade::review {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr milliseconds kReadyPoll{100};
// Below the ports that outgoing channels get.
constexpr int kFirstPort = 20000;
constexpr int kLastPort = 31999;
constexpr int kMaxDescriptors = 4096;

std::string loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

std::vector<std::uint16_t> free_ports(std::size_t count) {
  asio::io_context context;
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> choice(kFirstPort, kLastPort);
  std::vector<asio::ip::tcp::acceptor> held;
  std::vector<std::uint16_t> ports;
  while (ports.size() < count) {
    std::uint16_t port = static_cast<std::uint16_t>(choice(random));
    asio::ip::tcp::endpoint at(asio::ip::address_v4::loopback(), port);
    asio::ip::tcp::acceptor tried(context, at.protocol());
    boost::system::error_code failed;
    tried.bind(at, failed);
    if (failed) continue;
    held.push_back(std::move(tried));
    ports.push_back(port);
  }
  return ports;
}

daemons::daemons(site& shared, daemon_settings settings)
    : site_(shared), settings_(std::move(settings)) {
  constexpr std::size_t kPortsEach = 3;
  std::vector<std::uint16_t> ports = free_ports(kPortsEach * settings_.count);
  for (std::size_t i = 0; i < settings_.count; ++i) {
    member made;
    made.id = "front-zone-a-" + std::to_string(i + 1);
    made.clients = loopback(ports[kPortsEach * i]);
    made.readiness = loopback(ports[kPortsEach * i + 1]);
    made.peers = loopback(ports[kPortsEach * i + 2]);
    made.settings_path = settings_.folder + "/" + made.id + ".ini";
    std::ofstream out(made.settings_path);
    out << "[daemon]\nid = " << made.id
        << "\nzone = zone-a\nregion = region-a\ncpu_share = 0.25\n"
        << "\n[listen]\nclients = " << made.clients
        << "\nreadiness = " << made.readiness << "\npeers = " << made.peers
        << "\n\n[store]\naddress = " << settings_.store
        << "\n\n[advice]\naddress = " << settings_.cloud
        << "\n\n[machines]\naddress = " << settings_.cloud
        << "\nupkeep_time = 2s\n"
        << "\n[workers]\nlease = " << settings_.lease.count()
        << "ms\ndrain_time = 2500ms\nheartbeat = 1500ms\n"
        << "\n[shutdown]\ngrace = 6s\n"
        << "\n[jobs]\nstatus_time = 120s\ncancel_time = 3000ms\n"
        << "\n[placement]\nfar_factor = 3\nrestore_time = 600ms\n";
    out.close();
    members_.push_back(std::move(made));
  }
  for (member& each : members_) start(&each);
}

void daemons::start(member* started) const {
  std::string log = settings_.folder + "/" + started->id + ".log";
  pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    // The sockets of the stand-ins stay with them.
    for (int fd = STDERR_FILENO + 1; fd < kMaxDescriptors; ++fd) close(fd);
    setenv("EBONYGRADE_CONFIG", started->settings_path.c_str(), 1);
    execl(settings_.program.c_str(), settings_.program.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  started->process = child;
}

daemons::~daemons() {
  for (const member& each : members_) {
    if (each.process <= 0 || each.ended) continue;
    kill(each.process, SIGKILL);
    waitpid(each.process, nullptr, 0);
  }
}

bool daemons::any_ended() {
  bool found = false;
  for (member& each : members_) {
    int how = 0;
    if (!each.ended && waitpid(each.process, &how, WNOHANG) == each.process) {
      each.ended = true;
      site_.log("daemon " + each.id + " has ended");
    }
    found |= each.ended;
  }
  return found;
}

bool daemons::all_ready(milliseconds limit) const {
  steady::time_point end = steady::now() + limit;
  for (const member& each : members_) {
    while (call(each.readiness, "GET", "/readyz", "x", "", kReadyPoll * 5)
               .status != 200) {
      if (steady::now() > end) return false;
      std::this_thread::sleep_for(kReadyPoll);
    }
  }
  return true;
}

reply call(const std::string& address, const std::string& method,
           const std::string& path, const std::string& host,
           const std::string& body, milliseconds limit) {
  reply out;
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.expires_after(limit);
  beast::http::request<beast::http::string_body> request;
  request.method_string(method);
  request.target(path);
  request.version(11);
  request.set(beast::http::field::host, host);
  request.set("X-Deadline-Ms", std::to_string(limit.count()));
  if (!body.empty()) {
    request.set(beast::http::field::content_type, "application/json");
    request.body() = body;
  }
  request.prepare_payload();
  beast::flat_buffer buffer;
  beast::http::response<beast::http::string_body> answer;
  stream.async_connect(
      http::parse_address(address).value(), [&](beast::error_code failed) {
        if (failed) return;
        beast::http::async_write(
            stream, request, [&](beast::error_code sent, std::size_t) {
              if (sent) return;
              beast::http::async_read(
                  stream, buffer, answer,
                  [&](beast::error_code got, std::size_t) {
                    if (got) return;
                    out.status = static_cast<int>(answer.result_int());
                    out.body = answer.body();
                  });
            });
      });
  context.run();
  return out;
}

}  // namespace ebonygrade::review
