/// The JSON of each kind of line.
#include "observe/log_line.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

#include "observe/fault_json.h"

namespace sassafrasdyke::observe {
namespace {

using Json = nlohmann::json;

constexpr LogIdentity kIdentity{{3}, {2}};

std::shared_ptr<const core::Configuration> SomeConfiguration() {
  core::Configuration configuration;
  configuration.revision = {7};
  core::Service diary;
  diary.id = {1};
  diary.name = "diary";
  configuration.services.push_back(diary);
  return std::make_shared<const core::Configuration>(configuration);
}

template <typename What>
Json LineOf(What what) {
  constexpr std::chrono::milliseconds kTime{1'700'000'000'007};
  const LogLine line =
      WriteLine(kIdentity, {std::chrono::system_clock::time_point(kTime),
                            SomeConfiguration(), std::move(what)});
  return Json::parse(line.json);
}

core::FlowDecision FlowWith(std::variant<core::FlowPlaced, core::FlowReset,
                                         core::FlowDropped, core::FlowRecovered>
                                what) {
  core::FlowDecision decision;
  decision.flow = {*common::Endpoint::Parse("198.51.100.7:40000"),
                   *common::Endpoint::Parse("192.0.2.10:443")};
  decision.fingerprint = {0xABC};
  decision.partition = {{1}, {5}};
  decision.what = what;
  return decision;
}

BOOST_AUTO_TEST_CASE(every_line_says_who_and_under_what) {
  const Json line = LineOf(ProcessNote{.event = "listening", .detail = {}});

  BOOST_TEST(line["time"] == "2023-11-14T22:13:20.007Z");
  BOOST_TEST(line["instance"] == 3);
  BOOST_TEST(line["domain"] == 2);
  BOOST_TEST(line["revision"] == 7);
  BOOST_TEST(line["channel"] == "process");
  BOOST_TEST(line["level"] == "info");
  BOOST_TEST(line["event"] == "listening");
}

struct FlowRow {
  const char* decision;
  const char* reason;
  core::FlowDecision flow;
};

std::ostream& operator<<(std::ostream& out, const FlowRow& row) {
  return out << row.decision;
}

const FlowRow kFlowRows[] = {
    {"placed", "less-loaded",
     FlowWith(core::FlowPlaced{{101}, core::PlacementReason::kLessLoaded})},
    {"reset", "target-gone",
     FlowWith(core::FlowReset{core::ResetReason::kTargetGone})},
    {"dropped", "no-target",
     FlowWith(core::FlowDropped{core::DropReason::kNoTarget})},
    {"recovered", "fallback",
     FlowWith(core::FlowRecovered{{101}, core::PlacementReason::kFallback})},
};

BOOST_DATA_TEST_CASE(a_flow_line_says_what_and_why, kFlowRows, row) {
  const Json line = LineOf(core::Decision{row.flow});

  BOOST_TEST(line["channel"] == "flow");
  BOOST_TEST(line["flow"] == "198.51.100.7:40000->192.0.2.10:443");
  BOOST_TEST(line["fingerprint"] == "0000000000000abc");
  BOOST_TEST(line["service"] == "diary");
  BOOST_TEST(line["partition"] == 5);
  BOOST_TEST(line["decision"] == row.decision);
  BOOST_TEST(line["reason"] == row.reason);
}

// The platform publishes a document whose text isn't UTF-8, and the refusal
// quotes it. A line that can't be written would end the writer, and from then
// on nothing the instance does could be seen.
BOOST_AUTO_TEST_CASE(any_bytes_can_be_logged) {
  core::DocumentRefused refused;
  refused.revision = {8};
  refused.faults = {{"/services/\xFF\xFE", "isn't \x80 a name"}};

  const Json line = LineOf(core::FleetDecision{refused});

  BOOST_TEST(line["decision"] == "document-refused");
  BOOST_TEST(line["refused"] == 8);
  BOOST_TEST(line["level"] == "error");
  BOOST_TEST(line["faults"].size() == 1U);
}

// A template that writes the targets gets a key wrong, and the platform
// publishes the result: each of tens of thousands of entries has a fault. With
// all of them in one line, the line that tells why nothing changes any more is
// megabytes long, and what collects the log drops it.
BOOST_AUTO_TEST_CASE(a_line_names_the_first_faults_and_counts_the_rest) {
  constexpr std::size_t kFaults = 40'000;
  core::DocumentRefused refused;
  for (std::size_t i = 0; i < kFaults; ++i) {
    refused.faults.push_back({"targets/" + std::to_string(i), "is missing"});
  }

  const Json line = LineOf(core::FleetDecision{refused});

  BOOST_TEST(line["faults"].size() == kNamedFaults);
  BOOST_TEST(line["faults"][0]["path"] == "targets/0");
  BOOST_TEST(line["faults_not_named"] == kFaults - kNamedFaults);
}

}  // namespace
}  // namespace sassafrasdyke::observe
