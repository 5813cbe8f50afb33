/// What the lines about flows say.
#include "front/front_log.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

#include "front/log_pipe.h"

namespace sassafrasdyke::front {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

/// A packet of an established flow.
core::FlowPacket OpenFlowsPacket() {
  core::FlowPacket packet;
  packet.flow = {*common::Endpoint::Parse("127.2.0.7:1033"),
                 *common::Endpoint::Parse("198.18.0.1:443")};
  packet.flags.ack = true;
  return packet;
}

core::TargetEntry EntryIn(core::TargetPhase phase, bool replaced) {
  core::TargetEntry entry;
  entry.name = "target/a1";
  entry.phase = phase;
  entry.replaced = replaced;
  entry.gone_at = 400ms;
  return entry;
}

/// A log whose lines can be read back.
struct Scene {
  Scene() : lines(this->loop, this->pipe.WriteEnd(), {}), log(this->lines) {}

  std::vector<Json> Written(std::chrono::milliseconds now) {
    std::string all;
    // A pipe holds less than a rush of lines.
    for (std::string part = " "; !part.empty(); all += part) {
      this->lines.OnTick(now);
      part = this->pipe.ReadAll();
    }
    std::vector<Json> read;
    std::istringstream text(all);
    for (std::string line; std::getline(text, line);) {
      read.push_back(Json::parse(line));
    }
    return read;
  }

