/// How callers are served with admission by share, and which SYNs are refused.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <optional>
#include <ostream>

#include "core/load/fixed_fleet_load.h"
#include "core/steering/admission_control.h"
#include "core/steering/reopening_herd.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::milliseconds;

const HoldAll kHoldAll;

/// Results by demand, over several seeds.
std::vector<HerdOutcome> Play(HerdPlan plan, bool fair_admission,
                              const OverloadPolicy& overload) {
  plan.fair_admission = fair_admission;
  plan.overload = &overload;
  std::vector<HerdOutcome> sums(plan.demands.size());
  for (plan.seed = 1; plan.seed <= 4; ++plan.seed) {
    ReopeningHerd herd(plan);
    herd.Play();
    for (std::size_t i = 0; i < sums.size(); ++i) {
      sums[i] += herd.ByDemand()[i];
    }
  }
  return sums;
}

struct PlayRow {
  std::string name;
  HerdPlan plan;
  /// Least results with fair admission relative to those without, in percent:
  /// callers in time of all demands and of the first one, and those served.
  int in_time;
  int first_in_time;
  int served;
};

std::ostream& operator<<(std::ostream& out, const PlayRow& row) {
  return out << row.name;
}

HerdPlan Steady(std::vector<HerdDemand> demands) {
  HerdPlan plan;
  plan.outage = 0ms;
  plan.length = 4s;
  plan.demands = std::move(demands);
  return plan;
}

/// Callers return after all of 27 instances, which share 80 slots, were down.
HerdPlan Restart(Time wants_every, unsigned at_once, Time alone_until) {
  HerdPlan plan;
  plan.instances = 27;
  plan.targets = 40;
  plan.alone_until = alone_until;
  plan.demands = {{wants_every, 0ms, 4s, at_once, 300, 0}};
  return plan;
}

// A service's three targets process 279 requests a second.
const PlayRow kPlays[] = {
    {"one service asks for twice its capacity",
     Steady({{5ms, 0ms, 4s, 1, 100, 2}, {2ms, 0ms, 4s, 1, 100, 0}}), 97, 100,
     96},
    {"all services do",
     Steady({{2ms, 0ms, 4s, 1, 100, 2}, {2ms, 0ms, 4s, 1, 100, 0}}), 97, 97,
     95},
    {"four times the capacity", Steady({{1ms, 0ms, 4s, 1, 200, 0}}), 105, 105,
     100},
    {"a class of higher priority bursts",
     Steady({{8ms, 0ms, 4s, 1, 100, 1},
             {8ms, 0ms, 4s, 1, 100, 0},
             {2ms, 1s, 2s, 1, 100, 0}}),
     103, 120, 97},
    {"a class of lower priority bursts",
     Steady({{8ms, 0ms, 4s, 1, 100, 0},
             {8ms, 0ms, 4s, 1, 100, 1},
             {2ms, 1s, 2s, 1, 100, 1}}),
     103, 97, 97},
    {"a caller opens ten times as many flows as twenty others",
     Steady({{10ms, 0ms, 4s, 1, 20, 0}, {10ms, 1s, 4s, 10, 1, 0}}), 98, 170,
     97},
    {"all restart, 27 instances", Restart(1ms, 2, 0ms), 100, 100, 103},
    {"all restart, each knows no other for a second", Restart(1ms, 2, 1s), 98,
     98, 98},
};

