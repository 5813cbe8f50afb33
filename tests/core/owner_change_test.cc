/// Changes of ownership while instances have different views, with few
/// balancers whose views each test sets explicitly.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <variant>
#include <vector>

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
constexpr std::uint32_t kJoiner = 3;

/// Three instances of one domain: one leaves, one is its successor, one joins.
class Fleet : public testing::ExplicitFleet {
 public:
  Fleet()
      : ExplicitFleet(
            testing::SampleConfiguration({.services = 1, .partitions = 8})) {
    for (const std::uint32_t id : {kLeaver, kSuccessor}) {
      this->Start(id);
      this->SetView(id, {kLeaver, kSuccessor}, false);
    }
    this->Advance(8s);
  }

  /// Sets the members in the view of `id`; with `leaves`, the leaver is marked
  /// as leaving.
  void SetView(std::uint32_t id, const std::vector<std::uint32_t>& members,
               bool leaves) {
    this->ExplicitFleet::SetView(id, members, leaves ? kLeaver : 0);
  }
};

/// A new revision with the target at index `target` draining.
Configuration WithDrained(Configuration configuration, std::size_t target) {
  ++configuration.revision.value;
  configuration.targets.at(target).state = TargetState::kDraining;
  return configuration;
}

/// The instance at which the packet after the SYN enters.
const std::uint32_t kEntries[] = {kLeaver, kSuccessor, kJoiner};

// Guards against two owners of one partition that send a flow to different
// targets: the leaver has given the partition up to its successor, the joiner
// has taken it over, and the successor has heard of neither change.
BOOST_DATA_TEST_CASE(a_flow_of_one_owner_is_known_to_the_other, kEntries,
                     entry) {
  int placed_by_joiner = 0;
  for (std::uint32_t caller = 0; caller < 200; ++caller) {
    Fleet fleet;
    const std::size_t targets = fleet.configuration.targets.size();
    const Configuration drained =
        WithDrained(fleet.configuration, caller % targets);
    for (const std::uint32_t id : {kLeaver, kSuccessor}) {
      fleet.Configure(id, drained);
    }
    fleet.configuration = drained;
    fleet.SetView(kLeaver, {kLeaver, kSuccessor}, true);
    fleet.Start(kJoiner);
    fleet.SetView(kJoiner, {kLeaver, kSuccessor, kJoiner}, true);
    fleet.SetView(kSuccessor, {kLeaver, kSuccessor, kJoiner}, false);

    const common::FlowKey flow = FlowOf(caller);
    const common::TargetId placed = fleet.Send(kJoiner, Syn(flow));
    const common::TargetId reached = fleet.Send(entry, Data(flow));

    BOOST_TEST((placed.value == 0 || reached.value == 0 || reached == placed));
    placed_by_joiner +=
        fleet.balancers[kJoiner]->Status().flows > 0 && placed.value != 0 ? 1
                                                                          : 0;
  }
  BOOST_TEST(placed_by_joiner > 0);
}

/// A new revision whose last target is new and the only one that isn't
/// draining.
Configuration WithOnlyNewTarget(Configuration configuration) {
  ++configuration.revision.value;
  Target added = configuration.targets.front();
  added.id = {added.id.value + 50};
  added.tunnel.port = static_cast<std::uint16_t>(added.tunnel.port + 50);
  added.state = TargetState::kServing;
  for (Target& target : configuration.targets) {
    target.state = TargetState::kDraining;
  }
  configuration.targets.push_back(added);
  return configuration;
}

/// Opens the flow at the last target of `later`, which only the leaver's
/// configuration has, and hands it over. Empty if the successor owns the flow's
/// partition.
std::optional<common::TargetId> HandOverAtNewTarget(
    Fleet& fleet, const Configuration& later, const common::FlowKey& flow) {
  fleet.Configure(kLeaver, later);
  const common::TargetId placed = fleet.Send(kLeaver, Syn(flow));
  if (placed != later.targets.back().id) {
    return std::nullopt;
  }
  fleet.Send(kLeaver, Data(flow, 1));
  for (const std::uint32_t id : {kLeaver, kSuccessor}) {
    fleet.SetView(id, {kLeaver, kSuccessor}, true);
  }
  fleet.Advance(1s);
  return placed;
}

