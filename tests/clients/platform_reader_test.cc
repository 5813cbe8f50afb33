/// Reading the platform's documents over HTTP.
#include "clients/platform_reader.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "clients/http_stand_in.h"
#include "support/run_loop.h"

namespace sassafrasdyke::clients {
namespace {

using namespace std::chrono_literals;

const std::string kPath = "/configuration";

std::string Text(std::uint64_t revision) {
  return "{ \"revision\": " + std::to_string(revision) + ", \"fleet\": \"f\" }";
}

/// Remembers what it was told of the configuration.
class Recorder final : public PlatformListener {
 public:
  void OnPlatformDocument(const core::Document& document) override {
    if (document.kind == core::DocumentKind::kConfiguration) {
      this->revisions.push_back(document.revision.value);
    }
  }
  void OnPlatformRefused(core::DocumentKind /*kind*/,
                         const core::DocumentFaults& faults) override {
    this->faults.insert(this->faults.end(), faults.begin(), faults.end());
  }
  void OnPlatformAnswer(core::DocumentKind kind, bool reached) override {
    if (kind == core::DocumentKind::kConfiguration) {
      ++(reached ? this->reached : this->failed);
    }
  }

  std::vector<std::uint64_t> revisions;
  core::DocumentFaults faults;
  int reached{0};
  int failed{0};
};

/// Short waits, so that tests are quick; none of them decides a verdict.
PlatformLimits QuickLimits() {
  PlatformLimits limits;
  limits.wait = 100ms;
  limits.slack = 30s;
  limits.first_retry = 5ms;
  limits.longest_retry = 20ms;
  limits.first_read = 5ms;
  limits.pace = 5ms;
  limits.max_answer = 1000;
  return limits;
}

/// A reader of a stand-in platform.
struct Fixture {
  ev::dynamic_loop loop;
  HttpStandIn platform;
  Recorder recorder;
  PlatformLimits limits{QuickLimits()};
  PlatformReader reader{loop, "http://" + platform.Address(), limits, 1,
                        recorder};