// Guards against overload that is worse for callers with fair admission than
// without, and against callers that get nothing since others open more flows or
// are of a higher priority.
BOOST_DATA_TEST_CASE(callers_get_their_share_under_overload, kPlays, row) {
  const auto sum = [](const std::vector<HerdOutcome>& outcomes) {
    HerdOutcome all;
    for (const HerdOutcome& outcome : outcomes) {
      all += outcome;
    }
    return all;
  };
  const auto before = Play(row.plan, false, kHoldAll);
  const auto held = Play(row.plan, true, kHoldAll);
  const auto after = Play(row.plan, true, DefaultOverloadPolicy());
  const HerdOutcome all_before = sum(before);
  const HerdOutcome all_held = sum(held);
  const HerdOutcome all_after = sum(after);
  BOOST_TEST_MESSAGE(
      "in time " << all_before.in_time << ", " << all_held.in_time
                 << " if none is refused, " << all_after.in_time << "; served "
                 << all_before.Served() << ", " << all_held.Served() << ", "
                 << all_after.Served() << "; first in time "
                 << before[0].in_time << ", " << held[0].in_time << ", "
                 << after[0].in_time << "; refused " << all_after.refused);

  BOOST_TEST(all_after.in_time * 100 >= all_before.in_time * row.in_time);
  BOOST_TEST(after[0].in_time * 100 >= before[0].in_time * row.first_in_time);
  BOOST_TEST(all_after.Served() * 100 >= all_before.Served() * row.served);
  // A refusal costs the caller one of its tries at once; it must not cost
  // callers as a whole more than holding their SYNs back.
  BOOST_TEST(all_after.in_time * 100 >= all_held.in_time * 99);
  BOOST_TEST(all_after.Served() * 100 >= all_held.Served() * 99);
}

