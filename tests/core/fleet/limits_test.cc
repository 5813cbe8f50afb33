/// Budgets, queues, back-off and retries of control traffic.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "common/token_bucket.h"
#include "core/fleet/backoff.h"
#include "core/fleet/fleet_network.h"
#include "core/fleet/message_size.h"
#include "core/fleet/retry_budget.h"
#include "core/fleet/send_limiter.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 9;

struct PauseCase {
  std::chrono::milliseconds pause;
  bool enough;
};

std::ostream& operator<<(std::ostream& out, const PauseCase& row) {
  return out << row.pause.count() << " ms";
}

const PauseCase kPauseCases[] = {
    {1ms, false}, {500ms, false}, {1000ms, true}, {600'000ms, true}};

// An instance is paused for minutes. If it accrued tokens for all of that time,
// its burst of control traffic on resuming would delay other instances'
// heartbeats.
BOOST_DATA_TEST_CASE(a_pause_accrues_at_most_a_second_of_tokens, kPauseCases,
                     row) {
  common::TokenBucket bucket({.per_second = 1000, .burst = 5000});
  BOOST_REQUIRE(bucket.Take(5000, 0ms));

  BOOST_TEST(!bucket.Take(1001, row.pause));
  BOOST_TEST(bucket.Take(1000, row.pause) == row.enough);
}

/// Sends `count` copies of `message` at `now`; returns how many left.
std::size_t SendMany(SendLimiter& limiter, const PeerMessage& message,
                     std::size_t count, std::chrono::milliseconds now) {
  std::vector<OutgoingMessage> out;
  for (std::size_t i = 0; i < count; ++i) {
    limiter.Send({{2}, message}, now, out);
  }
  return out.size();
}

const BudgetStatus& StatusOf(const std::vector<BudgetStatus>& all,
                             MessageBudget budget) {
  return all[static_cast<std::size_t>(budget)];
}

// A rack dies and causes a burst of reports. The queue must stay bounded, or
// the burst would exhaust memory, and dropped messages must be counted, or the
// loss would go unnoticed.
BOOST_AUTO_TEST_CASE(a_burst_fills_a_bounded_queue_and_is_counted) {
  SendLimiter limiter;
  const std::size_t left = SendMany(limiter, MemberReport{}, 5000, 0ms);

  const auto all = limiter.Status();
  const BudgetStatus& status = StatusOf(all, MessageBudget::kMembers);
  BOOST_TEST(left > 0U);
  BOOST_TEST(status.waiting == 256U);
  BOOST_TEST(status.messages + status.waiting + status.dropped == 5000U);
  std::vector<OutgoingMessage> later;
  limiter.Flush(1000ms, later);
  BOOST_TEST(!later.empty());
  limiter.Flush(10'000ms, later);
  BOOST_TEST(StatusOf(limiter.Status(), MessageBudget::kMembers).waiting == 0U);
}

// A change of every target each second exhausts the budget of deltas.
// Heartbeats must have a budget of their own, or healthy instances would be
// suspected because of other traffic.
BOOST_AUTO_TEST_CASE(one_kind_of_message_can_not_starve_another) {
  SendLimiter limiter;
  DocumentDelta delta;
  delta.changed.push_back({"targets/00001", std::string(2000, 'x')});
  SendMany(limiter, delta, 1000, 0ms);

  BOOST_TEST(SendMany(limiter, Heartbeat{}, 10, 0ms) == 10U);
}

// A heartbeat that is queued and sent late carries outdated state, and its
// answer would renew a lease that has expired.
BOOST_AUTO_TEST_CASE(a_heartbeat_over_budget_is_dropped_not_queued) {
  SendLimiter limiter;
  SendMany(limiter, Heartbeat{}, 5000, 0ms);

  std::vector<OutgoingMessage> later;
  limiter.Flush(1000ms, later);

  BOOST_TEST(later.empty());
  BOOST_TEST(StatusOf(limiter.Status(), MessageBudget::kHeartbeats).dropped >
             0U);
}

// A back-off without a bound would keep an instance from its peers long after
// they are reachable again.
BOOST_AUTO_TEST_CASE(waits_double_up_to_a_bound_with_full_jitter) {
  Jitter jitter(kSeed);
  Backoff backoff({.first = 100ms, .longest = 1000ms});
  std::chrono::milliseconds bound = 100ms;
  for (int attempt = 0; attempt < 40; ++attempt) {
    const std::chrono::milliseconds wait = backoff.OnFailure(jitter);
    BOOST_TEST(wait.count() >= 0);
    BOOST_TEST(wait.count() <= bound.count());
    bound = std::min<std::chrono::milliseconds>(1000ms, 2 * bound);
  }
}

// A peer that serves documents dies and all instances retry. Retries must stay
// a share of the first requests, or they overload the next peer.
BOOST_AUTO_TEST_CASE(retries_are_a_share_of_requests) {
  RetryBudget budget;
  while (budget.TakeRetry()) {
  }
  int repeats = 0;
  for (int request = 0; request < 100; ++request) {
    budget.OnRequest();
    repeats += budget.TakeRetry() ? 1 : 0;
  }

  BOOST_TEST(repeats == 20);
  BOOST_TEST(budget.Denied() > 0U);
}

std::uint64_t IdleBytesPerSecond(std::uint32_t instances) {
  constexpr std::uint64_t kSeconds = 20;
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(instances, 1), 18);
  const auto sum = [&network] {
    std::uint64_t bytes = 0;
    for (const auto& [id, fleet] : network.All()) {
      bytes += fleet.bytes_sent;
    }
    return bytes;
  };
  const std::uint64_t before = sum();
  network.RunFor(std::chrono::seconds(kSeconds));
  return (sum() - before) / (kSeconds * instances);
}

// If each instance watched all others, its idle traffic would grow with the
// fleet and leave no budget for anything else.
BOOST_AUTO_TEST_CASE(idle_bytes_do_not_grow_with_the_fleet) {
  const std::uint64_t small = IdleBytesPerSecond(8);
  const std::uint64_t large = IdleBytesPerSecond(48);

  BOOST_TEST(large < 4000U);
  BOOST_TEST(large * 10 < small * 13);
}

std::uint64_t IdleReads(std::uint32_t instances) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(instances, 1), 18);
  const std::uint64_t before = network.PlatformReads();
  network.RunFor(20s);
  return network.PlatformReads() - before;
}

// The platform allows two thousand reads a second over all its readers. If
// every instance read it, the fleet could not grow.
BOOST_DATA_TEST_CASE(platform_reads_do_not_grow_with_a_domain,
                     boost::unit_test::data::make({4U, 16U, 64U}), instances) {
  // Two readers, two documents, one watch in two seconds.
  BOOST_TEST(IdleReads(instances) == 40U);
}

// All instances of a rack restart at once. If their platform reads weren't
// spread over time they would exceed its rate limit; still, all must have the
// configuration within seconds.
BOOST_AUTO_TEST_CASE(a_restarted_rack_spreads_its_reads) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(60, 1), 180);
  for (std::uint32_t id = 1; id <= 30; ++id) {
    network.Kill(id);
    network.Start({.id = id, .incarnation = 2});
  }
  std::uint64_t most = 0;
  for (int step = 0; step < 20; ++step) {
    const std::uint64_t before = network.PlatformReads();
    network.RunFor(100ms);
    most = std::max(most, network.PlatformReads() - before);
  }

  BOOST_TEST(most <= 24U);
  network.RunFor(2000ms);
  BOOST_TEST(network.InForceEverywhere(1));
}

}  // namespace
}  // namespace sassafrasdyke::core
