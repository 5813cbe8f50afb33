/// Open flows whose route or target seems to have ended, at an instance that
/// may lag behind the one that opened them.
#include "core/steering/end_evidence.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

const std::string kRoute = "198.18.0.1:443=diary";

/// Two targets of one service and its route.
struct Scene : SteeringScene {
  Scene() {
    this->Configure("1 " + kRoute, 0ms);
    this->Publish("a1", "diary north 10.0.0.1:80 start=1000", 0ms);
    this->Publish("a2", "diary north 10.0.0.2:80 start=1000", 0ms);
  }

  /// Sends a request on an open flow.
  std::string Request(std::uint32_t word, std::chrono::milliseconds now) {
    return std::string(
        core::WordOf(this->steering.OnPacket(Data(1000, word), now)));
  }
  void Confirm(std::optional<std::chrono::milliseconds> at) {
    if (at) {
      this->view.Contact().OnAnswer(*at);
    }
  }
};

/// A packet of an open flow at an instance that learnt at 5000 ms of the end of
/// the flow's route.
struct WithdrawnRouteRow {
  std::string name;
  std::uint32_t word;
  std::chrono::milliseconds first_seen;
  std::chrono::milliseconds at;
  std::optional<std::chrono::milliseconds> confirmed_at;
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const WithdrawnRouteRow& row) {
  return out << row.name;
}

const WithdrawnRouteRow kWithdrawnRoutes[] = {
    {"before the withdrawal", 0xA1, 4000ms, 5100ms, {}, "no-route"},
    {"about the withdrawal", 0xA1, 4800ms, 5100ms, {}, "carried"},
    {"about it, confirmed since", 0xA1, 4800ms, 5400ms, 5300ms, "no-route"},
    {"since", 0xA1, 5100ms, 5100ms, {}, "carried"},
    {"since, not confirmed", 0xA1, 5100ms, 9000ms, {}, "carried"},
    {"since, soon confirmed", 0xA1, 5100ms, 5500ms, 5400ms, "carried"},
    {"since, confirmed later", 0xA1, 5100ms, 5700ms, 5600ms, "no-route"},
    {"since, unknown target", 0xC1, 5100ms, 5300ms, {}, "unknown-target"},
    {"since, unknown target, later", 0xC1, 5100ms, 5700ms, 5600ms, "no-route"},
};

// Guards against resetting a flow that was opened after its withdrawn route was
// published again, which this instance hasn't learnt of.
BOOST_DATA_TEST_CASE(a_withdrawal_ends_no_flow_that_may_be_younger,
                     kWithdrawnRoutes, row) {
  Scene scene;
  if (row.first_seen < 5000ms) {
    scene.Request(row.word, row.first_seen);
  }
  scene.Configure("2", 5000ms);
  if (row.first_seen >= 5000ms && row.first_seen < row.at) {
    scene.Request(row.word, row.first_seen);
  }
  scene.Confirm(row.confirmed_at);

  BOOST_TEST(scene.Request(row.word, row.at) == row.outcome);

  if (row.word == 0xA1) {
    scene.Configure("3 " + kRoute, row.at);
    BOOST_TEST(scene.Request(row.word, row.at) == "carried");
  }
}

/// A packet of an open flow at an instance that learnt at 5000 ms of the end of
/// the flow's target. `successor`: of another target, which started later at
/// the same address.
struct GoneTargetRow {
  std::string name;
  bool successor;
  std::chrono::milliseconds first_seen;
  std::chrono::milliseconds at;
  std::optional<std::chrono::milliseconds> confirmed_at;
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const GoneTargetRow& row) {
  return out << row.name << (row.successor ? ", replaced" : ", removed");
}

const GoneTargetRow kGoneTargets[] = {
    {"before", false, 4000ms, 6100ms, {}, "target-gone"},
    {"before", true, 4000ms, 5100ms, {}, "target-gone"},
    {"about", false, 4800ms, 6100ms, {}, "carried"},
    {"about, confirmed since", false, 4800ms, 6100ms, 5300ms, "target-gone"},
    {"since", false, 6100ms, 6100ms, {}, "carried"},
    {"since", true, 5100ms, 5100ms, {}, "carried"},
    {"since, not confirmed", false, 6100ms, 9000ms, {}, "carried"},
    {"since, not confirmed", true, 5100ms, 9000ms, {}, "carried"},
    {"since, soon confirmed", false, 6100ms, 6700ms, 6500ms, "carried"},
    {"since, confirmed later", false, 6100ms, 6700ms, 6600ms, "target-gone"},
    {"since, confirmed later", true, 5100ms, 5700ms, 5600ms, "target-gone"},
};

