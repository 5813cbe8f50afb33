/// Reading a store that answers, refuses, forgets, falls silent and returns.
#include "front/store_reader.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "core/view/sample_publication.h"
#include "http/scripted_server.h"
#include "support/run_loop.h"

namespace sassafrasdyke::front {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

class Recorder final : public StoreListener {
 public:
  void OnStoreListing(std::vector<core::Item> items, common::Revision at,
                      milliseconds age) override {
    this->listings.push_back({at.value, items.size()});
    this->last_age = age;
  }
  void OnStoreChanges(core::ChangeBatch batch, milliseconds age) override {
    this->revisions.push_back(batch.at.value);
    this->last_age = age;
  }
  void OnStoreFailure(std::string_view what) override {
    this->failures.emplace_back(what);
  }
  void OnStoreListsAnew(std::string_view why) override {
    this->listed_anew.emplace_back(why);
  }

  struct Listing {
    std::uint64_t at;
    std::size_t items;
  };
  std::vector<Listing> listings;
  std::vector<std::uint64_t> revisions;
  std::vector<std::string> failures;
  std::vector<std::string> listed_anew;
  milliseconds last_age{0};
};

/// Notes how long the store was asked to hold each watch.
class WatchedPublication final : public core::SamplePublication {
 public:
  std::string WatchPath(common::Revision after,
                        milliseconds wait) const override {
    this->waits.push_back(wait);
    return SamplePublication::WatchPath(after, wait);
  }

  mutable std::vector<milliseconds> waits;
};

/// Short waits, so that tests are quick; none of them decides a verdict.
StoreLimits QuickLimits() {
  StoreLimits limits;
  limits.wait = 20ms;
  limits.slack = 100ms;
  limits.first_retry = 1ms;
  limits.longest_retry = 5ms;
  limits.pace = 1ms;
  return limits;
}

struct Scene {
  explicit Scene(const StoreLimits& limits = QuickLimits())
      : server(loop),
        reader(loop, server.Address(), publication, limits, 1, recorder) {}

  void Answer(unsigned status, const std::string& body) {
    this->server.Script({"HTTP/1.1 " + std::to_string(status) +
                             " X\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body,
                         false});
  }
  template <typename Done>
  void RunUntil(Done done) {
    this->reader.SetReading(core::StoreReading::kNeeded);
    BOOST_REQUIRE(tests::RunUntil(this->loop, done));
  }