// Guards against the loss of a flow in a hand-over: its target is in a later
// configuration than the new owner's.
BOOST_AUTO_TEST_CASE(a_flow_at_an_unknown_target_is_kept) {
  int tried = 0;
  for (std::uint32_t caller = 0; caller < 100; ++caller) {
    Fleet fleet;
    const Configuration later = WithOnlyNewTarget(fleet.configuration);
    const common::FlowKey flow = FlowOf(caller);
    const auto placed = HandOverAtNewTarget(fleet, later, flow);
    if (!placed) {
      continue;  // The successor owns the partition.
    }
    ++tried;
    const common::TargetId early = fleet.Send(kSuccessor, Data(flow, 2));
    fleet.Configure(kSuccessor, later);
    fleet.Advance(1s);

    BOOST_TEST((early.value == 0 || early == *placed));
    BOOST_TEST(fleet.Send(kSuccessor, Data(flow, 2)) == *placed);
  }
  BOOST_TEST(tried > 0);
}

// Guards against an empty copy set that removes such a flow from the new owner:
// the previous owner has dropped it and is asked about other flows meanwhile.
BOOST_AUTO_TEST_CASE(a_flow_at_an_unknown_target_survives_a_negative_answer) {
  constexpr std::uint32_t kCallers = 20;
  constexpr std::uint32_t kUnknownFlows = 200;
  int tried = 0;
  for (std::uint32_t caller = 0; caller < kCallers; ++caller) {
    Fleet fleet;
    const Configuration later = WithOnlyNewTarget(fleet.configuration);
    const common::FlowKey flow = FlowOf(caller);
    const auto placed = HandOverAtNewTarget(fleet, later, flow);
    if (!placed) {
      continue;  // The successor owns the partition.
    }
    ++tried;
    for (std::uint32_t other = 0; other < kUnknownFlows; ++other) {
      fleet.Send(kSuccessor, Data(FlowOf(kCallers + other), 2));
    }
    fleet.Advance(2s);
    fleet.Configure(kSuccessor, later);
    fleet.Advance(1s);

    BOOST_TEST(fleet.Send(kSuccessor, Data(flow, 2)) == *placed);
  }
  BOOST_TEST(tried > 0);
}

/// How the successor takes over the leaver's partitions, and whether it may
/// refuse SYNs.
struct Succession {
  const char* name;
  std::chrono::milliseconds owned;  ///< By the leaver, before it goes.
  bool hands_over;                  ///< It leaves cleanly; else it crashes.
  bool refuses;                     ///< SYNs, shortly afterwards.
};

std::ostream& operator<<(std::ostream& out, const Succession& row) {
  return out << row.name;
}

const Succession kSuccessions[] = {
    {"from an old owner", 40s, true, true},
    {"from an owner that came lately", 10s, true, false},
    {"from one that died", 40s, false, false}};

// Guards against a caller that gets no answer for half a minute: no target
// takes new flows, and a new owner doesn't refuse SYNs although its predecessor
// handed over everything.
BOOST_DATA_TEST_CASE(a_new_owner_refuses_syns_like_its_predecessor,
                     kSuccessions, row) {
  Fleet fleet;
  fleet.Advance(row.owned);
  Configuration drained = fleet.configuration;
  ++drained.revision.value;
  for (Target& target : drained.targets) {
    target.state = TargetState::kDraining;
  }
  for (const std::uint32_t id : {kLeaver, kSuccessor}) {
    fleet.Configure(id, drained);
  }
  if (row.hands_over) {
    for (const std::uint32_t id : {kLeaver, kSuccessor}) {
      fleet.SetView(id, {kLeaver, kSuccessor}, true);
    }
    fleet.Advance(1s);
  }
  fleet.balancers.erase(kLeaver);
  fleet.SetView(kSuccessor, {kSuccessor}, false);
  fleet.Advance(6s);

  std::size_t refused = 0;
  for (std::uint32_t caller = 100; caller < 200; ++caller) {
    refused += std::holds_alternative<ResetCaller>(
                   fleet.Decide(kSuccessor, Syn(FlowOf(caller))))
                   ? 1
                   : 0;
  }
  BOOST_TEST((refused == 100U) == row.refuses);
}

