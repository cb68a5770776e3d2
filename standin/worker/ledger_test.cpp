#include "standin/worker/ledger.h"

#include <catch2/catch.hpp>

namespace job = ebonygrade::job;
namespace wire = ebonygrade::wire;
namespace worker = ebonygrade::standin::worker;

namespace {

constexpr job::resources kCapacity{1000, 1000, 0, 2};
constexpr job::resources kLittle{500, 500, 0, 1};
constexpr job::resources kTooMuch{500, 1001, 0, 1};

}  // namespace

TEST_CASE("a worker given more than it has is recorded") {
  worker::ledger_book book;
  record_start(book, "w1", {"a", 0, 1}, true, kLittle, kCapacity);
  CHECK(book.totals.over_commits() == 0);
  record_start(book, "w1", {"b", 0, 2}, true, kTooMuch, kCapacity);
  CHECK(book.totals.over_commits() == 1);
  REQUIRE(book.totals.violations_size() == 1);
  CHECK(book.totals.violations(0).kind() == ebonygrade::standin::over_commit);
}

TEST_CASE("a task that runs twice at once is recorded, in turn it is not") {
  worker::ledger_book book;
  record_start(book, "w1", {"a", 0, 1}, true, kLittle, kCapacity);
  record_start(book, "w2", {"a", 1, 2}, true, kLittle, kCapacity);
  CHECK(book.totals.double_runs() == 0);
  record_start(book, "w2", {"a", 0, 3}, true, kLittle, kCapacity);
  CHECK(book.totals.double_runs() == 1);
  record_end(book, {"a", 0, 1}, wire::completed);
  record_end(book, {"a", 0, 3}, wire::completed);
  record_start(book, "w2", {"a", 0, 4}, true, kLittle, kCapacity);
  CHECK(book.totals.double_runs() == 1);
}

TEST_CASE("a non-idempotent task started again is recorded") {
  worker::ledger_book book;
  record_start(book, "w1", {"a", 0, 1}, false, kLittle, kCapacity);
  record_end(book, {"a", 0, 1}, wire::completed);
  record_start(book, "w1", {"a", 0, 2}, false, kLittle, kCapacity);
  CHECK(book.totals.repeated_starts() == 1);
  CHECK(book.totals.double_runs() == 0);
}
