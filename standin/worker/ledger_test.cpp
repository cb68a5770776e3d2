#include "standin/worker/ledger.h"

#include <catch2/catch.hpp>

namespace job = ebonygrade::job;
namespace wire = ebonygrade::wire;
namespace worker = ebonygrade::standin::worker;

namespace {

constexpr job::resources kCapacity{1000, 1000, 0, 2};
constexpr job::resources kHalfCapacity{500, 500, 0, 1};
constexpr job::resources kOverCapacity{500, 1001, 0, 1};

}  // namespace

TEST_CASE("a start that puts a worker over its capacity is recorded") {
  worker::ledger_book book;
  record_start(book, "w1", {"a", 0, 1}, true, kHalfCapacity, kCapacity);
  CHECK(book.totals.over_commits() == 0);
  record_start(book, "w1", {"b", 0, 2}, true, kOverCapacity, kCapacity);
  CHECK(book.totals.over_commits() == 1);
  REQUIRE(book.totals.violations_size() == 1);
  CHECK(book.totals.violations(0).kind() == ebonygrade::standin::over_commit);
}

TEST_CASE(
    "concurrent attempts of a task are recorded, successive ones are not") {
  worker::ledger_book book;
  record_start(book, "w1", {"a", 0, 1}, true, kHalfCapacity, kCapacity);
  record_start(book, "w2", {"a", 1, 2}, true, kHalfCapacity, kCapacity);
  CHECK(book.totals.double_runs() == 0);
  record_start(book, "w2", {"a", 0, 3}, true, kHalfCapacity, kCapacity);
  CHECK(book.totals.double_runs() == 1);
  record_end(book, {"a", 0, 1}, wire::completed);
  record_end(book, {"a", 0, 3}, wire::completed);
  record_start(book, "w2", {"a", 0, 4}, true, kHalfCapacity, kCapacity);
  CHECK(book.totals.double_runs() == 1);
}

TEST_CASE("a second start of a non-idempotent task is recorded") {
  worker::ledger_book book;
  record_start(book, "w1", {"a", 0, 1}, false, kHalfCapacity, kCapacity);
  record_end(book, {"a", 0, 1}, wire::completed);
  record_start(book, "w1", {"a", 0, 2}, false, kHalfCapacity, kCapacity);
  CHECK(book.totals.repeated_starts() == 1);
  CHECK(book.totals.double_runs() == 0);
}
