// standin_workers: runs many stand-in workers in one process, for demos and
// tests.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdint>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "http/json.h"
#include "standin/worker/fleet.h"

namespace worker = ebonygrade::standin::worker;
using ebonygrade::clock::milliseconds;

namespace {

struct settings {
  worker::fleet_options fleet;
  std::string platform;     // IP:PORT; empty: the workers aren't registered.
  std::string ledger_file;  // Written at exit; empty: no file.
};

cxxopts::Options make_options() {
  cxxopts::Options options("standin_workers", "Runs many stand-in workers.");
  cxxopts::OptionAdder add = options.add_options();
  add("ip", "Address to listen at",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("prefix", "Prefix of worker ids, followed by a number",
      cxxopts::value<std::string>()->default_value("w"));
  add("count", "Number of workers",
      cxxopts::value<std::size_t>()->default_value("48"));
  add("first-port", "Port of the first worker; 0 picks free ports",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("control-port", "Port for control and ledger; 0 picks a free port",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("zones", "Zones, separated by commas",
      cxxopts::value<std::vector<std::string>>()->default_value("zone-a"));
  add("workers-per-rack", "Workers in one rack",
      cxxopts::value<std::size_t>()->default_value("8"));
  add("millicores", "Processor capacity of a worker",
      cxxopts::value<std::int32_t>()->default_value("16000"));
  add("memory-mb", "Memory of a worker",
      cxxopts::value<std::int32_t>()->default_value("65536"));
  add("accelerators", "Accelerators of a worker",
      cxxopts::value<std::int32_t>()->default_value("0"));
  add("slots", "Executor slots of a worker",
      cxxopts::value<std::int32_t>()->default_value("8"));
  add("retention-ms", "Retention time of ended tasks",
      cxxopts::value<std::int64_t>()->default_value("60000"));
  add("usage-lag-ms",
      "Delay before a task's first usage report and interval after it",
      cxxopts::value<std::int64_t>()->default_value("2000"));
  add("platform", "IP:PORT of the list to register at",
      cxxopts::value<std::string>()->default_value(""));
  add("ledger", "File to which the ledger is written as JSON at exit",
      cxxopts::value<std::string>()->default_value(""));
  add("help", "Prints this text");
  return options;
}

settings read_settings(const cxxopts::ParseResult& parsed) {
  settings result;
  worker::fleet_options& fleet = result.fleet;
  fleet.ip = parsed["ip"].as<std::string>();
  fleet.prefix = parsed["prefix"].as<std::string>();
  fleet.count = parsed["count"].as<std::size_t>();
  fleet.first_port = parsed["first-port"].as<std::uint16_t>();
  fleet.control_port = parsed["control-port"].as<std::uint16_t>();
  fleet.zones = parsed["zones"].as<std::vector<std::string>>();
  fleet.workers_per_rack = parsed["workers-per-rack"].as<std::size_t>();
  fleet.capacity.millicores = parsed["millicores"].as<std::int32_t>();
  fleet.capacity.memory_mb = parsed["memory-mb"].as<std::int32_t>();
  fleet.capacity.accelerators = parsed["accelerators"].as<std::int32_t>();
  fleet.capacity.slots = parsed["slots"].as<std::int32_t>();
  fleet.retention = milliseconds(parsed["retention-ms"].as<std::int64_t>());
  fleet.usage_lag = milliseconds(parsed["usage-lag-ms"].as<std::int64_t>());
  result.platform = parsed["platform"].as<std::string>();
  result.ledger_file = parsed["ledger"].as<std::string>();
  return result;
}

bool write_ledger(const std::string& path, const worker::fleet& fleet) {
  std::ofstream file(path);
  file << ebonygrade::http::to_json(fleet.ledger()) << "\n";
  file.close();
  return !file.fail();
}

int run(const settings& settings) {
  boost::asio::io_context context(1);
  ebonygrade::clock::system_clock clock;
  worker::fleet fleet(context, clock, settings.fleet);
  ebonygrade::error::result<void> opened = fleet.open();
  if (opened.has_error()) {
    std::cerr << "standin_workers: " << to_string(opened.error()) << "\n";
    return 1;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  auto announce = [&] {
    std::cout << "listening " << settings.fleet.ip << ":"
              << fleet.control_port() << std::endl;
  };
  if (settings.platform.empty()) {
    announce();
  } else {
    fleet.register_at(settings.platform, announce);
  }
  context.run();
  if (settings.ledger_file.empty()) return 0;
  if (write_ledger(settings.ledger_file, fleet)) return 0;
  std::cerr << "standin_workers: " << settings.ledger_file
            << ": cannot be written\n";
  return 1;
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
    std::cerr << "standin_workers: " << failure.what() << "\n";
    return 2;
  }
}
