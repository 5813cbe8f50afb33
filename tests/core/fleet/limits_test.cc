/// Budgets, queues, back-off and retries of the control traffic.
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

struct WakeUp {
  std::chrono::milliseconds pause;
  bool enough;
};

std::ostream& operator<<(std::ostream& out, const WakeUp& row) {
  return out << row.pause.count() << " ms";
}

const WakeUp kWakeUps[] = {
    {1ms, false}, {500ms, false}, {1000ms, true}, {600'000ms, true}};

// The kernel stops an instance for minutes. When it wakes, its control traffic
// must not leave all at once, or its peers miss the heartbeats of others.
BOOST_DATA_TEST_CASE(a_pause_earns_no_more_than_a_second, kWakeUps, row) {
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

// A storm of reports, as when a rack dies. The queue must stay bounded and what
// it dropped must be counted, or the storm would fill the memory unseen.
BOOST_AUTO_TEST_CASE(a_storm_fills_a_bounded_queue_and_is_counted) {
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

// A change of every target each second spends the budget of deltas. Heartbeats
// have a budget of their own, so no instance is taken for dead because others
// talk much.
BOOST_AUTO_TEST_CASE(one_kind_of_message_can_not_starve_another) {
  SendLimiter limiter;
  DocumentDelta delta;
  delta.changed.push_back({"targets/00001", std::string(2000, 'x')});
  SendMany(limiter, delta, 1000, 0ms);

  BOOST_TEST(SendMany(limiter, Heartbeat{}, 10, 0ms) == 10U);
}

// A late heartbeat would say something old, and its answer would renew a lease
// that has run out.
BOOST_AUTO_TEST_CASE(a_heartbeat_over_budget_is_dropped_and_never_late) {
  SendLimiter limiter;
  SendMany(limiter, Heartbeat{}, 5000, 0ms);

  std::vector<OutgoingMessage> later;
  limiter.Flush(1000ms, later);

  BOOST_TEST(later.empty());
  BOOST_TEST(StatusOf(limiter.Status(), MessageBudget::kHeartbeats).dropped >
             0U);
}

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

// A peer that serves documents dies and everyone asks again. Repeats must stay
// a share of the first requests, or they are the next peer's overload.
BOOST_AUTO_TEST_CASE(repeats_are_a_share_of_requests) {
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

std::uint64_t RestBytes(std::uint32_t instances) {
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

// Watching everybody would cost each instance bytes in proportion to the fleet
// and leave none for anything else.
BOOST_AUTO_TEST_CASE(bytes_in_rest_do_not_grow_with_the_fleet) {
  const std::uint64_t small = RestBytes(8);
  const std::uint64_t large = RestBytes(48);

  BOOST_TEST(large < 4000U);
  BOOST_TEST(large * 10 < small * 13);
}

std::uint64_t ReadsInRest(std::uint32_t instances) {
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
  BOOST_TEST(ReadsInRest(instances) == 40U);
}

// A rack comes back at once. Its reads of the platform must be spread over the
// start, and everyone must be served within seconds.
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
