#include "core/exchange/owner_search.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

#include "core/samples.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr common::InstanceId kSelf{1};
constexpr std::uint32_t kInstances = 8;
constexpr PartitionIndex kPartition{0};

/// The search of one instance among eight of one domain.
class Searcher {
 public:
  Searcher() {
    this->local.SetConfiguration(
        testing::Accept(testing::SampleConfiguration({})), this->now);
    this->local.SetView(testing::SampleView(kSelf.value, kInstances));
  }

  PartitionKey Key() const { return this->local.Directory().KeyOf(kPartition); }

  /// The instances that were asked since the last call, each once.
  std::vector<common::InstanceId> TakeAsked() {
    std::vector<common::InstanceId> asked;
    for (const OutgoingMessage& sent : this->outbox.messages) {
      if (std::ranges::find(asked, sent.to) == asked.end()) {
        asked.push_back(sent.to);
      }
    }
    this->outbox.messages.clear();
    return asked;
  }

  /// Handles an answer. Returns whether the partition has no owner.
  bool Reply(common::InstanceId from, OwnerKnowledge knowledge,
             common::InstanceId owner = {}) {
    const bool is_answer = knowledge == OwnerKnowledge::kGranted;
    OwnerReply reply{this->Key(), knowledge, {}, {}};
    if (is_answer) {
      reply.owner = owner;
    } else if (owner.value != 0) {
      reply.likely_owners = {owner};
    }
    return this->search.OnReply(from, reply, this->now, this->outbox);
  }

  LocalState local;
  OwnerSearch search{kSelf, this->local};
  std::chrono::milliseconds now{1000};
  Outbox outbox;
};

struct Answers {
  const char* name;
  common::InstanceId named;
  OwnerKnowledge last;
  bool no_owner;
};

std::ostream& operator<<(std::ostream& out, const Answers& row) {
  return out << row.name;
}

const Answers kAnswers[] = {
    {"never owned it", {}, OwnerKnowledge::kNone, true},
    {"granted it to one that failed", {}, OwnerKnowledge::kLost, true},
    {"never owned it, but knows who was designated",
     {8},
     OwnerKnowledge::kNone,
     false},
    {"is the owner", {}, OwnerKnowledge::kSelf, false},
    {"granted it to another", {8}, OwnerKnowledge::kGranted, false},
    {"searches itself", {}, OwnerKnowledge::kSearching, false}};

// Guards against two owners: an instance takes a partition although one of
// those that it asked knows of an owner.
BOOST_DATA_TEST_CASE(all_must_know_of_no_owner, kAnswers, row) {
  Searcher searcher;
  searcher.search.StartAtLikelyOwners(kPartition, searcher.now,
                                      searcher.outbox);
  // The last rows name an instance that isn't asked at first.
  std::vector<common::InstanceId> asked = searcher.TakeAsked();
  BOOST_REQUIRE(asked.size() > 1U);
  const common::InstanceId last = asked.back();
  asked.pop_back();
  for (const common::InstanceId id : asked) {
    // Names one that is asked anyway, and so tells of an earlier view.
    BOOST_TEST(!searcher.Reply(id, OwnerKnowledge::kNone, last));
  }
  const auto outsider = [&] {
    for (std::uint32_t id = 2; id <= kInstances; ++id) {
      if (id != last.value &&
          std::ranges::find(asked, common::InstanceId{id}) == asked.end()) {
        return common::InstanceId{id};
      }
    }
    return common::InstanceId{};
  }();
  BOOST_REQUIRE(outsider.value != 0U);
  const common::InstanceId named =
      row.named.value == 0 ? common::InstanceId{} : outsider;

  BOOST_TEST(searcher.Reply(last, row.last, named) == row.no_owner);

  const auto asked_next = searcher.TakeAsked();
  const bool named_is_asked =
      std::ranges::find(asked_next, outsider) != asked_next.end();
  BOOST_TEST(named_is_asked == (row.named.value != 0));
}