// Guards against resetting a flow that was opened after its target had started
// again under its name, which this instance hasn't learnt of.
BOOST_DATA_TEST_CASE(an_end_of_a_target_ends_no_flow_that_may_be_younger,
                     kGoneTargets, row) {
  Scene scene;
  if (row.first_seen < 5000ms) {
    scene.Request(0xA1, row.first_seen);
  }
  if (row.successor) {
    scene.Publish("c1", "diary north 10.0.0.1:80 start=90000", 5000ms);
  } else {
    scene.Remove("a1", 5000ms);
  }
  if (row.first_seen >= 5000ms && row.first_seen < row.at) {
    scene.Request(0xA1, row.first_seen);
  }
  scene.Confirm(row.confirmed_at);

  BOOST_TEST(scene.Request(0xA1, row.at) == row.outcome);

  scene.Publish("a1", "diary north 10.0.0.3:80 start=99000", row.at);
  BOOST_TEST(scene.Request(0xA1, row.at) == "carried");
}

/// A flow that came at 4000 ms, and one that came at 5200 ms, with the view
/// confirmed last at `confirmed_at`.
struct ReplacedTargetRow {
  std::chrono::milliseconds confirmed_at;
  std::size_t told;
};

std::ostream& operator<<(std::ostream& out, const ReplacedTargetRow& row) {
  return out << row.confirmed_at.count() << " ms";
}

const ReplacedTargetRow kReplacedTargets[] = {{5400ms, 1}, {5700ms, 2}};

// Guards against resetting idle flows at a target that was replaced before they
// were opened: it has started again elsewhere.
BOOST_DATA_TEST_CASE(clients_are_told_of_the_end_of_older_flows_only,
                     kReplacedTargets, row) {
  Scene scene;
  const TargetIndex target = scene.IndexOf(0xA1);
  scene.steering.OnPacket(SteeringScene::Ack(1000, 0xA1), 4000ms);
  scene.steering.OnPacket(SteeringScene::Ack(1001, 0xA1), 5200ms);
  scene.view.Contact().OnAnswer(row.confirmed_at);
  scene.view.OnPeerItems({{scene.revision},
                          {scene.revision + 1},
                          false,
                          {{"target/c1",
                            {scene.revision + 1},
                            "diary north 10.0.0.1:80 start=90000"}}},
                         6000ms);

  BOOST_TEST(scene.steering.TakeEndedFlows(target, 6000ms).size() == row.told);
}

/// Ages of the store's answer, made or begun that long before it was whole.
struct SlowAnswerRow {
  std::chrono::milliseconds age;
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const SlowAnswerRow& row) {
  return out << row.age.count() << " ms";
}

const SlowAnswerRow kSlowAnswers[] = {{0ms, "no-route"},
                                      {200ms, "no-route"},
                                      {700ms, "carried"},
                                      {3000ms, "carried"}};

// Guards against an answer that takes long to arrive and counts as proof for
// flows that were opened meanwhile.
BOOST_DATA_TEST_CASE(an_answer_shows_what_was_true_when_it_was_made,
                     kSlowAnswers, row) {
  Scene scene;
  scene.Configure("2", 5000ms);
  scene.Request(0xA1, 5100ms);
  scene.view.Contact().OnAnswer(6000ms, row.age);

  BOOST_TEST(scene.Request(0xA1, 6010ms) == row.outcome);
}

/// A digest of a view that was confirmed 100 ms before it was sent, read so
/// long after a pause of 2 s that ended at 8000 ms.
struct ResumeRow {
  std::chrono::milliseconds read_after;
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const ResumeRow& row) {
  return out << row.read_after.count() << " ms";
}

const ResumeRow kResumes[] = {
    {10ms, "carried"}, {200ms, "carried"}, {300ms, "no-route"}};

