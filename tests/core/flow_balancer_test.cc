/// One instance on its own: what it decides for each kind of packet.
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

/// The only instance of its fleet, with a clock of its own.
class Alone {
 public:
  explicit Alone(const testing::SampleSize& size = {}) {
    this->Publish(testing::SampleConfiguration(size));
    this->balancer.OnFleetView(this->view, this->now, this->outbox);
  }

  void Publish(Configuration next) {
    this->configuration = std::move(next);
    this->balancer.OnConfiguration(testing::Accept(this->configuration),
                                   this->now, this->outbox);
  }

  /// Publishes the configuration with a change.
  void Change(const std::function<void(Configuration&)>& change) {
    Configuration next = this->configuration;
    ++next.revision.value;
    change(next);
    this->Publish(std::move(next));
  }

  void Believe(const std::function<void(FleetView&)>& change) {
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

  void Pass(std::chrono::milliseconds time) {
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

BOOST_AUTO_TEST_CASE(a_flow_keeps_its_target_and_is_logged_once) {
  Alone alone;
  const common::FlowKey flow = FlowOf(1);

  const common::TargetId target = ForwardedTo(alone.Send(Syn(flow)));

  BOOST_TEST(target.value > 0U);
  BOOST_TEST(ForwardedTo(alone.Send(Syn(flow))) == target);
  BOOST_TEST(ForwardedTo(alone.Send(Data(flow))) == target);
  BOOST_TEST(ForwardedTo(alone.Send(Fin(flow))) == target);
  BOOST_TEST(CountDecisions<FlowPlaced>(alone.outbox) == 1U);
}

// A caller that connects to an address nobody published gets no answer; if it
// were guessed, its booking could land on another service.
BOOST_AUTO_TEST_CASE(an_unknown_service_is_dropped) {
  Alone alone;

  const PacketAction action = alone.Send(Syn(FlowOf(1, 9)));

  BOOST_TEST(IsDrop(action, DropReason::kUnknownService));
}

BOOST_AUTO_TEST_CASE(flows_of_one_service_reach_only_its_targets) {
  Alone alone({.services = 3});
  for (std::uint32_t caller = 0; caller < 300; ++caller) {
    const std::uint32_t service = caller % 3 + 1;
    const common::TargetId target = alone.Open(FlowOf(caller, service));
    BOOST_TEST(target.value / testing::kTargetsPerServiceLimit == service);
  }
}

struct Idle {
  const char* name;
  bool established;
  bool closing;
  std::chrono::milliseconds kept;
  std::chrono::milliseconds gone;
};

std::ostream& operator<<(std::ostream& out, const Idle& row) {
  return out << row.name;
}

const Idle kIdles[] = {
    {"only a SYN", false, false, 29s, 33s},
    {"established", true, false, 10'790s, 10'810s},
    {"closing", true, true, 9s, 13s},
};

BOOST_DATA_TEST_CASE(idle_flows_are_forgotten_by_state, kIdles, row) {
  Alone alone;
  alone.Send(Syn(FlowOf(1)));
  if (row.established) {
    alone.Send(Data(FlowOf(1)));
  }
  if (row.closing) {
    alone.Send(Fin(FlowOf(1)));
  }

  alone.Pass(row.kept);
  BOOST_TEST(alone.balancer.Status().flows == 1U);
  alone.Pass(row.gone - row.kept);
  BOOST_TEST(alone.balancer.Status().flows == 0U);
}

// Callers open more flows than the table holds. Those that are established go
// on; new ones are told that nothing of theirs has run, so that they may try
// elsewhere.
BOOST_AUTO_TEST_CASE(a_full_table_refuses_only_new_flows) {
  Alone alone;
  alone.Change([](Configuration& next) { next.policy.max_flows = 32; });
  alone.Pass(31s);
  std::uint32_t opened = 0;
  while (opened < 100 &&
         ForwardedTo(alone.Send(Syn(FlowOf(opened)))).value != 0) {
    alone.Send(Data(FlowOf(opened)));
    ++opened;
  }

  BOOST_TEST(opened == 30U);
  BOOST_TEST(IsReset(alone.Send(Syn(FlowOf(500))), ResetReason::kNotRun));
  BOOST_TEST(ForwardedTo(alone.Send(Data(FlowOf(0), 200))).value > 0U);
  // An established flow of an earlier owner finds room.
  BOOST_TEST(ForwardedTo(alone.Send(Data(FlowOf(600)))).value > 0U);
}

// The instance has just started, so an earlier owner may have forwarded the
// payload of a SYN that it can't place. "Not run" could be a lie, and a till
// that believes it would push the swipe twice.
BOOST_AUTO_TEST_CASE(a_new_owner_does_not_say_not_run) {
  Alone alone;
  alone.Change([](Configuration& next) { next.policy.max_flows = 0; });

  const PacketAction action = alone.Send(Syn(FlowOf(1)));

  BOOST_TEST(IsDrop(action, DropReason::kTableFull));
}

// A target is drained for an upgrade. It must get no new flow, while a diary
// feed that it serves stays.
BOOST_AUTO_TEST_CASE(a_draining_target_keeps_its_flows_and_gets_no_new) {
  Alone alone;
  const common::TargetId target = alone.Open(FlowOf(1));
  alone.Change([target](Configuration& next) {
    testing::TargetOf(next, target.value).state = TargetState::kDraining;
  });

  for (std::uint32_t caller = 100; caller < 500; ++caller) {
    BOOST_TEST(alone.Open(FlowOf(caller)) != target);
  }
  BOOST_TEST(ForwardedTo(alone.Send(Data(FlowOf(1), 200))) == target);
}

struct Gone {
  const char* name;
  bool payload;
  Lease lease;
  bool expect_replaced;
  bool expect_reset;
};

std::ostream& operator<<(std::ostream& out, const Gone& row) {
  return out << row.name;
}

const Gone kGone[] = {
    {"SYN only", false, Lease::kHeld, true, false},
    {"payload sent", true, Lease::kHeld, false, true},
    {"payload sent, cut off", true, Lease::kCutOff, false, false},
};

// A target is removed while a caller talks to it. Only a caller none of whose
// payload went anywhere may be placed again; any other must learn that the
// outcome is unknown, and never on the word of an instance without fresh news.
BOOST_DATA_TEST_CASE(a_target_that_is_gone, kGone, row) {
  Alone alone;
  const common::TargetId target = row.payload
                                      ? alone.Open(FlowOf(1))
                                      : ForwardedTo(alone.Send(Syn(FlowOf(1))));
  alone.Believe([&row](FleetView& view) { view.lease = row.lease; });
  alone.Change([target](Configuration& next) {
    std::erase_if(next.targets, [target](const Target& candidate) {
      return candidate.id == target;
    });
  });

  const PacketAction action =
      alone.Send(row.payload ? Data(FlowOf(1), 102) : Syn(FlowOf(1)));

  BOOST_TEST((ForwardedTo(action).value > 0) == row.expect_replaced);
  BOOST_TEST(IsReset(action, ResetReason::kTargetGone) == row.expect_reset);
  BOOST_TEST((ForwardedTo(action) != target));
}

struct Rebirth {
  const char* name;
  std::function<void(Target&)> change;
};

std::ostream& operator<<(std::ostream& out, const Rebirth& row) {
  return out << row.name;
}

const Rebirth kRebirths[] = {
    {"the id serves another service",
     [](Target& target) { target.service = {2}; }},
    {"the id stands for another tunnel",
     [](Target& target) { target.tunnel.port = 7000; }},
};

// An operator reuses a target's number for something else. A diary feed that
// goes on under the old number would talk to a stranger.
BOOST_DATA_TEST_CASE(a_number_that_returns_ends_the_old_flows, kRebirths, row) {
  Alone alone({.services = 2});
  const common::TargetId target = alone.Open(FlowOf(1));
  alone.Change([&row, target](Configuration& next) {
    row.change(testing::TargetOf(next, target.value));
  });

  const PacketAction action = alone.Send(Data(FlowOf(1), 102));

  BOOST_TEST(IsReset(action, ResetReason::kTargetGone));
}

// A firewall between an instance and a target forgets a flow: the caller sends
// the same segment again and again and hears nothing, for hours, though new
// connections to the target work.
BOOST_AUTO_TEST_CASE(a_silent_flow_is_ended) {
  Alone alone({.targets_per_service = 1});
  alone.Open(FlowOf(1));
  alone.Pass(1s);
  alone.Send(Data(FlowOf(1), 500));
  PacketAction action = DropPacket{};
  std::chrono::milliseconds backoff = 300ms;
  for (int repeat = 0; repeat < 4; ++repeat) {
    alone.Pass(backoff);
    backoff *= 2;
    alone.Open(FlowOf(100 + repeat));
    action = alone.Send(Data(FlowOf(1), 500));
  }

  BOOST_TEST(IsReset(action, ResetReason::kSilentPath));
}

struct Quiet {
  const char* name;
  std::chrono::milliseconds gap;
  int growth;
  std::uint32_t bytes;
  bool others_answered;
};

std::ostream& operator<<(std::ostream& out, const Quiet& row) {
  return out << row.name;
}

const Quiet kQuiets[] = {
    {"keep-alives", 300ms, 2, 0, true},
    {"window probes", 300ms, 2, 1, true},
    {"a steady pace", 1000ms, 1, 100, true},
    {"copies made by the network", 0ms, 1, 100, true},
    {"a target that answers nobody", 300ms, 2, 100, false},
};

// Repeats that have another cause than a dead path must not end a till's flow.
BOOST_DATA_TEST_CASE(other_repeats_end_nothing, kQuiets, row) {
  Alone alone({.targets_per_service = 1});
  alone.Open(FlowOf(1));
  alone.Pass(1s);
  alone.Send(Data(FlowOf(1), 500, row.bytes));
  std::chrono::milliseconds gap = row.gap;
  for (int repeat = 0; repeat < 8; ++repeat) {
    alone.Pass(gap);
    gap *= row.growth;
    if (row.others_answered) {
      alone.Open(FlowOf(100 + repeat));
    }
    BOOST_TEST(ForwardedTo(alone.Send(Data(FlowOf(1), 500, row.bytes))).value >
               0U);
  }
}

// A target accepts nothing any more, though its health endpoint says that all
// is well. Without ejection a share of the callers would time out for as long
// as that lasts.
BOOST_AUTO_TEST_CASE(a_target_that_swallows_syns_is_ejected) {
  Alone alone;
  const common::TargetId bad = ForwardedTo(alone.Send(Syn(FlowOf(1))));
  alone.balancer.OnPeerMessage(
      {2}, TargetHealthChange{bad, TargetHealth::kHealthy, 1, {2}}, alone.now,
      alone.outbox);
  std::vector<common::FlowKey> unanswered;
  for (std::uint32_t caller = 1; caller < 100; ++caller) {
    if (ForwardedTo(alone.Send(Syn(FlowOf(caller)))) == bad) {
      unanswered.push_back(FlowOf(caller));
    }
  }
  alone.Pass(1s);
  for (const common::FlowKey& flow : unanswered) {
    alone.Send(Syn(flow));
  }

  std::size_t at_bad = 0;
  for (std::uint32_t caller = 1000; caller < 1400; ++caller) {
    at_bad += alone.Open(FlowOf(caller)) == bad ? 1 : 0;
  }
  BOOST_TEST(at_bad == 0U);
}

struct Reports {
  const char* name;
  std::uint32_t failing;
  TargetHealth health;
  std::size_t most_share_percent;
};

std::ostream& operator<<(std::ostream& out, const Reports& row) {
  return out << row.name;
}

const Reports kReports[] = {
    {"none", 0, TargetHealth::kHealthy, 15},
    {"a few fail", 4, TargetHealth::kFailing, 20},
    {"all but one shed", 13, TargetHealth::kShedding, 15},
    {"all but one fail", 13, TargetHealth::kFailing, 15},
    {"all fail", 14, TargetHealth::kFailing, 15},
};

// The health endpoints of most targets lie. Whoever believes them sends every
// flow to the one target that looks well, and a canteen's ledger stalls.
BOOST_DATA_TEST_CASE(no_report_sends_everything_to_one_target, kReports, row) {
  Alone alone({.targets_per_service = 14, .partitions = 64});
  for (std::uint32_t i = 0; i < row.failing; ++i) {
    alone.balancer.OnPeerMessage(
        {2},
        TargetHealthChange{
            {testing::kTargetsPerServiceLimit + 1 + i}, row.health, 1, {2}},
        alone.now, alone.outbox);
  }
  constexpr std::size_t kFlows = 2000;
  constexpr std::size_t kPercent = 100;
  std::map<common::TargetId, std::size_t> flows;
  for (std::uint32_t caller = 0; caller < kFlows; ++caller) {
    ++flows[alone.Open(FlowOf(caller))];
  }

  for (const auto& [target, count] : flows) {
    BOOST_TEST(count * kPercent <= row.most_share_percent * kFlows);
  }
}

// A target comes back empty after a restart, with cold caches. A balancer that
// sees only that it is the least loaded sends it every new flow.
BOOST_AUTO_TEST_CASE(a_target_that_returns_is_not_flooded) {
  Alone alone({.targets_per_service = 14, .partitions = 64});
  constexpr std::uint32_t kReturning = testing::kTargetsPerServiceLimit + 1;
  alone.Change([](Configuration& next) {
    testing::TargetOf(next, kReturning).state = TargetState::kDraining;
  });
  for (std::uint32_t caller = 0; caller < 5000; ++caller) {
    alone.Open(FlowOf(caller));
  }
  alone.Change([](Configuration& next) {
    testing::TargetOf(next, kReturning).state = TargetState::kServing;
  });

  std::size_t first = 0;
  for (std::uint32_t caller = 10000; caller < 11000; ++caller) {
    first += alone.Open(FlowOf(caller)).value == kReturning ? 1 : 0;
  }
  alone.Pass(11s);
  std::size_t later = 0;
  for (std::uint32_t caller = 20000; caller < 21000; ++caller) {
    later += alone.Open(FlowOf(caller)).value == kReturning ? 1 : 0;
  }
  // A fair share is 71 of 1000.
  BOOST_TEST(first < 40U);
  BOOST_TEST(later > 71U);
  BOOST_TEST(later < 214U);
}

// A watcher pauses and delivers an old configuration late. Going back would
// send new flows to a target that was drained since.
BOOST_AUTO_TEST_CASE(an_older_revision_changes_nothing) {
  Alone alone;
  const auto old = testing::Accept(alone.configuration);
  alone.Change([](Configuration& next) {
    for (Target& target : next.targets) {
      target.state = target.id.value % 2 == 0 ? TargetState::kDraining
                                              : TargetState::kServing;
    }
  });
  alone.balancer.OnConfiguration(old, alone.now, alone.outbox);

  for (std::uint32_t caller = 0; caller < 100; ++caller) {
    BOOST_TEST(alone.Open(FlowOf(caller)).value % 2 == 1U);
  }
}

// The process was paused and wakes without fresh word. Placing now could put a
// flow where the instance that has taken over doesn't look.
BOOST_AUTO_TEST_CASE(a_stale_instance_serves_records_and_places_nothing) {
  Alone alone;
  const common::TargetId target = alone.Open(FlowOf(1));
  alone.Believe([](FleetView& view) { view.lease = Lease::kStale; });

  BOOST_TEST(ForwardedTo(alone.Send(Data(FlowOf(1), 102))) == target);
  BOOST_TEST(IsDrop(alone.Send(Syn(FlowOf(2))), DropReason::kStale));
}

BOOST_AUTO_TEST_CASE(other_domains_serve_when_the_local_targets_cannot) {
  Alone alone({.targets_per_service = 6, .domains = 2});
  alone.Change([](Configuration& next) {
    next.policy.fabric_scope = FabricScope::kDomain;
  });
  const auto is_local = [&alone](common::TargetId target) {
    return testing::TargetOf(alone.configuration, target.value).domain.value ==
           1;
  };
  for (std::uint32_t caller = 0; caller < 100; ++caller) {
    BOOST_TEST(is_local(alone.Open(FlowOf(caller))));
  }
  alone.Change([](Configuration& next) {
    for (Target& target : next.targets) {
      target.state = target.domain.value == 1 ? TargetState::kDraining
                                              : TargetState::kServing;
    }
  });
  alone.Pass(11s);
  for (std::uint32_t caller = 1000; caller < 1100; ++caller) {
    const common::TargetId target = alone.Open(FlowOf(caller));
    BOOST_TEST(target.value > 0U);
    BOOST_TEST(!is_local(target));
  }
}

}  // namespace
}  // namespace sassafrasdyke::core
