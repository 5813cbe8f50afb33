/// The decisions of a single instance for each kind of packet.
#include "core/flow_balancer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <ostream>
#include <vector>

#include "core/samples.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using testing::Data;
using testing::Fin;
using testing::FlowOf;
using testing::ForwardedTo;
using testing::Syn;

/// The only instance of its fleet, with a simulated clock.
class SingleInstance {
 public:
  explicit SingleInstance(const testing::SampleSize& size = {}) {
    this->Publish(testing::SampleConfiguration(size));
    this->balancer.OnFleetView(this->view, this->now, this->outbox);
  }

  void Publish(Configuration next) {
    this->configuration = std::move(next);
    this->balancer.OnConfiguration(testing::Accept(this->configuration),
                                   this->now, this->outbox);
  }

  /// Publishes a new revision with a change.
  void Change(const std::function<void(Configuration&)>& change) {
    Configuration next = this->configuration;
    ++next.revision.value;
    change(next);
    this->Publish(std::move(next));
  }

  /// Changes the instance's view of the fleet.
  void ChangeView(const std::function<void(FleetView&)>& change) {
    change(this->view);
    this->balancer.OnFleetView(this->view, this->now, this->outbox);
  }

  PacketAction Send(const PacketArrived& packet) {
    return this->balancer.OnPacket(packet, this->now, this->outbox);
  }

  /// Opens a flow with a handshake and some payload; returns its target.
  common::TargetId Open(const common::FlowKey& flow) {
    this->Send(Syn(flow));
    return ForwardedTo(this->Send(Data(flow)));
  }

  /// Advances the clock, with a tick each 100 ms.
  void Advance(std::chrono::milliseconds time) {
    const std::chrono::milliseconds end = this->now + time;
    while (this->now < end) {
      this->now += 100ms;
      this->balancer.OnTick(this->now, this->outbox);
    }
  }

  FlowBalancer balancer{{1}, {1}};
  Configuration configuration;
  FleetView view = testing::SampleView(1, 1);
  std::chrono::milliseconds now{1000};
  Outbox outbox;
};

template <typename T>
std::size_t CountDecisions(const Outbox& outbox) {
  std::size_t count = 0;
  for (const Decision& decision : outbox.decisions) {
    if (const auto* const flow = std::get_if<FlowDecision>(&decision)) {
      count += std::holds_alternative<T>(flow->what) ? 1 : 0;
    }
  }
  return count;
}

bool IsReset(const PacketAction& action, ResetReason reason) {
  const auto* const reset = std::get_if<ResetCaller>(&action);
  return reset != nullptr && reset->reason == reason;
}

bool IsDrop(const PacketAction& action, DropReason reason) {
  const auto* const drop = std::get_if<DropPacket>(&action);
  return drop != nullptr && drop->reason == reason;
}

// Guards against a flow that changes its target between packets, and against a
// placement that is logged once per packet.
BOOST_AUTO_TEST_CASE(a_flow_keeps_its_target_and_is_logged_once) {
  SingleInstance instance;
  const common::FlowKey flow = FlowOf(1);

  const common::TargetId target = ForwardedTo(instance.Send(Syn(flow)));

  BOOST_TEST(target.value > 0U);
  BOOST_TEST(ForwardedTo(instance.Send(Syn(flow))) == target);
  BOOST_TEST(ForwardedTo(instance.Send(Data(flow))) == target);
  BOOST_TEST(ForwardedTo(instance.Send(Fin(flow))) == target);
  BOOST_TEST(CountDecisions<FlowPlaced>(instance.outbox) == 1U);
}

// Guards against packets that reach another service: a caller connects to an
// address that no service has, and the balancer guesses one.
BOOST_AUTO_TEST_CASE(an_unknown_service_is_dropped) {
  SingleInstance instance;

  const PacketAction action = instance.Send(Syn(FlowOf(1, 9)));

  BOOST_TEST(IsDrop(action, DropReason::kUnknownService));
}

