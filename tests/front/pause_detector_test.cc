/// Which gaps between wake-ups count as pauses of the process, and who is told.
#include "front/pause_detector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "front/shared_parts.h"

namespace sassafrasdyke::front {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

struct SetClock final : ProcessClock {
  milliseconds Now() const override { return this->now; }
  milliseconds now{0};
};

struct Told final : PauseListener {
  void OnPause(milliseconds length, milliseconds now) override {
    ++this->pauses;
    this->length = length;
    this->now = now;
  }
  int pauses{0};
  milliseconds length{0};
  milliseconds now{0};
};

struct Gap {
  milliseconds length;
  int pauses;
};

std::ostream& operator<<(std::ostream& out, const Gap& row) {
  return out << row.length.count() << " ms";
}

const Gap kGaps[] = {{100ms, 0}, {300ms, 0}, {301ms, 1}, {10s, 1}};

// Guards against a delayed tick that counts as a pause, a pause of which only
// one part of the process learns, and one that is told twice.
BOOST_DATA_TEST_CASE(long_gaps_are_told_once_to_all, kGaps, row) {
  SetClock clock;
  PauseDetector detector(clock);
  Told first;
  Told second;
  detector.Add(first);
  detector.Add(second);
  clock.now = 5s;  // Before the first wake-up nothing can wait.
  detector.OnWake();
  clock.now += row.length;
  detector.OnWake();
  detector.OnWake();

  for (const Told* const told : {&first, &second}) {
    BOOST_TEST(told->pauses == row.pauses);
    BOOST_TEST((told->length == (row.pauses > 0 ? row.length : 0ms)));
    BOOST_TEST((told->now == (row.pauses > 0 ? clock.now : 0ms)));
  }
}

/// A digest of an instance of `domain` with a load report of that domain, and a
/// target that the sender has ejected.
core::PeerObservations DigestOf(const std::string& domain,
                                const core::TargetNumber& ejected,
                                milliseconds sent_at) {
  core::PeerObservations digest;
  digest.sent_at = sent_at;
  digest.own = core::LoadReport{};
  digest.domains = {{domain, 3, 3, 0ms, {}}};
  digest.targets.emplace_back().target = ejected;
  digest.targets.back().weight = 0;
  return digest;
}

// Guards against shared parts that aren't told of pauses: digests that waited
// in the socket would make a partitioned domain reachable and eject targets.
BOOST_AUTO_TEST_CASE(shared_parts_discard_what_waited_during_a_pause) {
  config::FrontSettings settings;
  settings.domain = "north";
  settings.load.share_load = true;
  settings.load.eject_targets = true;
  settings.load.max_ejected = 0.5;
  core::TargetTable targets(60s);
  for (std::uint32_t i = 1; i <= 4; ++i) {
    core::PublishedTarget target;
    target.number = {i};
    target.service = "diary";
    target.domain = "north";
    target.address = {common::IpAddress::FromV4(i), 80};
    targets.Publish("target/" + std::to_string(i), target, 0ms);
  }
  core::TargetWatch watch;
  SetClock clock;
  PauseDetector detector(clock);
  SharedParts parts(settings, targets, 1);
  detector.Add(parts);
  detector.OnWake();
  const auto hear = [&] {
    for (const std::string domain : {"north", "south"}) {
      for (core::ObservationExchange* const exchange : parts.Exchanges()) {
        exchange->OnObservations(
            {common::IpAddress::FromV4(domain == "north" ? 1 : 2), 7720},
            domain, DigestOf(domain, {1}, clock.now), clock.now);
      }
    }
    parts.OnTick(watch, 3, clock.now);
  };
  clock.now = 5s;
  detector.OnWake();
  hear();
  BOOST_TEST(parts.DomainLoads().size() == 1U);
  BOOST_TEST(parts.TargetsByHealth().at("failing") == 0U);

  clock.now += 250ms;
  detector.OnWake();
  hear();
  BOOST_TEST(parts.DomainLoads().size() == 2U);
  BOOST_TEST(parts.TargetsByHealth().at("failing") == 1U);
}

}  // namespace
}  // namespace sassafrasdyke::front
