// The daemon's main program: reads the settings, runs until SIGTERM or
// SIGINT, drains, and ends. A second signal ends it at once.
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "ebonygraded/daemon.h"
#include "events/events.h"
#include "settings/settings.h"

namespace {

using ebonygrade::ebonygraded::daemon;
using ebonygrade::error::failure;
namespace clocks = ebonygrade::clock;
namespace events = ebonygrade::events;
namespace settings = ebonygrade::settings;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 3;
constexpr int kExitAbandoned = 4;
constexpr std::chrono::seconds kDrainLimit{60};

cxxopts::Options make_options() {
  cxxopts::Options options("ebonygraded", "Daemon of the ebonygrade scheduler");
  options.add_options()("config", "settings file",
                        cxxopts::value<std::string>(), "FILE.ini")(
      "check-config", "check the settings and end")("help", "show this help");
  return options;
}

// Tells what is wrong with the settings: to whoever checks them as messages,
// to whoever reads the log of a daemon that was to start as events.
void report(const std::vector<failure>& problems, bool check_only) {
  const clocks::system_clock clock;
  if (!check_only) events::start("info", clock);
  for (const failure& each : problems) {
    if (check_only) {
      std::cerr << "ebonygraded: " << to_string(each) << "\n";
    } else {
      events::emit(events::id::settings_refused, each);
    }
  }
  if (!check_only) events::stop();
}

// Runs until the daemon has drained or was told to end at once.
int run(const settings::settings& value) {
  const clocks::system_clock clock;
  events::start(value.log.level, clock);
  daemon instance(value, clock);
  const ebonygrade::error::result<void> started = instance.start();
  if (started.has_error()) {
    std::cerr << "ebonygraded: " << to_string(started.error()) << "\n";
    events::stop();
    return kExitFailed;
  }
  events::emit(events::id::started, "start", "",
               "daemon {} in zone {}, http {}", value.daemon.id,
               value.daemon.zone, value.daemon.http_address);
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  int exit_code = kExitOk;
  signals.async_wait([&](boost::system::error_code, int) {
    events::emit(events::id::drain_begun, "drain", "", "limit {} s",
                 kDrainLimit.count());
    signals.async_wait([&](boost::system::error_code failed, int) {
      if (failed) return;
      events::emit(events::id::abandoned, "stop", "",
                   "second signal; {} requests without an answer",
                   instance.open_requests());
      exit_code = kExitAbandoned;
      context.stop();
    });
    instance.drain(kDrainLimit, [&](std::size_t abandoned) {
      boost::asio::post(context, [&, abandoned] {
        if (abandoned > 0) {
          events::emit(events::id::abandoned, "drain", "",
                       "{} requests without an answer", abandoned);
          exit_code = kExitAbandoned;
        } else {
          events::emit(events::id::drain_finished, "drain", "", "");
        }
        signals.cancel();
        context.stop();
      });
    });
  });
  context.run();
  instance.stop();
  events::emit(events::id::stopped, "stop", "", "exit code {}", exit_code);
  events::stop();
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = make_options();
  cxxopts::ParseResult arguments;
  try {
    arguments = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& failed) {
    std::cerr << "ebonygraded: arguments: " << failed.what() << "\n";
    return kExitUsage;
  }
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return kExitOk;
  }
  if (arguments.count("config") == 0) {
    std::cerr << "ebonygraded: arguments: --config FILE.ini is needed\n";
    return kExitUsage;
  }
  const settings::load_report loaded =
      settings::load(arguments["config"].as<std::string>());
  const bool check_only = arguments.count("check-config") > 0;
  if (!loaded.problems.empty()) {
    report(loaded.problems, check_only);
    return kExitBadSettings;
  }
  if (check_only) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  return run(loaded.value);
}