  ev::dynamic_loop loop;
  http::ScriptedServer server;
  WatchedPublication publication;
  Recorder recorder;
  StoreReader reader;
};

// The pages of a listing are read one after the other while things change. What
// changed after the first page must be told by the watch, so the watch starts
// where the first page was read.
BOOST_AUTO_TEST_CASE(a_watch_starts_at_the_first_page_of_the_listing) {
  Scene scene;
  scene.Answer(200, "5 more\na 1 x\n");
  scene.Answer(200, "8\nb 7 y\n");
  scene.Answer(200, "9\na 6 z\n");

  scene.RunUntil([&] { return !scene.recorder.revisions.empty(); });

  BOOST_REQUIRE(scene.recorder.listings.size() == 1U);
  BOOST_TEST(scene.recorder.listings[0].at == 5U);
  BOOST_TEST(scene.recorder.listings[0].items == 2U);
  BOOST_TEST(scene.recorder.revisions[0] == 9U);
}

// Changes come in groups, so a reader pauses after one before it watches again.
// Were the next watch held as long as ever, those who depend on the reader
// would hear nothing for so long that all of them asked the store themselves.
BOOST_AUTO_TEST_CASE(a_pause_counts_as_waiting) {
  StoreLimits limits = QuickLimits();
  limits.pace = 10ms;
  Scene scene(limits);
  scene.Answer(200, "5\na 1 x\n");
  scene.Answer(200, "6\nb 6 y\n");
  scene.Answer(200, "6\n");
  scene.Answer(200, "6\n");

  scene.RunUntil([&] { return scene.recorder.revisions.size() == 3; });

  const std::vector<milliseconds>& waits = scene.publication.waits;
  BOOST_TEST((waits.at(0) == 20ms));
  BOOST_TEST((waits.at(1) >= 5ms));
  BOOST_TEST((waits.at(1) <= 15ms));
  BOOST_TEST((waits.at(2) == 20ms));
}

// Guards against abandoning and repeating a listing whose bytes still arrive,
// slowly, over a shared link.
BOOST_AUTO_TEST_CASE(a_listing_that_arrives_slowly_is_not_repeated) {
  StoreLimits limits = QuickLimits();
  limits.slack = 1000ms;
  Scene scene(limits);
  scene.server.Script({"HTTP/1.1 200 X\r\nContent-Length: 8\r\n\r\n",
                       false,
                       {"5", "\n", "a", " ", "1", " ", "x", "\n"},
                       200ms});

  scene.RunUntil([&] {
    return !scene.recorder.listings.empty() || !scene.recorder.failures.empty();
  });

  BOOST_TEST(scene.recorder.failures.empty());
  BOOST_REQUIRE(scene.recorder.listings.size() == 1U);
  BOOST_TEST(scene.recorder.listings[0].items == 1U);
}

/// Parts of an answer that arrive 100 ms apart.
struct SlowAnswer {
  std::string name;
  bool watch;  ///< Of a watch, or the first of two pages of a listing.
  std::vector<std::string> parts;
};

std::ostream& operator<<(std::ostream& out, const SlowAnswer& row) {
  return out << row.name;
}

const SlowAnswer kSlowAnswers[] = {
    {"a watch", true, {"6", "\n", "b", " ", "6", " y\n"}},
    {"a listing", false, {"5 more\n", "a", " ", "1", " ", "x\n"}}};

// Guards against a view that seems as new as the last byte of an answer: the
// store may have changed while it was on its way.
BOOST_DATA_TEST_CASE(an_answer_is_as_old_as_its_first_bytes, kSlowAnswers,
                     row) {
  StoreLimits limits = QuickLimits();
  limits.wait = 2000ms;
  limits.slack = 2000ms;
  Scene scene(limits);
  if (row.watch) {
    scene.Answer(200, "5\na 1 x\n");
  }
  std::size_t size = 0;
  for (const std::string& part : row.parts) {
    size += part.size();
  }
  scene.server.Script(
      {"HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n",
       false, row.parts, 100ms});
  if (!row.watch) {
    scene.Answer(200, "8\nb 7 y\n");
  }

  scene.RunUntil([&] {
    return row.watch ? !scene.recorder.revisions.empty()
                     : !scene.recorder.listings.empty();
  });

  BOOST_TEST((scene.recorder.last_age >= 500ms));
}

// Guards against all instances of a fleet receiving a large listing at once
// when no peer has answered yet.
BOOST_AUTO_TEST_CASE(a_probe_rejects_a_large_listing) {
  StoreLimits limits = QuickLimits();
  limits.max_probe_answer = 10;
  Scene scene(limits);
  scene.Answer(200, "5\na 1 x\nb 2 y\n");

  scene.reader.SetReading(core::StoreReading::kProbe);
  BOOST_REQUIRE(tests::RunUntil(
      scene.loop, [&] { return !scene.recorder.failures.empty(); }));

  BOOST_TEST(scene.recorder.failures[0] == "too-large");
  BOOST_TEST(scene.recorder.listings.empty());
}

struct RetryRow {
  core::StoreReading reading;
  milliseconds first;
  milliseconds longest;
};

std::ostream& operator<<(std::ostream& out, const RetryRow& row) {
  return out << static_cast<int>(row.reading);
}

const RetryRow kRetries[] = {
    {core::StoreReading::kNeeded, 1ms, 5ms},
    {core::StoreReading::kSubstitute, 5ms, 70ms},
};

// The store is away. Who others depend on asks again soon; the rest of the
// fleet mustn't use up the store's rate just when it returns.
BOOST_DATA_TEST_CASE(substitutes_ask_again_later, kRetries, row) {
  StoreLimits limits = QuickLimits();
  limits.longest_substitute_retry = 70ms;
  const core::BackoffLimits retries = RetriesFor(limits, row.reading);
  BOOST_TEST((retries.first == row.first));
  BOOST_TEST((retries.longest == row.longest));
}

// The store has dropped its history. Going on with the next event would miss
// what was in the gap: a target that drains, or a configuration.
BOOST_AUTO_TEST_CASE(a_lost_history_is_listed_anew) {
  Scene scene;
  scene.Answer(200, "5\na 1 x\n");
  scene.Answer(410, "");
  scene.Answer(200, "90\na 1 x\n");

  scene.RunUntil([&] { return scene.recorder.listings.size() == 2; });

  BOOST_TEST(scene.recorder.listings[1].at == 90U);
  BOOST_TEST(scene.recorder.failures.empty());
}

struct Untaken {
  std::string why;
  std::string response;  ///< To a watch.
};

std::ostream& operator<<(std::ostream& out, const Untaken& row) {
  return out << row.why;
}

const Untaken kUntaken[] = {
    {"too-large", "HTTP/1.1 200 X\r\nContent-Length: 31\r\n\r\n"},
    {"malformed", "nothing of HTTP\r\n\r\n"},
    {"unreadable", "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nnoise"}};

// Guards against asking again and again for changes that are never taken, while
// an old configuration stays in force.
BOOST_DATA_TEST_CASE(changes_that_cant_be_taken_are_listed, kUntaken, row) {
  StoreLimits limits = QuickLimits();
  limits.max_answer = 30;
  Scene scene(limits);
  scene.Answer(200, "5\na 1 x\n");
  scene.server.Script({row.response, false});
  scene.Answer(200, "90\na 88 x\n");

  scene.RunUntil([&] { return scene.recorder.listings.size() == 2; });

  BOOST_TEST(scene.recorder.listings[1].at == 90U);
  BOOST_TEST(scene.recorder.failures.empty());
  BOOST_REQUIRE(scene.recorder.listed_anew.size() == 1U);
  BOOST_TEST(scene.recorder.listed_anew[0] == row.why);
}

// Guards against listing without a pause while the store answers no watch in a
// way that can be taken.
BOOST_AUTO_TEST_CASE(listings_in_place_of_changes_become_rarer) {
  constexpr std::size_t kListings = 8;
  StoreLimits limits = QuickLimits();
  limits.first_retry = 20ms;
  limits.longest_retry = 1000ms;
  Scene scene(limits);
  for (std::size_t i = 0; i < kListings; ++i) {
    scene.Answer(200, "5\na 1 x\n");
    scene.Answer(200, "noise");
  }
  const auto started = std::chrono::steady_clock::now();

  scene.RunUntil([&] { return scene.recorder.listings.size() == kListings; });

  // Seven pauses up to the first limit would take 140 ms at most.
  BOOST_TEST((std::chrono::steady_clock::now() - started > 140ms));
}

// A copy from another instance comes while a long listing is under way. The
// listing is older; going on with it would cost the store a call for each page.
BOOST_AUTO_TEST_CASE(a_newer_copy_ends_a_listing) {
  Scene scene;
  scene.Answer(200, "5 more\na 1 x\n");
  scene.server.Script({"", false});
  scene.RunUntil([&] { return scene.server.Requests() == 2; });
  scene.reader.SetReading(core::StoreReading::kNone);
  scene.reader.HasRevision({6});
  scene.Answer(200, "7\na 7 y\n");

  scene.RunUntil([&] { return !scene.recorder.revisions.empty(); });

  BOOST_TEST(scene.recorder.listings.empty());
  BOOST_TEST(scene.recorder.revisions[0] == 7U);
}

// Guards against parsing the first page of a superseded listing as the answer
// to a watch.
BOOST_AUTO_TEST_CASE(a_copy_ends_a_listing_before_its_first_page) {
  Scene scene;
  scene.server.Script({"", false});
  scene.RunUntil([&] { return scene.server.Requests() == 1; });
  scene.reader.HasRevision({6});
  scene.Answer(200, "7\na 7 y\n");

  scene.RunUntil([&] { return !scene.recorder.revisions.empty(); });

  BOOST_TEST(scene.recorder.failures.empty());
  BOOST_TEST(scene.recorder.revisions[0] == 7U);
}

struct Trouble {
  unsigned status;
  std::string body;
  std::string word;
};

std::ostream& operator<<(std::ostream& out, const Trouble& row) {
  return out << row.word << " " << row.status;
}

const Trouble kTroubles[] = {
    {503, "", "refused"}, {429, "", "refused"}, {200, "noise", "unreadable"}};

// Whatever the store answers, the reader says so once and asks again.
BOOST_DATA_TEST_CASE(a_failed_call_is_repeated, kTroubles, row) {
  Scene scene;
  scene.Answer(row.status, row.body);
  scene.Answer(200, "5\na 1 x\n");

  scene.RunUntil([&] { return !scene.recorder.listings.empty(); });

  BOOST_REQUIRE(scene.recorder.failures.size() == 1U);
  BOOST_TEST(scene.recorder.failures[0] == row.word);
}

// The connection falls silent for good, without a reset. The reader finds out
// by its own time-out and goes on over a new one, from where it was.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced) {
  Scene scene;
  scene.Answer(200, "5\na 1 x\n");
  scene.server.Script({"", false});
  scene.Answer(200, "6\na 6 y\n");

  scene.RunUntil([&] { return !scene.recorder.revisions.empty(); });

  BOOST_TEST(scene.recorder.failures.size() == 1U);
  BOOST_TEST(scene.recorder.listings.size() == 1U);
  BOOST_TEST(scene.server.Accepted() == 2);
}

}  // namespace
}  // namespace sassafrasdyke::front