// Guards against a flow that is placed at a target of another service.
BOOST_AUTO_TEST_CASE(flows_of_one_service_reach_only_its_targets) {
  SingleInstance instance({.services = 3});
  for (std::uint32_t caller = 0; caller < 300; ++caller) {
    const std::uint32_t service = caller % 3 + 1;
    const common::TargetId target = instance.Open(FlowOf(caller, service));
    BOOST_TEST(target.value / testing::kTargetsPerServiceLimit == service);
  }
}

struct IdleTime {
  const char* name;
  bool established;
  bool closing;
  std::chrono::milliseconds kept;
  std::chrono::milliseconds gone;
};

std::ostream& operator<<(std::ostream& out, const IdleTime& row) {
  return out << row.name;
}

const IdleTime kIdleTimes[] = {
    {"only a SYN", false, false, 29s, 33s},
    {"established", true, false, 10'790s, 10'810s},
    {"closing", true, true, 9s, 13s},
};

// Guards against records that are erased before their state's idle time, or
// never.
BOOST_DATA_TEST_CASE(idle_flows_are_forgotten_by_state, kIdleTimes, row) {
  SingleInstance instance;
  instance.Send(Syn(FlowOf(1)));
  if (row.established) {
    instance.Send(Data(FlowOf(1)));
  }
  if (row.closing) {
    instance.Send(Fin(FlowOf(1)));
  }

  instance.Advance(row.kept);
  BOOST_TEST(instance.balancer.Status().flows == 1U);
  instance.Advance(row.gone - row.kept);
  BOOST_TEST(instance.balancer.Status().flows == 0U);
}

// Guards against established flows that break when callers open more flows than
// the table holds. New flows are reset with "not run", so that their callers
// may try elsewhere.
BOOST_AUTO_TEST_CASE(a_full_table_refuses_only_new_flows) {
  SingleInstance instance;
  instance.Change([](Configuration& next) { next.policy.max_flows = 32; });
  instance.Advance(31s);
  std::uint32_t opened = 0;
  while (opened < 100 &&
         ForwardedTo(instance.Send(Syn(FlowOf(opened)))).value != 0) {
    instance.Send(Data(FlowOf(opened)));
    ++opened;
  }

  BOOST_TEST(opened == 30U);
  BOOST_TEST(IsReset(instance.Send(Syn(FlowOf(500))), ResetReason::kNotRun));
  BOOST_TEST(ForwardedTo(instance.Send(Data(FlowOf(0), 200))).value > 0U);
  // The reserved part has room for an established flow of an earlier owner.
  BOOST_TEST(ForwardedTo(instance.Send(Data(FlowOf(600)))).value > 0U);
}

// Guards against a false "not run", after which the caller would repeat a
// request that was processed: the instance has just started, and an earlier
// owner may have forwarded the payload of a SYN that this one can't place.
BOOST_AUTO_TEST_CASE(a_new_owner_does_not_say_not_run) {
  SingleInstance instance;
  instance.Change([](Configuration& next) { next.policy.max_flows = 0; });

  const PacketAction action = instance.Send(Syn(FlowOf(1)));

  BOOST_TEST(IsDrop(action, DropReason::kTableFull));
}

// Guards against a draining target that gets new flows or loses its open ones.
BOOST_AUTO_TEST_CASE(a_draining_target_keeps_its_flows_and_gets_no_new) {
  SingleInstance instance;
  const common::TargetId target = instance.Open(FlowOf(1));
  instance.Change([target](Configuration& next) {
    testing::TargetOf(next, target.value).state = TargetState::kDraining;
  });

  for (std::uint32_t caller = 100; caller < 500; ++caller) {
    BOOST_TEST(instance.Open(FlowOf(caller)) != target);
  }
  BOOST_TEST(ForwardedTo(instance.Send(Data(FlowOf(1), 200))) == target);
}

