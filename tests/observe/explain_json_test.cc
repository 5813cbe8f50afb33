/// What an instance says of itself.
#include "observe/explain_json.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "observe/fault_json.h"

namespace sassafrasdyke::observe {
namespace {

using Json = nlohmann::json;

BOOST_AUTO_TEST_CASE(explains_before_the_first_configuration) {
  const StateBoard board;

  const Json json = Json::parse(ExplainState({{3}, {2}}, board.Read()));

  BOOST_TEST(json["instance"] == 3);
  BOOST_TEST(json["documents"]["configuration"] == 0);
  BOOST_TEST(!json.contains("targets"));
}

BOOST_AUTO_TEST_CASE(names_exceptions_targets_and_refusals_with_reasons) {
  core::Configuration configuration;
  configuration.revision = {7};
  core::Service diary;
  diary.id = {1};
  diary.name = "diary";
  configuration.services.push_back(diary);
  core::Target target;
  target.id = {101};
  target.service = {1};
  configuration.targets.push_back(target);
  configuration.exceptions.push_back(
      {"services/diary", {"deviate_by"}, "short rentals"});
  ControlState state;
  state.configuration =
      std::make_shared<const core::Configuration>(configuration);
  state.view.lease = core::Lease::kStale;
  state.health.push_back(
      {{101}, core::TargetHealth::kShedding, 4, common::InstanceId{9}});
  core::MemberStatus member;
  member.id = {4};
  member.use = core::InstanceUse::kSuspected;
  member.suspected_by = {{5}, {6}};
  state.status.members.push_back(member);
  core::BudgetStatus budget;
  budget.budget = core::MessageBudget::kDeltas;
  budget.limited = 3;
  state.status.budgets.push_back(budget);
  core::DocumentRefused refused;
  refused.revision = {8};
  refused.faults = {{"/services/diary/address", "is missing"}};
  state.refusals.push_back(refused);
  StateBoard board;
  board.Publish(state);

  const Json json = Json::parse(ExplainState({{3}, {2}}, board.Read()));

  BOOST_TEST(json["lease"] == "stale");
  BOOST_TEST(json["exceptions"][0]["reason"] == "short rentals");
  BOOST_TEST(json["targets"][0]["service"] == "diary");
  BOOST_TEST(json["targets"][0]["health"] == "shedding");
  BOOST_TEST(json["members"][0]["use"] == "suspected");
  BOOST_TEST(json["members"][0]["suspected_by"] == Json({5, 6}));
  BOOST_TEST(json["budgets"]["deltas"]["limited"] == 3);
  BOOST_TEST(json["refusals"][0]["faults"][0]["path"] ==
             "/services/diary/address");
  BOOST_TEST(json["refusals"][0]["faults_not_named"] == 0);
}

// A template that writes the targets gets a key wrong, and each of tens of
// thousands of entries has a fault. Somebody who asks an instance why it still
// runs the old revision must not get megabytes of the same answer.
BOOST_AUTO_TEST_CASE(names_the_first_faults_and_counts_the_rest) {
  constexpr std::size_t kFaults = 40'000;
  core::DocumentRefused refused;
  refused.faults.assign(kFaults, {"targets/diary-01", "is missing"});
  ControlState state;
  state.refusals.push_back(refused);
  StateBoard board;
  board.Publish(state);

  const Json json = Json::parse(ExplainState({{3}, {2}}, board.Read()));

  const Json& refusal = json["refusals"][0];
  BOOST_TEST(refusal["faults"].size() == kNamedFaults);
  BOOST_TEST(refusal["faults_not_named"] == kFaults - kNamedFaults);
}

}  // namespace
}  // namespace sassafrasdyke::observe