// Guards against a digest that waited in the socket during a pause and counts
// as proof for flows that were opened meanwhile.
BOOST_DATA_TEST_CASE(what_waited_during_a_pause_is_no_newer_than_the_pause,
                     kResumes, row) {
  Scene scene;
  scene.Configure("2", 5000ms);
  scene.Request(0xA1, 5900ms);
  scene.view.Contact().OnPause(2000ms, 8000ms);
  const auto now = 8000ms + row.read_after;
  scene.view.Contact().OnConfirmed(now - 100ms, now);

  BOOST_TEST(scene.Request(0xA1, now) == row.outcome);
}

// Guards against an end of the process when a probe ends after its target was
// forgotten.
BOOST_AUTO_TEST_CASE(a_forgotten_target_has_no_flows) {
  Scene scene;

  BOOST_TEST(scene.steering.TakeEndedFlows({99}, 1000ms).empty());
}

struct FailedProbe {
  ProbeOutcome outcome;
  std::chrono::milliseconds started;
};

/// A packet of an open flow whose target has failed probes.
struct SilentTargetRow {
  std::string name;
  std::vector<FailedProbe> probes;
  bool opened_here;
  std::chrono::milliseconds first_seen;
  std::chrono::milliseconds at;
  std::optional<std::chrono::milliseconds> confirmed_at;
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const SilentTargetRow& row) {
  return out << row.name;
}

const std::vector<FailedProbe> kRefused = {{ProbeOutcome::kRefused, 5000ms}};
const std::vector<FailedProbe> kRefusedTwice = {
    {ProbeOutcome::kRefused, 5000ms}, {ProbeOutcome::kRefused, 6000ms}};
const std::vector<FailedProbe> kSilentTwice = {{ProbeOutcome::kSilent, 4700ms},
                                               {ProbeOutcome::kSilent, 5000ms}};

const SilentTargetRow kSilentTargets[] = {
    {"before", kRefused, false, 4000ms, 5100ms, 4600ms, "target-silent"},
    {"opened here", kRefused, true, 4000ms, 5100ms, {}, "target-silent"},
    // The target may have started again at another address.
    {"before, not confirmed", kRefused, false, 4000ms, 5100ms, {}, "carried"},
    {"since", kRefused, false, 5100ms, 5100ms, {}, "carried"},
    {"since, confirmed", kRefused, false, 5100ms, 5800ms, 5700ms, "carried"},
    {"since, opened here", kRefused, true, 5100ms, 5800ms, 5700ms, "carried"},
    {"before the second", kRefusedTwice, false, 5100ms, 6100ms, 5700ms,
     "target-silent"},
    {"before both", kSilentTwice, false, 4600ms, 5300ms, 5200ms,
     "target-silent"},
    {"between two", kSilentTwice, false, 4800ms, 5400ms, 5350ms, "carried"},
};

// Guards against resetting a flow that was opened after its target had started
// again, as probes of the former start failed.
BOOST_DATA_TEST_CASE(a_failed_probe_ends_no_flow_that_may_be_younger,
                     kSilentTargets, row) {
  Scene scene;
  std::uint32_t word = 0xA1;
  const auto send_first = [&] {
    if (row.opened_here) {
      word = scene.SteeringScene::WordOf(
          scene.steering.OnPacket(SteeringScene::Syn(1000), row.first_seen));
    }
    scene.Request(word, row.first_seen);
  };
  // Rows for flows of any target: all of them fail the probes.
  const auto probe = [&](const FailedProbe& failed) {
    for (const std::uint32_t probed : {0xA1U, 0xA2U}) {
      scene.steering.Watch().OnReportedSilent(scene.IndexOf(probed));
      scene.steering.Watch().OnProbed(scene.IndexOf(probed), failed.outcome,
                                      failed.started, failed.started + 20ms);
    }
  };
  bool sent = false;
  for (const FailedProbe& failed : row.probes) {
    if (!sent && row.first_seen < failed.started) {
      send_first();
      sent = true;
    }
    probe(failed);
  }
  if (!sent) {
    send_first();
  }
  scene.Confirm(row.confirmed_at);

  BOOST_TEST(scene.Request(word, row.at) == row.outcome);
  const bool ended = row.outcome == "target-silent";
  BOOST_TEST(
      scene.steering.TakeEndedFlows(scene.IndexOf(word), row.at).size() ==
      (ended ? 1U : 0U));
}

}  // namespace
}  // namespace sassafrasdyke::core