struct RemovedTarget {
  const char* name;
  bool payload;
  Lease lease;
  bool expect_replaced;
  bool expect_reset;
};

std::ostream& operator<<(std::ostream& out, const RemovedTarget& row) {
  return out << row.name;
}

const RemovedTarget kRemovedTargets[] = {
    {"SYN only", false, Lease::kHeld, true, false},
    {"payload sent", true, Lease::kHeld, false, true},
    {"payload sent, cut off", true, Lease::kCutOff, false, false},
};

// Guards against a request that runs twice: a target is removed while a caller
// talks to it. Only a flow without forwarded payload may be placed again; any
// other is reset, so that its caller learns that the outcome is unknown, and
// only by an instance that holds its lease.
BOOST_DATA_TEST_CASE(a_removed_target, kRemovedTargets, row) {
  SingleInstance instance;
  const common::TargetId target =
      row.payload ? instance.Open(FlowOf(1))
                  : ForwardedTo(instance.Send(Syn(FlowOf(1))));
  instance.ChangeView([&row](FleetView& view) { view.lease = row.lease; });
  instance.Change([target](Configuration& next) {
    std::erase_if(next.targets, [target](const Target& candidate) {
      return candidate.id == target;
    });
  });

  const PacketAction action =
      instance.Send(row.payload ? Data(FlowOf(1), 102) : Syn(FlowOf(1)));

  BOOST_TEST((ForwardedTo(action).value > 0) == row.expect_replaced);
  BOOST_TEST(IsReset(action, ResetReason::kTargetGone) == row.expect_reset);
  BOOST_TEST((ForwardedTo(action) != target));
}

struct ReusedId {
  const char* name;
  std::function<void(Target&)> change;
};

std::ostream& operator<<(std::ostream& out, const ReusedId& row) {
  return out << row.name;
}

const ReusedId kReusedIds[] = {
    {"the id serves another service",
     [](Target& target) { target.service = {2}; }},
    {"the id stands for another tunnel",
     [](Target& target) { target.tunnel.port = 7000; }},
};

// Guards against an open flow that continues at another target: an operator
// reuses the id of its target.
BOOST_DATA_TEST_CASE(a_reused_target_id_resets_old_flows, kReusedIds, row) {
  SingleInstance instance({.services = 2});
  const common::TargetId target = instance.Open(FlowOf(1));
  instance.Change([&row, target](Configuration& next) {
    row.change(testing::TargetOf(next, target.value));
  });

  const PacketAction action = instance.Send(Data(FlowOf(1), 102));

  BOOST_TEST(IsReset(action, ResetReason::kTargetGone));
}

// Guards against a connection that hangs for hours: a firewall between instance
// and target drops a flow's state, and the caller retransmits the same segment
// without an answer although new connections to the target work.
BOOST_AUTO_TEST_CASE(a_flow_on_a_dead_path_is_reset) {
  SingleInstance instance({.targets_per_service = 1});
  instance.Open(FlowOf(1));
  instance.Advance(1s);
  instance.Send(Data(FlowOf(1), 500));
  PacketAction action = DropPacket{};
  std::chrono::milliseconds backoff = 300ms;
  for (int repeat = 0; repeat < 4; ++repeat) {
    instance.Advance(backoff);
    backoff *= 2;
    instance.Open(FlowOf(100 + repeat));
    action = instance.Send(Data(FlowOf(1), 500));
  }

  BOOST_TEST(IsReset(action, ResetReason::kSilentPath));
}

struct HarmlessRepeat {
  const char* name;
  std::chrono::milliseconds gap;
  int growth;
  std::uint32_t bytes;
  bool others_answered;
};

std::ostream& operator<<(std::ostream& out, const HarmlessRepeat& row) {
  return out << row.name;
}

