/// A failed request's cause, from log lines alone.
#include "front/flow_story.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/steering/flow_packet.h"

namespace sassafrasdyke::front {
namespace {

const std::string kFlow = "127.82.0.8:1026->198.18.0.1:443";

/// A line as an instance writes it; `rest` are the fields after the event.
std::string Line(int time, const std::string& instance,
                 const std::string& channel, const std::string& event,
                 const std::string& rest) {
  return R"({"time_ms":)" + std::to_string(time) + R"(,"instance":")" +
         instance + R"(","channel":")" + channel + R"(","event":")" + event +
         "\"" + rest + "}";
}

std::string FlowLine(int time, const std::string& event,
                     const std::string& rest) {
  return Line(time, "front-1", "flow", event,
              R"(,"flow":")" + kFlow + "\"" + rest);
}

struct Walk {
  std::string name;
  std::vector<std::string> lines;
  std::vector<std::string> told;  ///< Parts of the story, in order.
  std::string conclusion;         ///< A part of it.
};

std::ostream& operator<<(std::ostream& out, const Walk& row) {
  return out << row.name;
}

const Walk kWalks[] = {
    {"never opened: no line at all",
     {Line(1000, "front-1", "process", "started", "")},
     {},
     "No instance wrote a line"},
    {"never opened: targets swallowed the SYNs",
     {FlowLine(1200, "placed",
               R"(,"reason":"retried-elsewhere","target":"t2","repeats":1)"),
      FlowLine(1000, "placed",
               R"(,"reason":"local","target":"t1","repeats":0)"),
      Line(1300, "front-1", "view", "probe",
           R"(,"target":"t1","outcome":"silent","silent_now":true)"),
      Line(1300, "front-1", "view", "probe",
           R"(,"target":"t9","outcome":"silent","silent_now":true)")},
     {"placed reason=local target=t1", "placed reason=retried-elsewhere",
      "probe target=t1 outcome=silent silent_now=true"},
     "sent on 2 times"},
    {"cut in the middle",
     {FlowLine(1000, "placed",
               R"(,"reason":"local","target":"t1","repeats":0)"),
      Line(4000, "front-1", "view", "target",
           R"(,"target":"t1","phase":"gone","source":"store")"),
      FlowLine(4100, "refused", R"(,"reason":"target-gone","opening":false)")},
     {"placed", "target target=t1 phase=gone", "refused reason=target-gone"},
     "may have run"},
    {"refused",
     {Line(500, "front-1", "process", "store-lost", R"(,"why":"timeout")"),
      Line(500, "front-2", "process", "store-lost", R"(,"why":"timeout")"),
      FlowLine(1000, "refused",
               R"(,"reason":"no-target","configuration":11,"revision":44)")},
     {"store-lost why=timeout",
      "refused reason=no-target configuration=11 revision=44"},
     "Nothing has run"},
    {"held back, then placed",
     {FlowLine(1000, "held", R"(,"reason":"targets-busy","waiting":12)"),
      FlowLine(1080, "placed", R"(,"reason":"relieved","target":"t4")")},
     {"held reason=targets-busy waiting=12", "placed reason=relieved"},
     "enough to do"},
    {"sent away by an evacuation",
     {Line(500, "front-1", "view", "evacuation-in-force",
           R"(,"evacuated":"north","targets":40,"published":7)"),
      FlowLine(1000, "placed", R"(,"reason":"evacuated","target":"t4")")},
     {"evacuation-in-force evacuated=north targets=40 published=7",
      "placed reason=evacuated"},
     "the operator had evacuated"},
    {"sent away by the load",
     {Line(500, "front-1", "load", "domain-over-share",
           R"(,"about":"south","service":"diary","demand":90,"slots":80)"),
      FlowLine(1000, "placed", R"(,"reason":"shared","target":"t4")")},
     {"domain-over-share about=south service=diary demand=90 slots=80",
      "placed reason=shared"},
     "needed more than its share"},
};

// A user complains about one request. Whoever is on call has the instances'
// logs and the flow's addresses, and wants the order of events and the cause,
// without what other instances and other targets did.
BOOST_DATA_TEST_CASE(a_story_has_the_order_and_the_cause, kWalks, row) {
  const FlowStory story = TellFlow(kFlow, row.lines);

  BOOST_REQUIRE(story.lines.size() == row.told.size());
  for (std::size_t i = 0; i < row.told.size(); ++i) {
    BOOST_TEST(story.lines[i].what.starts_with(row.told[i]),
               story.lines[i].what);
  }
  BOOST_TEST(story.conclusion.find(row.conclusion) != std::string::npos,
             story.conclusion);
  BOOST_TEST(WriteStory(story).find(row.conclusion) != std::string::npos);
}

// Files also hold what other programs wrote, and lines that were cut at a
// crash. They are counted, and the rest is told.
BOOST_AUTO_TEST_CASE(lines_of_others_are_counted) {
  const FlowStory story =
      TellFlow(kFlow, {"Segmentation fault", R"({"time_ms":"x"})", "",
                       R"({"time_ms":1,"event)", "[]",
                       FlowLine(1000, "refused", R"(,"reason":"no-route")")});

  BOOST_TEST(story.unreadable == 4U);
  BOOST_TEST(story.lines.size() == 1U);
}

struct Decision {
  std::string event;
  std::string_view reason;
};

std::ostream& operator<<(std::ostream& out, const Decision& row) {
  return out << row.event << " " << row.reason;
}

using core::RefusalReason;
using core::SilentDropReason;
using core::SteeringReason;

const Decision kDecisions[] = {
    {"placed", Word(SteeringReason::kLocal)},
    {"placed", Word(SteeringReason::kSpilled)},
    {"placed", Word(SteeringReason::kRelieved)},
    {"placed", Word(SteeringReason::kShared)},
    {"placed", Word(SteeringReason::kEvacuated)},
    {"placed", Word(SteeringReason::kSuspected)},
    {"placed", Word(SteeringReason::kRepeated)},
    {"placed", Word(SteeringReason::kRetried)},
    {"held", "targets-busy"},
    {"refused", Word(RefusalReason::kNoRoute)},
    {"refused", Word(RefusalReason::kNoTarget)},
    {"refused", Word(RefusalReason::kEvacuated)},
    {"refused", Word(RefusalReason::kTargetGone)},
    {"refused", Word(RefusalReason::kTargetSilent)},
    {"dropped", Word(SilentDropReason::kNoView)},
    {"dropped", Word(SilentDropReason::kStaleView)},
    {"dropped", Word(SilentDropReason::kUnknownTarget)},
    {"dropped", Word(SilentDropReason::kTargetsCold)},
    {"dropped", Word(SilentDropReason::kOtherService)},
    {"dropped", Word(SilentDropReason::kOutdated)},
    {"dropped", Word(SilentDropReason::kNotFromClient)},
};

// A decision whose reason the story doesn't know would leave whoever is on call
// with a bare word.
BOOST_DATA_TEST_CASE(every_reason_has_a_sentence, kDecisions, row) {
  const FlowStory story = TellFlow(
      kFlow, {FlowLine(1000, row.event,
                       R"(,"reason":")" + std::string(row.reason) + "\"")});

  BOOST_TEST(story.conclusion.find("has no sentence") == std::string::npos,
             story.conclusion);
}

}  // namespace
}  // namespace sassafrasdyke::front