// Guards against two owners after many instances have joined at once: those
// that a new one asks are new themselves and know of nobody.
BOOST_AUTO_TEST_CASE(new_instances_are_no_proof) {
  Searcher searcher;
  searcher.search.StartAtLikelyOwners(kPartition, searcher.now,
                                      searcher.outbox);
  const std::vector<common::InstanceId> first = searcher.TakeAsked();
  for (const common::InstanceId id : first) {
    BOOST_TEST(!searcher.Reply(id, OwnerKnowledge::kNone));
  }
  std::vector<common::InstanceId> more = searcher.TakeAsked();
  BOOST_TEST(!more.empty());
  std::erase_if(more, [&first](common::InstanceId id) {
    return std::ranges::find(first, id) != first.end();
  });
  BOOST_REQUIRE(!more.empty());

  const common::InstanceId last = more.back();
  more.pop_back();
  for (const common::InstanceId id : more) {
    BOOST_TEST(!searcher.Reply(id, OwnerKnowledge::kNone));
  }
  BOOST_TEST(searcher.Reply(last, OwnerKnowledge::kNone));
}

// Guards against two owners when the last one that had to answer leaves the
// view: the others are new themselves.
BOOST_AUTO_TEST_CASE(new_instances_are_no_proof_without_the_rest) {
  Searcher searcher;
  searcher.search.StartAtLikelyOwners(kPartition, searcher.now,
                                      searcher.outbox);
  const std::vector<common::InstanceId> first = searcher.TakeAsked();
  for (std::size_t i = 0; i + 1 < first.size(); ++i) {
    BOOST_TEST(!searcher.Reply(first[i], OwnerKnowledge::kNone));
  }
  FleetView view = testing::SampleView(kSelf.value, kInstances);
  std::erase_if(view.instances, [&first](const InstanceView& instance) {
    return instance.id == first.back();
  });
  searcher.local.SetView(view);

  const auto unowned =
      searcher.search.OnTick(searcher.now + 500ms, searcher.outbox);

  BOOST_TEST(unowned.empty());
}

// Guards against packets that wait at a designated instance: they are
// redirected to the owner as soon as an answer tells who that is.
BOOST_AUTO_TEST_CASE(an_answer_names_the_owner) {
  Searcher searcher;
  searcher.search.StartAtReceiver(kPartition, {4}, searcher.now,
                                  searcher.outbox);
  BOOST_CHECK(searcher.search.LikelyOwner(searcher.Key(), searcher.now) ==
              common::InstanceId{4});

  searcher.Reply({4}, OwnerKnowledge::kGranted, {6});
  searcher.Reply({6}, OwnerKnowledge::kSelf);

  BOOST_CHECK(searcher.search.LikelyOwner(searcher.Key(), searcher.now) ==
              common::InstanceId{6});
}

// Guards against messages without end between instances that each name another
// one as the receiver of the ownership.
BOOST_AUTO_TEST_CASE(a_circle_of_answers_is_not_followed_for_ever) {
  constexpr int kAnswers = 1000;
  constexpr std::size_t kMostRequests = 50;
  Searcher searcher;
  searcher.search.StartAtReceiver(kPartition, {4}, searcher.now,
                                  searcher.outbox);
  for (int i = 0; i < kAnswers; ++i) {
    searcher.Reply({4}, OwnerKnowledge::kGranted, {6});
    searcher.Reply({6}, OwnerKnowledge::kGranted, {4});
  }
  BOOST_TEST(searcher.outbox.messages.size() < kMostRequests);
}

// Guards against a partition without an owner: nobody answers, as they have
// crashed or run a release that doesn't know the question.
BOOST_AUTO_TEST_CASE(a_search_without_answers_ends_after_a_lease) {
  Searcher searcher;
  const std::chrono::milliseconds lease =
      searcher.local.CurrentConfiguration().policy.lease;
  searcher.search.StartAtReceiver(kPartition, {4}, searcher.now,
                                  searcher.outbox);

  const auto early =
      searcher.search.OnTick(searcher.now + lease - 1ms, searcher.outbox);
  const auto late =
      searcher.search.OnTick(searcher.now + 2 * lease, searcher.outbox);

  BOOST_TEST(early.empty());
  BOOST_TEST(late.size() == 1U);
}

}  // namespace
}  // namespace sassafrasdyke::core