const HarmlessRepeat kHarmlessRepeats[] = {
    {"keep-alives", 300ms, 2, 0, true},
    {"window probes", 300ms, 2, 1, true},
    {"a steady pace", 1000ms, 1, 100, true},
    {"copies made by the network", 0ms, 1, 100, true},
    {"a target that answers nobody", 300ms, 2, 100, false},
};

// Guards against the reset of a healthy flow whose segments repeat for another
// reason than a dead path.
BOOST_DATA_TEST_CASE(harmless_repeats_reset_nothing, kHarmlessRepeats, row) {
  SingleInstance instance({.targets_per_service = 1});
  instance.Open(FlowOf(1));
  instance.Advance(1s);
  instance.Send(Data(FlowOf(1), 500, row.bytes));
  std::chrono::milliseconds gap = row.gap;
  for (int repeat = 0; repeat < 8; ++repeat) {
    instance.Advance(gap);
    gap *= row.growth;
    if (row.others_answered) {
      instance.Open(FlowOf(100 + repeat));
    }
    BOOST_TEST(
        ForwardedTo(instance.Send(Data(FlowOf(1), 500, row.bytes))).value > 0U);
  }
}

// Guards against callers that time out at a target which answers no SYN
// although its health endpoint reports it as healthy.
BOOST_AUTO_TEST_CASE(a_target_that_answers_no_syns_is_ejected) {
  SingleInstance instance;
  const common::TargetId bad = ForwardedTo(instance.Send(Syn(FlowOf(1))));
  instance.balancer.OnPeerMessage(
      {2}, TargetHealthChange{bad, TargetHealth::kHealthy, 1, {2}},
      instance.now, instance.outbox);
  std::vector<common::FlowKey> unanswered;
  for (std::uint32_t caller = 1; caller < 100; ++caller) {
    if (ForwardedTo(instance.Send(Syn(FlowOf(caller)))) == bad) {
      unanswered.push_back(FlowOf(caller));
    }
  }
  instance.Advance(1s);
  for (const common::FlowKey& flow : unanswered) {
    instance.Send(Syn(flow));
  }

  std::size_t at_bad = 0;
  for (std::uint32_t caller = 1000; caller < 1400; ++caller) {
    at_bad += instance.Open(FlowOf(caller)) == bad ? 1 : 0;
  }
  BOOST_TEST(at_bad == 0U);
}

struct HealthReports {
  const char* name;
  std::uint32_t failing;
  TargetHealth health;
  std::size_t most_share_percent;
};

std::ostream& operator<<(std::ostream& out, const HealthReports& row) {
  return out << row.name;
}

const HealthReports kHealthReports[] = {
    {"none", 0, TargetHealth::kHealthy, 15},
    {"a few fail", 4, TargetHealth::kFailing, 20},
    {"all but one shed", 13, TargetHealth::kShedding, 15},
    {"all but one fail", 13, TargetHealth::kFailing, 15},
    {"all fail", 14, TargetHealth::kFailing, 15},
};

// Guards against overload of a single target: the health endpoints of most
// targets wrongly report them as failing or shedding load, and every flow would
// go to the one that seems healthy.
BOOST_DATA_TEST_CASE(no_report_sends_everything_to_one_target, kHealthReports,
                     row) {
  SingleInstance instance({.targets_per_service = 14, .partitions = 64});
  for (std::uint32_t i = 0; i < row.failing; ++i) {
    instance.balancer.OnPeerMessage(
        {2},
        TargetHealthChange{
            {testing::kTargetsPerServiceLimit + 1 + i}, row.health, 1, {2}},
        instance.now, instance.outbox);
  }
  constexpr std::size_t kFlows = 2000;
  constexpr std::size_t kPercent = 100;
  std::map<common::TargetId, std::size_t> flows;
  for (std::uint32_t caller = 0; caller < kFlows; ++caller) {
    ++flows[instance.Open(FlowOf(caller))];
  }

  for (const auto& [target, count] : flows) {
    BOOST_TEST(count * kPercent <= row.most_share_percent * kFlows);
  }
}