/// An instance with one target and admission by share.
struct ShareScene {
  explicit ShareScene(bool fair_admission = true)
      : shared{this->load, this->weights, this->locality, {}, fair_admission},
        scene("north", {}, 0, this->shared),
        admission(this->scene.view.Routes(), this->scene.steering,
                  this->shared) {
    this->scene.Configure(
        "1 198.18.0.1:443=diary#1 198.18.0.2:443=diary 198.18.0.3:443=diary#2 "
        "198.18.0.4:443=album",
        0ms);
    this->scene.Publish("a1", "diary north 10.0.0.1:80", 0ms);
    this->scene.Publish("b1", "album north 10.0.0.2:80", 0ms);
  }
  /// Rank 1 is that of the first route; rank 3 stands for that of album.
  FlowPacket SynOf(std::uint16_t port, std::uint32_t rank = 1,
                   std::uint32_t repeats = 0) const {
    constexpr std::uint32_t kHosts[] = {1, 0, 2, 3};
    FlowPacket syn = SteeringScene::Syn(port, repeats);
    syn.flow.service.address =
        common::IpAddress::FromV4(syn.flow.service.address.V4() + kHosts[rank]);
    return syn;
  }
  /// Whether the flow was admitted at once.
  bool Admit(const FlowPacket& syn, Time now) {
    const auto grant = this->admission.Admit(syn, {}, now, now);
    if (grant) {
      this->scene.steering.OnPacket(syn, now, *grant);
    }
    return grant.has_value();
  }
  /// Opens flows until targets are busy. Their requests count for 1.4 s.
  void Fill(Time now, std::uint32_t rank = 1) {
    for (std::uint16_t port = 60'000; this->Admit(this->SynOf(port, rank), now);
         ++port) {
      BOOST_REQUIRE(port < 60'100);
    }
    this->admission.OnPause();
  }
  std::vector<std::uint16_t> RefusedPorts() {
    std::vector<std::uint16_t> ports;
    for (const QueuedSyn& syn : this->admission.TakeRefused()) {
      ports.push_back(syn.flow.caller.port);
    }
    return ports;
  }

  FixedFleetLoad load;
  EqualTargetWeights weights;
  OwnDomainLocality locality;
  SharedObservations shared;
  SteeringScene scene;
  AdmissionControl admission;
};

struct FullRow {
  std::string name;
  std::uint32_t rank;     ///< Of the queued ones.
  std::uint32_t repeats;  ///< Of the queued ones.
  std::uint32_t arriving_rank;
  std::uint32_t arriving_repeats;
  std::vector<std::uint16_t> refused;
  bool waits;  ///< The arriving one.
};

std::ostream& operator<<(std::ostream& out, const FullRow& row) {
  return out << row.name;
}

// Port 1 is the oldest of one caller, so it would be served last while in time.
const FullRow kFull[] = {
    {"the oldest in time is last", 1, 0, 1, 0, {1}, true},
    {"a more urgent one arrives", 1, 0, 0, 0, {1}, true},
    {"a less urgent one arrives, which has turns", 1, 0, 2, 0, {1}, true},
    {"the last may be open elsewhere", 1, 1, 1, 0, {}, true},
};

// Guards against a full queue that admits further SYNs at once, before those
// that wait, and against untrue refusals.
BOOST_DATA_TEST_CASE(a_full_queue_refuses_the_last_in_line, kFull, row) {
  ShareScene scene;
  scene.Fill(10ms);
  for (std::uint16_t port = 1; port <= 1024; ++port) {
    BOOST_REQUIRE(!scene.Admit(scene.SynOf(port, row.rank, row.repeats),
                               port == 1 ? 10ms : 11ms));
  }
  const FlowPacket arriving =
      scene.SynOf(5000, row.arriving_rank, row.arriving_repeats);

  BOOST_TEST(!scene.Admit(arriving, 21ms));
  BOOST_TEST(scene.RefusedPorts() == row.refused,
             boost::test_tools::per_element());
  BOOST_TEST(scene.admission.Waits(arriving.flow) == row.waits);
  BOOST_TEST(scene.admission.Waiting() <= 1024U);
}

// Guards against a lower rank that gets no place in a queue that a more urgent
// one has filled, and against one that takes more of it than its turns let it
// use: of 1,024 SYNs an eighth. Those that a full queue loses are determined
// for 64 at once.
BOOST_AUTO_TEST_CASE(a_lower_rank_keeps_to_its_turns_in_a_full_queue) {
  ShareScene scene;
  scene.Fill(10ms);
  for (std::uint16_t port = 1; port <= 1024; ++port) {
    BOOST_REQUIRE(!scene.Admit(scene.SynOf(port), 10ms));
  }
  for (std::uint16_t port = 2001; port <= 2500; ++port) {
    BOOST_REQUIRE(!scene.Admit(scene.SynOf(port, 2), 21ms));
  }

  BOOST_TEST(scene.admission.Waiting() == 1024U);
  BOOST_TEST(scene.admission.WaitingByRank().at(2) >= 64U);
  BOOST_TEST(scene.admission.WaitingByRank().at(2) <= 128U + 64U);
}

struct HopelessRow {
  std::string name;
  std::uint32_t repeats;
  bool queued_before;  ///< The earlier copies, by this instance.
  bool paused;
  bool fair_admission;
  bool refused;
};

std::ostream& operator<<(std::ostream& out, const HopelessRow& row) {
  return out << row.name;
}

const HopelessRow kHopeless[] = {
    {"first copies", 0, false, false, true, true},
    {"second copies, the first were queued here", 1, true, false, true, true},
    {"second copies, the first went elsewhere", 1, false, false, true, false},
    {"after a pause the rate isn't known", 0, false, true, true, false},
    {"second copies, the first before a pause", 1, true, true, true, false},
    {"switched off", 0, false, false, false, false},
};

// No SYN leaves the queue for 0.6 s. Guards against clients that wait 1.4 s for
// nothing, and against refusals of flows that another instance may have opened.
BOOST_DATA_TEST_CASE(hopeless_syns_are_refused_if_that_is_true, kHopeless,
                     row) {
  ShareScene scene(row.fair_admission);
  scene.Fill(10ms);
  const auto hold = [&](std::uint32_t repeats, Time at) {
    for (std::uint16_t port = 1; port <= 50; ++port) {
      BOOST_REQUIRE(!scene.Admit(scene.SynOf(port, 1, repeats), at));
    }
  };
  // Others wait meanwhile, whose first copies went elsewhere.
  for (Time now = 100ms; now < 700ms; now += 100ms) {
    scene.Admit(
        scene.SynOf(static_cast<std::uint16_t>(2000 + now.count()), 1, 2), now);
    scene.admission.OnTick(now);
  }
  if (row.queued_before) {
    hold(0, 510ms);
  }
  if (row.paused) {
    scene.admission.OnPause();
  }
  hold(row.repeats, 710ms);
  scene.admission.OnTick(720ms);

  const auto refused = scene.RefusedPorts();
  BOOST_TEST(refused.empty() != row.refused);
  BOOST_TEST(scene.admission.Waiting() >= 50 - refused.size());
  const auto counts = scene.admission.RefusedByRank();
  BOOST_TEST(counts.at(1) == refused.size());
}

// Guards against refusals by the departures of another service: nothing leaves
// of diary for 0.6 s, album has been full for a moment.
BOOST_AUTO_TEST_CASE(a_services_rate_is_its_own) {
  ShareScene scene;
  scene.Fill(10ms);
  scene.Fill(10ms, 3);
  for (Time now = 100ms; now < 700ms; now += 100ms) {
    scene.Admit(
        scene.SynOf(static_cast<std::uint16_t>(2000 + now.count()), 1, 2), now);
    scene.admission.OnTick(now);
  }
  for (std::uint16_t port = 1; port <= 50; ++port) {
    BOOST_REQUIRE(!scene.Admit(scene.SynOf(port, 3), 710ms));
  }
  scene.admission.OnTick(720ms);

  BOOST_TEST(scene.RefusedPorts().empty());
}

// Guards against a service that loses its SYNs to another that fills the queue.
BOOST_AUTO_TEST_CASE(a_full_queue_loses_those_of_the_largest_service) {
  ShareScene scene;
  scene.Fill(10ms);
  scene.Fill(10ms, 3);
  BOOST_REQUIRE(!scene.Admit(scene.SynOf(2000, 3), 10ms));
  for (std::uint16_t port = 1; port <= 1023; ++port) {
    BOOST_REQUIRE(!scene.Admit(scene.SynOf(port), port == 1 ? 10ms : 11ms));
  }
  BOOST_TEST(!scene.Admit(scene.SynOf(2001, 3), 21ms));

  BOOST_TEST(scene.RefusedPorts() == std::vector<std::uint16_t>{1},
             boost::test_tools::per_element());
  BOOST_TEST(scene.admission.Waits(scene.SynOf(2001, 3).flow));
}

// The number of SYNs that wait is told by rank, also when none does any more.
BOOST_AUTO_TEST_CASE(waiting_syns_are_counted_by_rank) {
  ShareScene scene;
  scene.Fill(10ms);
  scene.Admit(scene.SynOf(1, 0), 20ms);
  scene.Admit(scene.SynOf(2, 2), 20ms);
  scene.Admit(scene.SynOf(3, 2), 20ms);
  const std::map<std::uint32_t, std::size_t> waiting{{0, 1}, {1, 0}, {2, 2}};
  const std::map<std::uint32_t, std::size_t> none{{0, 0}, {1, 0}, {2, 0}};

  BOOST_TEST((scene.admission.WaitingByRank() == waiting));
  scene.admission.OnTick(200ms);
  BOOST_TEST((scene.admission.WaitingByRank() == none));
}

/// Admission as it was before the share: FlowSteering without reports, the
/// queue in its own order, routes by rank.
struct Reference {
  Reference() {
    this->scene.Configure(
        "1 198.18.0.1:443=diary#1 198.18.0.2:443=diary 198.18.0.3:443=diary#2",
        0ms);
    this->scene.Publish("a1", "diary north 10.0.0.1:80", 0ms);
  }
  std::optional<common::FlowKey> TakeNext(Time now) {
    const Route* best = nullptr;
    common::Endpoint address;
    for (const common::Endpoint& waiting : this->queue.Routes()) {
      const Route* const route = this->scene.view.Routes().Find(waiting);
      if ((best == nullptr || route->rank < best->rank) &&
          this->scene.steering.Limiter().GrantFor(*route, now)) {
        best = route;
        address = waiting;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    const Time in_time = std::max(
        ObjectiveOf(*best) - this->scene.steering.Pending().AnswerTime(), 0ms);
    const auto syn = this->queue.Take(address, in_time, now);
    return syn ? std::make_optional(syn->flow) : std::nullopt;
  }
  bool Admit(const FlowPacket& syn, Time now) {
    const Route& route = *this->scene.view.Routes().Find(syn.flow.service);
    const bool granted = this->scene.steering.IsHalfOpen(syn.flow) ||
                         (this->queue.Size() == 0 &&
                          this->scene.steering.Limiter().GrantFor(route, now));
    const bool at_once = granted || !this->queue.Hold(syn, {}, now);
    if (at_once) {
      this->scene.steering.OnPacket(syn, now);
    }
    return at_once;
  }

  SteeringScene scene;
  SynQueue queue;
};

struct SameRow {
  std::string name;
  bool fair_admission;
  std::uint64_t opens_per_step;  ///< At most, every 5 ms.
  std::uint64_t seed;
};

std::ostream& operator<<(std::ostream& out, const SameRow& row) {
  return out << row.name << " " << row.seed;
}

const SameRow kSame[] = {
    {"off, overload", false, 4, 1},  {"off, overload", false, 4, 2},
    {"off, overload", false, 10, 3}, {"off, a full queue", false, 60, 4},
    {"on, light load", true, 1, 5},  {"on, light load", true, 1, 6},
};

// Guards against decisions that change while the part is switched off, whatever
// the reports say, or while the load is light.
BOOST_DATA_TEST_CASE(decisions_are_as_before_without_overload, kSame, row) {
  ShareScene scene(row.fair_admission);
  scene.load.instances = 27;
  scene.load.loads["diary"] = {{"north", 0, 80, {}, true, 0ms, 20},
                               {"south", 0, 0, {}, true, 0ms, 20}};
  Reference reference;
  Jitter random(row.seed);
  std::deque<std::pair<Time, FlowPacket>> open;
  std::uint16_t port = 1024;
  int waited = 0;
  const auto place = [&](const common::FlowKey& flow, Time now) {
    FlowPacket data = SteeringScene::Data(flow.caller.port, 0xA1);
    data.flow = flow;
    open.emplace_back(now + 15ms + Time(random.Below(20)), data);
    scene.scene.steering.OnPacket(data, now);
    reference.scene.steering.OnPacket(data, now);
  };
  for (Time now = 100ms; now < 3s; now += 5ms) {
    const bool opens = row.opens_per_step > 1 || random.Below(4) == 0;
    const std::uint64_t count =
        opens ? random.Below(row.opens_per_step) + 1 : 0;
    for (std::uint64_t i = 0; i < count; ++i) {
      const FlowPacket syn =
          scene.SynOf(++port, static_cast<std::uint32_t>(random.Below(3)),
                      static_cast<std::uint32_t>(random.Below(2)));
      const bool at_once = scene.Admit(syn, now);
      BOOST_REQUIRE(at_once == reference.Admit(syn, now));
      if (at_once) {
        place(syn.flow, now);
      } else {
        ++waited;
      }
    }
    while (!open.empty() && open.front().first <= now) {
      FlowPacket ack = open.front().second;
      ack.payload_bytes = 0;
      ack.acknowledgement = 1000;
      scene.scene.steering.OnPacket(ack, now);
      reference.scene.steering.OnPacket(ack, now);
      open.pop_front();
    }
    if (now % 100ms == 0ms) {
      scene.scene.steering.OnTick(now);
      reference.scene.steering.OnTick(now);
      scene.admission.OnTick(now);
      reference.queue.Expire(now);
    }
    while (const auto released = scene.admission.TakeNext(now)) {
      const auto expected = reference.TakeNext(now);
      BOOST_REQUIRE(expected.has_value());
      BOOST_REQUIRE((released->syn.flow == *expected));
      FlowPacket syn = SteeringScene::Syn(0);
      syn.flow = released->syn.flow;
      scene.scene.steering.OnPacket(syn, now, released->grant);
      reference.scene.steering.OnPacket(syn, now);
      place(syn.flow, now);
    }
    BOOST_REQUIRE(!reference.TakeNext(now).has_value());
    BOOST_REQUIRE(scene.admission.Waiting() == reference.queue.Size());
    BOOST_REQUIRE(scene.RefusedPorts().empty());
  }
  BOOST_TEST((waited > 0) == !row.fair_admission);
}

}  // namespace
}  // namespace sassafrasdyke::core
