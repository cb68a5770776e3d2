// standin_platform: serves the platform's log and VM list for demos and tests.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "standin/platform/service.h"

namespace platform = ebonygrade::standin::platform;
using ebonygrade::clock::milliseconds;

namespace {

struct settings {
  std::string address;
  platform::service_options service;
};

cxxopts::Options make_options() {
  cxxopts::Options options("standin_platform",
                           "Stand-in for the platform's log and VM list.");
  options.add_options()(
      "listen", "IP:PORT to listen at; port 0 picks a free port",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "appends-per-second", "Appends accepted per second",
      cxxopts::value<double>()->default_value("400"))(
      "retention-ms", "Retention time of records",
      cxxopts::value<std::int64_t>()->default_value("600000"))(
      "max-records", "Maximum number of records of one stream",
      cxxopts::value<std::size_t>()->default_value("100000"))(
      "list-lag-ms", "Delay until a change of the VM list becomes visible",
      cxxopts::value<std::int64_t>()->default_value("0"))("help",
                                                          "Prints this text");
  return options;
}

settings read_settings(const cxxopts::ParseResult& parsed) {
  settings result;
  result.address = parsed["listen"].as<std::string>();
  platform::log_options& log = result.service.log;
  log.appends_per_second = parsed["appends-per-second"].as<double>();
  log.retention = milliseconds(parsed["retention-ms"].as<std::int64_t>());
  log.max_records = parsed["max-records"].as<std::size_t>();
  result.service.list_lag =
      milliseconds(parsed["list-lag-ms"].as<std::int64_t>());
  return result;
}

int run(const settings& settings) {
  boost::asio::io_context context(1);
  ebonygrade::clock::system_clock clock;
  platform::service service(context, clock, settings.service);
  ebonygrade::error::result<void> listening = service.listen(settings.address);
  if (listening.has_error()) {
    std::cerr << "standin_platform: " << to_string(listening.error()) << "\n";
    return 1;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  std::string ip = settings.address.substr(0, settings.address.rfind(':'));
  std::cout << "listening " << ip << ":" << service.port() << std::endl;
  context.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = make_options();
  try {
    cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return run(read_settings(parsed));
  } catch (const std::exception& failure) {
    std::cerr << "standin_platform: " << failure.what() << "\n";
    return 2;
  }
}
