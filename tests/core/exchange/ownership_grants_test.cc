#include "core/exchange/ownership_grants.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <vector>

namespace sassafrasdyke::core {

static std::ostream& operator<<(std::ostream& out, GrantNovelty novelty) {
  return out << static_cast<int>(novelty);
}

namespace {

using namespace std::chrono_literals;

constexpr PartitionKey kPartition{{1}, {7}};
constexpr common::InstanceId kSender{1};
constexpr common::InstanceId kReceiver{2};
constexpr common::InstanceId kOther{3};

struct Received {
  const char* name;
  common::InstanceId from;
  common::Incarnation incarnation;
  common::GrantNumber number;
  GrantNovelty novelty;
};

std::ostream& operator<<(std::ostream& out, const Received& row) {
  return out << row.name;
}

const Received kReceived[] = {
    {"the same again", kSender, {5}, {10}, GrantNovelty::kRepeated},
    {"the next", kSender, {5}, {11}, GrantNovelty::kNew},
    {"an earlier one, delayed", kSender, {5}, {9}, GrantNovelty::kIgnored},
    {"the first after the numbers wrapped",
     kSender,
     {5},
     {1},
     GrantNovelty::kIgnored},
    {"one of the sender's next life", kSender, {6}, {1}, GrantNovelty::kNew},
    {"one of the sender's last life",
     kSender,
     {4},
     {20},
     GrantNovelty::kIgnored},
    {"one of another sender", kOther, {1}, {1}, GrantNovelty::kNew}};

// Guards against two owners: a repeated or delayed grant makes an instance the
// owner again after it has granted the ownership to another.
BOOST_DATA_TEST_CASE(a_grant_is_accepted_once, kReceived, row) {
  OwnershipGrants grants({1});
  BOOST_REQUIRE(grants.Accept(kSender, {kPartition, {5}, {10}, 0ms}) ==
                GrantNovelty::kNew);

  BOOST_TEST(grants.Accept(row.from, {kPartition, row.incarnation, row.number,
                                      0ms}) == row.novelty);
}

// Guards against an instance that never becomes the owner of a partition again:
// the numbers of the grants to it have started anew at 1.
BOOST_AUTO_TEST_CASE(grant_numbers_wrap_without_0) {
  constexpr std::uint32_t kGrants = 70'000;
  OwnershipGrants sender({1});
  OwnershipGrants receiver({1});
  std::uint32_t accepted = 0;
  for (std::uint32_t i = 0; i < kGrants; ++i) {
    Outbox outbox;
    sender.Grant(kPartition, kReceiver, std::nullopt, 0ms, outbox);
    const common::GrantNumber number = sender.NumberFor(kPartition, kReceiver);
    const bool is_new =
        receiver.Accept(kSender, {kPartition, {1}, number, 0ms}) ==
        GrantNovelty::kNew;
    accepted += number.value != 0 && is_new ? 1 : 0;
  }
  BOOST_TEST(accepted == kGrants);
}

/// The grants that the outbox holds.
std::vector<OwnershipGrant> GrantsIn(const Outbox& outbox) {
  std::vector<OwnershipGrant> grants;
  for (const OutgoingMessage& sent : outbox.messages) {
    if (const auto* const grant = std::get_if<OwnershipGrant>(&sent.message)) {
      grants.push_back(*grant);
    }
  }
  return grants;
}

// Guards against a partition without an owner: the message that grants the
// ownership is lost.
BOOST_AUTO_TEST_CASE(a_grant_is_repeated_until_it_is_finished) {
  OwnershipGrants grants({4});
  Outbox outbox;
  grants.Grant(kPartition, kReceiver, 500ms, 1000ms, outbox);
  for (auto now = 1000ms; now < 5000ms; now += 100ms) {
    grants.Flush(now, outbox);
  }
  const std::vector<OwnershipGrant> sent = GrantsIn(outbox);
  BOOST_REQUIRE(sent.size() > 3U);
  BOOST_CHECK(sent.front().incarnation == common::Incarnation{4});
  BOOST_CHECK(sent.front().number == sent.back().number);
  BOOST_CHECK(sent.front().openings_known_for == 500ms);
  BOOST_CHECK(sent.back().openings_known_for > 500ms);

  grants.Finish(kPartition);
  outbox.messages.clear();
  grants.Flush(10s, outbox);

  BOOST_TEST(outbox.messages.empty());
  BOOST_TEST(grants.NumberFor(kPartition, kReceiver).value == 0U);
}

}  // namespace
}  // namespace sassafrasdyke::core