  const PlatformCounts& Counts() const {
    return this->reader.Counts(core::DocumentKind::kConfiguration);
  }
  bool Requested(const std::string& request) const {
    const std::vector<std::string> all = this->platform.Requests();
    return std::find(all.begin(), all.end(), request) != all.end();
  }
};

BOOST_FIXTURE_TEST_CASE(passes_newer_revisions_on_and_asks_for_later, Fixture) {
  this->platform.Script(kPath, {200, Text(7), false});
  this->platform.Script(kPath, {200, Text(9), false});
  this->platform.Script(kPath, {304, "", false});
  this->reader.Watch(true);

  BOOST_TEST(tests::RunUntil(this->loop, [this] {
    return this->Requested("/configuration?after=9&wait_ms=100");
  }));

  BOOST_TEST(this->Requested("/configuration"));
  BOOST_TEST(this->Requested("/configuration?after=7&wait_ms=100"));
  BOOST_TEST((this->recorder.revisions == std::vector<std::uint64_t>{7, 9}));
}

BOOST_FIXTURE_TEST_CASE(reads_only_while_it_is_told_to, Fixture) {
  this->platform.Script(kPath, {200, Text(1), false});
  this->platform.Script(kPath, {304, "", false});
  this->reader.Watch(true);
  BOOST_TEST(tests::RunUntil(this->loop,
                             [this] { return this->Counts().unchanged > 0; }));

  this->reader.Watch(false);
  const std::uint64_t reads = this->Counts().reads;
  this->reader.HasRevision(core::DocumentKind::kConfiguration, {5});
  this->loop.run(ev::NOWAIT);
  BOOST_TEST(this->Counts().reads == reads);

  this->reader.Watch(true);
  BOOST_TEST(tests::RunUntil(this->loop, [this] {
    return this->Requested("/configuration?after=5&wait_ms=100");
  }));
}

// The platform's own copies lag behind each other, and a reader is handed to
// one that has not heard of the newest revision. Passing the old one on would
// take back a change that operators have seen in force.
BOOST_FIXTURE_TEST_CASE(never_passes_on_an_older_revision, Fixture) {
  this->platform.Script(kPath, {200, Text(7), false});
  this->platform.Script(kPath, {200, Text(6), false});
  this->platform.Script(kPath, {200, Text(7), false});
  this->platform.Script(kPath, {200, Text(8), false});
  this->platform.Script(kPath, {304, "", false});
  this->reader.Watch(true);

  BOOST_TEST(tests::RunUntil(this->loop,
                             [this] { return this->Counts().unchanged > 0; }));

  BOOST_TEST((this->recorder.revisions == std::vector<std::uint64_t>{7, 8}));
  BOOST_TEST(this->Counts().older == 2U);
}

struct BadAnswer {
  HttpStandIn::Answer answer;
  std::uint64_t PlatformCounts::*counted;
};

std::ostream& operator<<(std::ostream& out, const BadAnswer& row) {
  return out << row.answer.status << " of " << row.answer.body.size()
             << " bytes";
}

const BadAnswer kBadAnswers[] = {
    {{500, "", false}, &PlatformCounts::failures},
    {{404, Text(9), false}, &PlatformCounts::failures},
    {{200, "", false}, &PlatformCounts::refused},
    {{200, "{\"revision\": 9", false}, &PlatformCounts::refused},
    {{200, "{\"revision\": 9, \"what\": 1}", false}, &PlatformCounts::refused},
    {{200, Text(9) + std::string(1000, ' '), false}, &PlatformCounts::failures},
};

// The platform fails, answers rubbish or without end, or goes silent in the
// middle of an answer. A reader that stopped, or took what it could, would
// leave its failure domain on an old or a half configuration for good.
BOOST_DATA_TEST_CASE(goes_on_after_a_bad_answer, kBadAnswers, row) {
  Fixture fixture;
  fixture.platform.Script(kPath, {200, Text(7), false});
  fixture.platform.Script(kPath, row.answer);
  fixture.platform.Script(kPath, {200, Text(10), false});
  fixture.platform.Script(kPath, {304, "", false});
  fixture.reader.Watch(true);

  BOOST_TEST(tests::RunUntil(fixture.loop, [&fixture] {
    return fixture.recorder.revisions.size() == 2;
  }));

  BOOST_TEST((fixture.recorder.revisions == std::vector<std::uint64_t>{7, 10}));
  const PlatformCounts counts = fixture.Counts();
  BOOST_TEST((counts.*row.counted) == 1U);
  const bool failure = row.counted == &PlatformCounts::failures;
  BOOST_TEST(fixture.recorder.failed == (failure ? 1 : 0));
  BOOST_TEST(fixture.recorder.faults.empty() == failure);
}

// The platform accepts a request and goes silent: its machine is gone, and the
// network says nothing. A reader without a deadline would wait for good.
BOOST_AUTO_TEST_CASE(gives_up_a_request_that_is_never_answered) {
  HttpStandIn platform;
  platform.Script(kPath, {200, Text(9), true});
  platform.Script(kPath, {200, Text(10), false});
  PlatformLimits limits = QuickLimits();
  limits.slack = 100ms;
  ev::dynamic_loop loop;
  Recorder recorder;
  PlatformReader reader(loop, "http://" + platform.Address(), limits, 1,
                        recorder);
  reader.Watch(true);

  BOOST_TEST(tests::RunUntil(
      loop, [&recorder] { return !recorder.revisions.empty(); }));

  BOOST_TEST(recorder.revisions[0] == 10U);
  BOOST_TEST(recorder.failed >= 1);
}

// The platform is down when the process starts, as after a failure of a whole
// domain. The process must say so and keep trying, not stop.
BOOST_AUTO_TEST_CASE(says_that_the_platform_cannot_be_reached) {
  std::string address;
  {
    const HttpStandIn ended;
    address = ended.Address();
  }
  ev::dynamic_loop loop;
  Recorder recorder;
  PlatformReader reader(loop, "http://" + address, QuickLimits(), 1, recorder);
  reader.Watch(true);

  BOOST_TEST(
      tests::RunUntil(loop, [&recorder] { return recorder.failed >= 3; }));
  BOOST_TEST(recorder.reached == 0);
}

}  // namespace
}  // namespace sassafrasdyke::clients