// Guards against a herd on a returning target: it has no flows and cold caches,
// and choosing the least loaded target would send it every new flow.
BOOST_AUTO_TEST_CASE(a_target_that_returns_is_not_flooded) {
  SingleInstance instance({.targets_per_service = 14, .partitions = 64});
  constexpr std::uint32_t kReturning = testing::kTargetsPerServiceLimit + 1;
  instance.Change([](Configuration& next) {
    testing::TargetOf(next, kReturning).state = TargetState::kDraining;
  });
  for (std::uint32_t caller = 0; caller < 5000; ++caller) {
    instance.Open(FlowOf(caller));
  }
  instance.Change([](Configuration& next) {
    testing::TargetOf(next, kReturning).state = TargetState::kServing;
  });

  std::size_t first = 0;
  for (std::uint32_t caller = 10000; caller < 11000; ++caller) {
    first += instance.Open(FlowOf(caller)).value == kReturning ? 1 : 0;
  }
  instance.Advance(11s);
  std::size_t later = 0;
  for (std::uint32_t caller = 20000; caller < 21000; ++caller) {
    later += instance.Open(FlowOf(caller)).value == kReturning ? 1 : 0;
  }
  // A fair share is 71 of 1000.
  BOOST_TEST(first < 40U);
  BOOST_TEST(later > 71U);
  BOOST_TEST(later < 214U);
}

// Guards against a rollback to a configuration that a paused watcher delivers
// late: new flows would reach a target that was drained since.
BOOST_AUTO_TEST_CASE(an_older_revision_changes_nothing) {
  SingleInstance instance;
  const auto old = testing::Accept(instance.configuration);
  instance.Change([](Configuration& next) {
    for (Target& target : next.targets) {
      target.state = target.id.value % 2 == 0 ? TargetState::kDraining
                                              : TargetState::kServing;
    }
  });
  instance.balancer.OnConfiguration(old, instance.now, instance.outbox);

  for (std::uint32_t caller = 0; caller < 100; ++caller) {
    BOOST_TEST(instance.Open(FlowOf(caller)).value % 2 == 1U);
  }
}

// Guards against flows that no other instance finds: the process was paused,
// its lease has expired, and another instance may have taken over.
BOOST_AUTO_TEST_CASE(a_stale_instance_serves_records_and_places_nothing) {
  SingleInstance instance;
  const common::TargetId target = instance.Open(FlowOf(1));
  instance.ChangeView([](FleetView& view) { view.lease = Lease::kStale; });

  BOOST_TEST(ForwardedTo(instance.Send(Data(FlowOf(1), 102))) == target);
  BOOST_TEST(IsDrop(instance.Send(Syn(FlowOf(2))), DropReason::kStale));
}

// Guards against refused flows when all targets of the local failure domain are
// drained but other domains have some.
BOOST_AUTO_TEST_CASE(other_domains_serve_when_the_local_targets_cannot) {
  SingleInstance instance({.targets_per_service = 6, .domains = 2});
  instance.Change([](Configuration& next) {
    next.policy.fabric_scope = FabricScope::kDomain;
  });
  const auto is_local = [&instance](common::TargetId target) {
    return testing::TargetOf(instance.configuration, target.value)
               .domain.value == 1;
  };
  for (std::uint32_t caller = 0; caller < 100; ++caller) {
    BOOST_TEST(is_local(instance.Open(FlowOf(caller))));
  }
  instance.Change([](Configuration& next) {
    for (Target& target : next.targets) {
      target.state = target.domain.value == 1 ? TargetState::kDraining
                                              : TargetState::kServing;
    }
  });
  instance.Advance(11s);
  for (std::uint32_t caller = 1000; caller < 1100; ++caller) {
    const common::TargetId target = instance.Open(FlowOf(caller));
    BOOST_TEST(target.value > 0U);
    BOOST_TEST(!is_local(target));
  }
}

}  // namespace
}  // namespace sassafrasdyke::core
