// Main program of the pool daemon: reads the settings, runs until SIGTERM or
// SIGINT, drains and exits.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "events/events.h"
#include "poold/node.h"
#include "poold/settings.h"

namespace {

namespace events = ebonygrade::events;
namespace poold = ebonygrade::poold;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 3;
constexpr char kSettingsVariable[] = "EBONYGRADE_CONFIG";

cxxopts::Options make_options() {
  cxxopts::Options options("ebonygrade-poold",
                           "Daemon of an ebonygrade pool. The settings file is "
                           "named by --config or EBONYGRADE_CONFIG.");
  options.add_options()("config", "settings file",
                        cxxopts::value<std::string>(), "FILE.ini")(
      "check-config", "check the settings and end")("help", "show this help");
  return options;
}

std::string settings_path(const cxxopts::ParseResult& arguments) {
  if (arguments.count("config") > 0) {
    return arguments["config"].as<std::string>();
  }
  const char* variable = std::getenv(kSettingsVariable);
  return variable == nullptr ? "" : variable;
}

int run(const poold::node_settings& settings) {
  const ebonygrade::clock::system_clock clock;
  events::start(settings.log_level, clock, events::stream::standard_output);
  boost::asio::io_context context(1);
  poold::node node(context, clock, settings);
  const ebonygrade::error::result<void> started = node.start();
  if (started.has_error()) {
    std::cerr << "ebonygrade-poold: " << to_string(started.error()) << "\n";
    events::stop();
    return kExitFailed;
  }
  events::emit(events::id::started, "start", "",
               "daemon={} zone={} clients={} store={}", settings.id,
               settings.zone, settings.client_address, settings.store_address);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code failed, int) {
    if (failed) return;
    events::emit(events::id::drain_begun, "drain", "", "");
    node.drain([&] { context.stop(); });
  });
  // Settings are read at startup only, so SIGHUP just emits the event.
  boost::asio::signal_set reloads(context, SIGHUP);
  std::function<void(boost::system::error_code, int)> on_reload =
      [&](boost::system::error_code failed, int) {
        if (failed) return;
        events::emit(events::id::settings_reloaded, "reload", "", "");
        reloads.async_wait(on_reload);
      };
  reloads.async_wait(on_reload);
  context.run();
  events::emit(events::id::stopped, "stop", "", "");
  events::stop();
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = make_options();
  cxxopts::ParseResult arguments;
  try {
    arguments = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& failed) {
    std::cerr << "ebonygrade-poold: arguments: " << failed.what() << "\n";
    return kExitUsage;
  }
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return kExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const poold::settings_report loaded =
      poold::load_settings(settings_path(arguments));
  for (const ebonygrade::error::failure& each : loaded.problems) {
    std::cerr << "ebonygrade-poold: " << to_string(each) << "\n";
  }
  if (!loaded.problems.empty()) return kExitBadSettings;
  if (arguments.count("check-config") > 0) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  return run(loaded.value);
}
