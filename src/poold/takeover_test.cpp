// A daemon whose claim is in a copy of the journal that is not complete yet.
#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/server.h"
#include "poold/node.h"
#include "testsuite/cell/ports.h"

namespace ebonygrade::poold {

namespace {

constexpr std::chrono::seconds kConditionTimeout{20};
constexpr char kManifest[] =
    R"({"version":3,"routes":[{"name":"r","host":"jobs.example",)"
    R"("pathPrefix":"/q/","service":"pool-a","priority":0,"attempts":2,)"
    R"("stretch":2.0,"targetLatencyMs":500}],"services":[]})";
constexpr char kJob[] = "00000000000000aa";
constexpr char kEmptyTopic[] = R"({"items":[],"more":false,"end":0})";
// Offsets of the second load: the records before it, the former owner's last
// record and the claim.
constexpr std::uint64_t kFirstPageEnd = 2;
constexpr std::uint64_t kClaimOffset = 3;

std::string encode_base64(const std::string& value) {
  namespace base64 = boost::beast::detail::base64;
  std::string out(base64::encoded_size(value.size()), '\0');
  out.resize(base64::encode(out.data(), value.data(), value.size()));
  return out;
}

std::string encode_u64(std::uint64_t value) {
  unsigned char bytes[8];
  boost::endian::store_big_u64(bytes, value);
  return {reinterpret_cast<const char*>(bytes), sizeof bytes};
}

std::string encode_record(const std::string& key, const std::string& value) {
  std::string raw = std::string(1, static_cast<char>(key.size())) + key + value;
  unsigned char length[4];
  boost::endian::store_big_u32(length, static_cast<std::uint32_t>(raw.size()));
  return std::string(reinterpret_cast<const char*>(length), sizeof length) +
         raw;
}

std::string encode_item(const std::string& key, const std::string& value,
                        std::uint64_t offset) {
  return R"({"key":")" + key + R"(","value":")" + encode_base64(value) +
         R"(","offset":)" + std::to_string(offset) + "}";
}

std::string progress(bool done) {
  wire::job_progress out;
  out.set_started(true);
  if (done) out.set_outcome(wire::COMPLETE);
  return out.SerializeAsString();
}

// A store that has trimmed the journal by the first read after the claim. Its
// first page is from before the former owner's last record, the second page
// from after the claim. Reads after that wait.
struct paged_store {
  explicit paged_store(boost::asio::io_context& io) : context(io) {}

  boost::asio::io_context& context;
  std::string claim;  // Value of the claim's record; empty before it.
  bool loads_again = false;
  std::vector<http::responder> journal_reads;
  std::vector<http::responder> waiting;
  http::server server{
      context, {}, [this](http::request&& request, http::responder answer) {
        handle(std::move(request), std::move(answer));
      }};

  void handle(http::request&& request, http::responder answer) {
    std::string target(request.target());
    bool journal = target.find("keyed.journal") != std::string::npos;
    if (target.find("log-append") != std::string::npos) {
      // Length, length of the key and key stand before the value.
      if (journal && claim.empty()) claim = request.body().substr(6);
      return reply(answer, R"({"offset":3,"end":4})");
    }
    if (target.find("log-newest") != std::string::npos) {
      return reply(answer, newest(target, journal));
    }
    if (!journal) return waiting.push_back(std::move(answer));
    if (loads_again) return journal_reads.push_back(std::move(answer));
    if (claim.empty()) return reply(answer, encode_u64(0) + encode_u64(0));
    loads_again = true;
    http::response trimmed =
        http::json_response(http::status::ok, R"({"first":2})");
    trimmed.result(410);
    answer(std::move(trimmed));
  }

  std::string newest(const std::string& target, bool journal) const {
    if (target.find("keyed.op") != std::string::npos) {
      return R"({"items":[)" + encode_item("config", kManifest, 0) +
             R"(],"more":false,"end":1})";
    }
    if (!journal || !loads_again) return kEmptyTopic;
    if (target.find("dependsOn") == std::string::npos) {
      return R"({"items":[)" +
             encode_item(jobs::progress_key(kJob), progress(false), 1) +
             R"(],"more":true,"end":2})";
    }
    return R"({"items":[)" + encode_item(jobs::kOwnerKey, claim, kClaimOffset) +
           R"(],"more":false,"end":4})";
  }

  // Replies to the read after the load with the records up to the claim.
  void reply_to_read() {
    reply(journal_reads.back(),
          encode_u64(kClaimOffset + 1) + encode_u64(kFirstPageEnd) +
              encode_record(jobs::progress_key(kJob), progress(true)) +
              encode_record(jobs::kOwnerKey, claim));
  }

  static void reply(const http::responder& answer, std::string body) {
    answer(http::text_response(http::status::ok, "application/json",
                               std::move(body)));
  }
};

// Guards against a takeover from an old copy: a page may be older than the
// claim, and the former owner's last records are read only after the load.
TEST_CASE("a claim in a load counts after the reads that complete the load") {
  boost::asio::io_context context{1};
  clock::system_clock clock;
  paged_store store{context};
  store.server.listen("127.0.0.1:0").value();
  node_settings settings;
  settings.id = "n1";
  std::vector<std::uint16_t> ports = testsuite::free_ports(3);
  settings.client_address = "127.0.0.1:" + std::to_string(ports[0]);
  settings.ready_address = "127.0.0.1:" + std::to_string(ports[1]);
  settings.peer_address = "127.0.0.1:" + std::to_string(ports[2]);
  settings.store_address = "127.0.0.1:" + std::to_string(store.server.port());
  node subject(context, clock, settings);
  REQUIRE(subject.start().has_value());
  std::function<bool(const std::function<bool()>&)> wait_until =
      [&](const std::function<bool()>& condition) {
        steady_time end = clock.now() + kConditionTimeout;
        while (!condition() && clock.now() < end) {
          context.run_one_for(std::chrono::milliseconds(50));
        }
        return condition();
      };
  REQUIRE(wait_until([&] { return !store.journal_reads.empty(); }));
  CHECK_FALSE(subject.owns_pool());
  if (!subject.owns_pool()) store.reply_to_read();
  CHECK(wait_until([&] { return subject.owns_pool(); }));
}

}  // namespace

}  // namespace ebonygrade::poold
