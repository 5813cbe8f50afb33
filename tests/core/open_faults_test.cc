/// Faults of flows and owners that are open; KNOWN-RED.txt lists each case.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <ostream>
#include <variant>

#include "core/explicit_fleet.h"
#include "core/samples.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using testing::Data;
using testing::FlowOf;
using testing::Syn;

constexpr std::uint32_t kLeaver = 1;
constexpr std::uint32_t kSuccessor = 2;

/// Where the leaver's flow is when the successor takes it over.
struct ReturnedTargetRow {
  const char* name;
  bool packet_before;  ///< A packet of it comes before the removal is known.
};

std::ostream& operator<<(std::ostream& out, const ReturnedTargetRow& row) {
  return out << row.name;
}

const ReturnedTargetRow kReturnedTargets[] = {
    {"its first packet comes before the removal", true},
    {"its first packet comes after the removal", false}};

// Guards against sending a flow to another target, which resets it: the former
// owner opened it after its target was published again, and the new owner
// learns of the removal only now.
BOOST_DATA_TEST_CASE(a_removal_ends_no_flow_that_was_opened_since,
                     kReturnedTargets, row) {
  int tried = 0;
  for (std::uint32_t caller = 0; caller < 100; ++caller) {
    testing::ExplicitFleet fleet(
        testing::SampleConfiguration({.services = 1, .partitions = 8}));
    for (const std::uint32_t id : {kLeaver, kSuccessor}) {
      fleet.Start(id);
      fleet.SetView(id, {kLeaver, kSuccessor});
    }
    fleet.Advance(8s);
    const Configuration first = fleet.configuration;
    const std::size_t target = caller % first.targets.size();
    Configuration without = first;
    ++without.revision.value;
    without.targets.erase(without.targets.begin() +
                          static_cast<std::ptrdiff_t>(target));
    Configuration back = first;
    back.revision = without.revision;
    ++back.revision.value;
    for (Target& other : back.targets) {
      other.state = other.id == first.targets[target].id
                        ? TargetState::kServing
                        : TargetState::kDraining;
    }
    fleet.Configure(kLeaver, without);
    fleet.Configure(kLeaver, back);
    const common::FlowKey flow = FlowOf(caller);
    const common::TargetId placed = fleet.Send(kLeaver, Syn(flow));
    if (placed != first.targets[target].id ||
        fleet.balancers[kLeaver]->Status().flows == 0) {
      continue;  // At another target, or the successor owns the partition.
    }
    ++tried;
    fleet.Send(kLeaver, Data(flow, 1));
    for (const std::uint32_t id : {kLeaver, kSuccessor}) {
      fleet.SetView(id, {kLeaver, kSuccessor}, kLeaver);
    }
    fleet.Advance(1s);
    if (row.packet_before) {
      BOOST_TEST(fleet.Send(kSuccessor, Data(flow, 2)) == placed);
    }
    fleet.Configure(kSuccessor, without);

    const PacketAction action = fleet.Decide(kSuccessor, Data(flow, 3));
    BOOST_TEST(!std::holds_alternative<ResetCaller>(action));
    const common::TargetId reached = testing::ForwardedTo(action);
    BOOST_TEST((reached.value == 0 || reached == placed));
    fleet.Configure(kSuccessor, back);
    fleet.Advance(1s);
    BOOST_TEST(fleet.Send(kSuccessor, Data(flow, 3)) == placed);
  }
  BOOST_TEST(tried > 0);
}

}  // namespace
}  // namespace sassafrasdyke::core