// Guards against a false "not run": the successor can't create a record for a
// SYN that was handed over, since its configuration lacks the target.
BOOST_AUTO_TEST_CASE(a_syn_at_an_unknown_target_is_not_refused) {
  int tried = 0;
  for (std::uint32_t caller = 0; caller < 20; ++caller) {
    Fleet fleet;
    fleet.Advance(40s);
    Configuration drained = fleet.configuration;
    ++drained.revision.value;
    for (Target& target : drained.targets) {
      target.state = TargetState::kDraining;
    }
    fleet.Configure(kSuccessor, drained);
    const Configuration later = WithOnlyNewTarget(drained);
    fleet.Configure(kLeaver, later);
    const common::FlowKey flow = FlowOf(caller);
    if (fleet.Send(kLeaver, Syn(flow)) != later.targets.back().id) {
      continue;  // The successor owns the partition.
    }
    ++tried;
    for (const std::uint32_t id : {kLeaver, kSuccessor}) {
      fleet.SetView(id, {kLeaver, kSuccessor}, true);
    }
    fleet.Advance(6s);

    const PacketAction action = fleet.Decide(kSuccessor, Syn(flow));

    BOOST_TEST(!std::holds_alternative<ResetCaller>(action));
  }
  BOOST_TEST(tried > 0);
}

// Guards against a flow that moves to the target of the one before it: its
// caller reuses the port of a flow that the leaver has seen closing, while the
// leaver hands over.
BOOST_AUTO_TEST_CASE(a_reused_port_keeps_its_new_target) {
  constexpr std::uint32_t kCallers = 100;
  constexpr std::uint32_t kNewSequence = 5000;
  int tried = 0;
  for (std::uint32_t caller = 0; caller < kCallers; ++caller) {
    Fleet fleet;
    const std::size_t targets = fleet.configuration.targets.size();
    const common::FlowKey flow = FlowOf(caller);
    // The first flow is at another target than its default.
    const Configuration first =
        WithDrained(fleet.configuration, caller % targets);
    for (const std::uint32_t id : {kLeaver, kSuccessor}) {
      fleet.Configure(id, first);
    }
    const common::TargetId before = fleet.Send(kLeaver, Syn(flow));
    fleet.Send(kLeaver, Data(flow));
    fleet.Send(kLeaver, testing::Fin(flow));
    Configuration next = first;
    ++next.revision.value;
    for (Target& target : next.targets) {
      target.state =
          target.id == before ? TargetState::kDraining : TargetState::kServing;
    }
    for (const std::uint32_t id : {kLeaver, kSuccessor}) {
      fleet.Configure(id, next);
    }
    fleet.Advance(1s);
    for (const std::uint32_t id : {kLeaver, kSuccessor}) {
      fleet.SetView(id, {kLeaver, kSuccessor}, true);
    }
    const common::TargetId placed =
        fleet.Send(kSuccessor, Syn(flow, kNewSequence));
    if (placed.value == 0 || placed == before) {
      continue;
    }
    ++tried;
    const common::TargetId at_leaver =
        fleet.Send(kLeaver, Data(flow, kNewSequence + 1));
    fleet.Advance(2s);

    BOOST_TEST((at_leaver.value == 0 || at_leaver == placed));
    BOOST_TEST(fleet.Send(kSuccessor, Data(flow, kNewSequence + 1)) == placed);
  }
  BOOST_TEST(tried > 0);
}

}  // namespace
}  // namespace sassafrasdyke::core
