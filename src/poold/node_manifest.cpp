// The operator's manifest: taking a version into force, and passing it on
// between a daemon and the owner while one of them can't read the store.
#include <boost/asio/post.hpp>
#include <charconv>
#include <string>
#include <utility>

#include "events/events.h"
#include "platform/manifest.h"
#include "poold/node.h"
#include "poold/peer_paths.h"

namespace ebonygrade::poold {

namespace {

// A manifest may have 0.9 MB and is let finish while it makes progress.
constexpr milliseconds kFetchTimeout{15000};
constexpr milliseconds kFetchStallTimeout{1000};

}  // namespace

void node::apply_manifest(std::string_view step, std::string_view peer,
                          const std::string& value, std::uint64_t offset) {
  std::optional<pool::manifest> decoded = platform::decode_manifest(value);
  if (!decoded) {
    events::emit(events::id::bundle_refused, step, peer,
                 "offset={} is not a valid manifest", offset);
    return;
  }
  if (manifest_ && decoded->version <= manifest_->version) return;
  manifest_ = std::make_shared<pool::manifest>(std::move(*decoded));
  manifest_value_ = value;
  events::emit(events::id::manifest_in_force, step, peer,
               "version={} routes={} bytes={} offset={}", manifest_->version,
               manifest_->routes.size(), value.size(), offset);
  job_api_->set_manifest(manifest_);
  if (owner_) owner_->on_manifest(*manifest_);
}

std::string node::manifest_version() const {
  return std::to_string(manifest_ ? manifest_->version : 0);
}

void node::observe_manifest_version(boost::beast::string_view told,
                                    const std::string& peer) {
  std::uint64_t version = 0;
  std::from_chars(told.data(), told.data() + told.size(), version);
  bool newer = version > (manifest_ ? manifest_->version : 0);
  // While this daemon's reads succeed, one of them returns the manifest; a
  // second transfer would only load the links.
  if (!newer || !operator_->failing() || manifest_fetcher_) return;
  http::call_options options;
  options.timeout = kFetchTimeout;
  options.stall_timeout = kFetchStallTimeout;
  manifest_fetcher_ =
      std::make_shared<http::client>(context_, peer, http::client_options());
  manifest_fetcher_->call(
      "fetch manifest",
      http::json_request(http::verb::get, std::string(kManifestPath)),
      std::move(options), [this, peer](http::call_result&& result) {
        // The client ends after its handler has returned.
        std::shared_ptr<http::client> ended =
            std::exchange(manifest_fetcher_, nullptr);
        boost::asio::post(context_, [ended] {});
        bool served =
            result.has_value() && result->result() == http::status::ok;
        if (served) apply_manifest("fetch manifest", peer, result->body(), 0);
      });
}

void node::handle_manifest_query(const http::responder& respond) {
  if (!manifest_) {
    return respond(http::error_response(http::status::service_unavailable,
                                        "no manifest yet"));
  }
  respond(http::text_response(http::status::ok, "application/octet-stream",
                              manifest_value_));
}

}  // namespace ebonygrade::poold