  ev::dynamic_loop loop;
  const LogPipe pipe;
  LineLog lines;
  FrontLog log;
};

struct Reset {
  core::RefusalReason reason;
  core::TargetEntry entry;
  core::LivenessEvidence signs;
  /// The line's fields that name the evidence.
  Json evidence;
};

std::ostream& operator<<(std::ostream& out, const Reset& row) {
  return out << row.evidence;
}

const Reset kResets[] = {
    {core::RefusalReason::kTargetGone,
     EntryIn(core::TargetPhase::kGone, true),
     {},
     {{"target", "target/a1"},
      {"phase", "gone"},
      {"replaced", true},
      {"gone_age_ms", 600}}},
    {core::RefusalReason::kTargetSilent,
     EntryIn(core::TargetPhase::kServing, false),
     {200ms, core::ProbeOutcome::kSilent, 990ms},
     {{"target", "target/a1"},
      {"phase", "serving"},
      {"answered_age_ms", 800},
      {"probe", "silent"},
      {"probe_age_ms", 10}}},
};

// Guards against a reset of an open flow that nobody can explain: its line
// names neither the target nor what showed that it had ended.
BOOST_DATA_TEST_CASE(a_reset_names_its_target_and_evidence, kResets, row) {
  Scene scene;

  scene.log.OnDecision(OpenFlowsPacket(),
                       core::Refuse{row.reason, core::TargetIndex{1}},
                       DecisionTarget{row.entry, row.signs}, {}, 1000ms);

  const std::vector<Json> written = scene.Written(1000ms);
  BOOST_REQUIRE(written.size() == 1U);
  for (const auto& [name, value] : row.evidence.items()) {
    BOOST_TEST(written[0].value(name, Json()) == value, name);
  }
  BOOST_TEST(!written[0].contains("probe") == !row.evidence.contains("probe"));
}

struct History {
  std::optional<std::chrono::milliseconds> flow_seen;
  std::optional<std::chrono::milliseconds> route_withdrawn;
  Json fields;
};

std::ostream& operator<<(std::ostream& out, const History& row) {
  return out << row.fields;
}

const History kHistories[] = {
    {std::nullopt, std::nullopt, Json::object()},
    {40ms, std::nullopt, {{"flow_seen_ms", 40}}},
    {40ms, 900ms, {{"flow_seen_ms", 40}, {"route_withdrawn_ms", 900}}}};

// Guards against a reset whose line doesn't tell whether the view lost the
// route before or after the flow came.
BOOST_DATA_TEST_CASE(a_reset_without_a_route_names_its_history, kHistories,
                     row) {
  Scene scene;

  scene.log.OnDecision(
      OpenFlowsPacket(), core::Refuse{core::RefusalReason::kNoRoute}, {},
      {.flow_seen = row.flow_seen, .route_withdrawn = row.route_withdrawn},
      1000ms);

  const std::vector<Json> written = scene.Written(1000ms);
  BOOST_REQUIRE(written.size() == 1U);
  for (const char* const name : {"flow_seen_ms", "route_withdrawn_ms"}) {
    BOOST_TEST(written[0].value(name, Json()) == row.fields.value(name, Json()),
               name);
  }
}

// Guards against a refusal whose line doesn't say how many SYNs waited, and how
// often the client had sent this one.
BOOST_AUTO_TEST_CASE(an_overloaded_refusal_names_the_queue) {
  Scene scene;
  core::FlowPacket syn = OpenFlowsPacket();
  syn.flags = {};
  syn.flags.syn = true;
  syn.repeats = 1;

  scene.log.OnDecision(syn, core::Refuse{core::RefusalReason::kOverloaded}, {},
                       {.revision = {9}, .view_age = 250ms, .waiting = 40},
                       1000ms);

  const std::vector<Json> written = scene.Written(1000ms);
  BOOST_REQUIRE(written.size() == 1U);
  BOOST_TEST(written[0]["reason"] == "overloaded");
  BOOST_TEST(written[0]["opening"] == true);
  BOOST_TEST(written[0]["waiting"] == 40);
  BOOST_TEST(written[0]["repeats"] == 1);
}

const common::Endpoint kPeer{common::IpAddress::FromV4(0x0A000007), 7720};

// Guards against an evacuation of which the log doesn't say from when on, by
// whom it was heard and how old the view was.
BOOST_AUTO_TEST_CASE(an_evacuation_names_its_source_and_age) {
  Scene scene;

  scene.log.OnViewChange(core::EvacuationChange{"north", true, 40, {7}},
                         {ChangeWay::kDigest, kPeer, 1900ms},
                         {.revision = {9}, .view_age = 250ms}, 1000ms);
  scene.log.OnViewChange(core::EvacuationChange{"north", false, 39, {}},
                         {ChangeWay::kWatch, std::nullopt, std::nullopt},
                         {.revision = {12}, .view_age = std::nullopt}, 2000ms);

  const std::vector<Json> written = scene.Written(2000ms);
  BOOST_REQUIRE(written.size() == 2U);
  BOOST_TEST(written[0]["event"] == "evacuation-in-force");
  BOOST_TEST(written[0]["evacuated"] == "north");
  BOOST_TEST(written[0]["targets"] == 40);
  BOOST_TEST(written[0]["published"] == 7);
  BOOST_TEST(written[0]["source"] == "peer");
  BOOST_TEST(written[0]["view_age_ms"] == 250);
  BOOST_TEST(written[0]["way"] == "digest");
  BOOST_TEST(written[0]["peer"] == kPeer.ToString());
  BOOST_TEST(written[0]["unconfirmed_ms"] == 1900);
  BOOST_TEST(written[1]["event"] == "evacuation-lifted");
  BOOST_TEST(!written[1].contains("published"));
  BOOST_TEST(written[1]["source"] == "store");
  BOOST_TEST(written[1]["way"] == "watch");
  BOOST_TEST(!written[1].contains("unconfirmed_ms"));
}

// Guards against a target that counts as ended while the log doesn't say which
// target's entry showed that.
BOOST_AUTO_TEST_CASE(a_replaced_target_names_its_successor) {
  Scene scene;
  const common::Endpoint address = *common::Endpoint::Parse("10.0.0.1:80");

  for (const bool replaced : {true, false}) {
    scene.log.OnViewChange(
        core::TargetChange{core::TargetIndex{1}, "target/a1", "diary",
                           core::TargetPhase::kGone, replaced,
                           replaced ? "target/b2" : "", address},
        {}, {}, 1000ms);
  }

  const std::vector<Json> written = scene.Written(1000ms);
  BOOST_REQUIRE(written.size() == 2U);
  BOOST_TEST(written[0]["address"] == "10.0.0.1:80");
  BOOST_TEST(written[0]["replaced_by"] == "target/b2");
  BOOST_TEST(!written[1].contains("replaced_by"));
}

// Guards against a late view of which the log doesn't tell whether peers know
// more, and when the instance will read the store itself.
BOOST_AUTO_TEST_CASE(a_late_view_names_what_it_waits_for) {
  Scene scene;

  scene.log.OnLateView({.age = 2500ms,
                        .last_digest_ago = 40ms,
                        .highest_heard = {12},
                        .copy = core::CopyState::kWaiting,
                        .reading = core::StoreReading::kNone,
                        .substitute_in = 300ms},
                       {9}, 1000ms);
  scene.log.OnLateView({.age = 3000ms}, {9}, 1000ms);

  const std::vector<Json> written = scene.Written(1000ms);
  BOOST_REQUIRE(written.size() == 2U);
  BOOST_TEST(written[0]["event"] == "view-late");
  BOOST_TEST(written[0]["view_age_ms"] == 2500);
  BOOST_TEST(written[0]["last_digest_ms"] == 40);
  BOOST_TEST(written[0]["highest_heard"] == 12);
  BOOST_TEST(written[0]["revision"] == 9);
  BOOST_TEST(written[0]["copy"] == "waiting");
  BOOST_TEST(written[0]["reading"] == "none");
  BOOST_TEST(written[0]["substitute_in_ms"] == 300);
  BOOST_TEST(!written[1].contains("last_digest_ms"));
}

// Guards against spillover of which the log doesn't tell the load behind it.
BOOST_AUTO_TEST_CASE(a_crossed_share_names_the_load) {
  Scene scene;

  scene.log.OnShareChange({"north", "diary", true, 61.5, 70.25, 80, 1200ms, 25},
                          1000ms);
  scene.log.OnShareChange({"north", "diary", false}, 2000ms);

  const std::vector<Json> written = scene.Written(2000ms);
  BOOST_REQUIRE(written.size() == 2U);
  BOOST_TEST(written[0]["channel"] == "load");
  BOOST_TEST(written[0]["event"] == "domain-over-share");
  BOOST_TEST(written[0]["about"] == "north");
  BOOST_TEST(written[0]["service"] == "diary");
  BOOST_TEST(written[0]["demand"] == 61.5);
  BOOST_TEST(written[0]["concurrency"] == 70.25);
  BOOST_TEST(written[0]["slots"] == 80);
  BOOST_TEST(written[0]["age_ms"] == 1200);
  BOOST_TEST(written[0]["reporters"] == 25);
  BOOST_TEST(written[1]["event"] == "domain-below-share");
}

// Guards against resets of open flows that are left out of the log: a rush of
// new flows spends the budget of its channel.
BOOST_AUTO_TEST_CASE(a_rush_of_new_flows_hides_no_reset) {
  Scene scene;
  core::FlowPacket syn = OpenFlowsPacket();
  syn.flags = {};
  syn.flags.syn = true;
  for (int i = 0; i < 5000; ++i) {
    scene.log.OnDecision(syn, core::Refuse{core::RefusalReason::kNoRoute}, {},
                         {}, 1000ms);
  }
  const std::size_t before = scene.Written(1000ms).size();

  scene.log.OnDecision(OpenFlowsPacket(),
                       core::Refuse{core::RefusalReason::kTargetGone}, {}, {},
                       1000ms);

  BOOST_TEST(before < 5000U);
  const std::vector<Json> written = scene.Written(1000ms);
  BOOST_REQUIRE(!written.empty());
  BOOST_TEST(written.front()["reason"] == "target-gone");
  BOOST_TEST(written.front()["channel"] == "flow");
}

struct Health {
  core::HealthEvent event;
  core::OutlierState why;
  Json fields;
};

std::ostream& operator<<(std::ostream& out, const Health& row) {
  return out << row.fields;
}

const Health kHealths[] = {{core::HealthEvent::kEjected,
                            core::OutlierState::kFailing,
                            {{"event", "target-ejected"},
                             {"why", "failing"},
                             {"requests", 40},
                             {"failures", 15},
                             {"mean_ms", 31},
                             {"median_ms", 30},
                             {"reporters", 7}}},
                           {core::HealthEvent::kSlow,
                            core::OutlierState::kSlow,
                            {{"event", "target-slow"}, {"why", "slow"}}},
                           {core::HealthEvent::kBack,
                            core::OutlierState::kSilent,
                            {{"event", "target-back"}, {"why", "silent"}}}};

// Guards against a change of health without its evidence in the log.
BOOST_DATA_TEST_CASE(changes_of_health_have_their_evidence, kHealths, row) {
  Scene scene;
  core::HealthChange change;
  change.event = row.event;
  change.why = row.why;
  change.evidence = {row.why, 0, 40.4, 14.6, 20, 31.2, 30, 7};
  scene.log.OnHealthChange("target/a1", change, 500ms);
  const std::vector<Json> lines = scene.Written(500ms);

  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0]["channel"] == "health");
  BOOST_TEST(lines[0]["target"] == "target/a1");
  for (const auto& [key, value] : row.fields.items()) {
    BOOST_TEST(lines[0][key] == value);
  }
  BOOST_TEST(lines[0].contains("requests") ==
             (row.why != core::OutlierState::kSilent));
}

}  // namespace
}  // namespace sassafrasdyke::front
