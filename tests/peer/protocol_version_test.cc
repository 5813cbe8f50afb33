/// Instances of different releases agree on a version, or part.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <variant>

#include "peer/hello.h"
#include "peer/peer_fixture.h"
#include "peer/peer_kinds.h"

namespace sassafrasdyke::peer {
namespace {

struct Releases {
  std::string name;
  VersionRange one;
  VersionRange two;
  std::optional<ProtocolVersion> common;
};

std::ostream& operator<<(std::ostream& out, const Releases& row) {
  return out << row.name;
}

const Releases kReleases[] = {
    {"the same", {1, 1}, {1, 1}, 1},
    {"one speaks a newer one too", {1, 2}, {1, 1}, 1},
    {"they overlap", {1, 3}, {2, 5}, 3},
    {"they touch", {1, 2}, {2, 3}, 2},
    {"one within the other", {1, 9}, {4, 6}, 6},
    {"none in common", {1, 1}, {2, 3}, std::nullopt},
    {"a range that holds nothing", {1, 5}, {4, 3}, std::nullopt},
};

// A fleet is upgraded one instance after the other, and for an hour half of it
// runs the new release. Both halves must go on talking, in what both speak; if
// they refused each other, each would suspect the other and take over its
// flows. Releases too far apart are cut off and counted instead.
BOOST_DATA_TEST_CASE(both_ends_use_the_highest_common_version, kReleases, row) {
  PeerFixture fixture;
  fixture.versions = row.one;
  TestInstance& one = fixture.Open(1);
  fixture.versions = row.two;
  TestInstance& two = fixture.Open(2);
  const core::InstanceList list = PeerFixture::ListOf({&one, &two});
  one.links->SetInstances(list, PeerFixture::kFleet);
  two.links->SetInstances(list, PeerFixture::kFleet);

  one.links->Send({2}, core::Heartbeat{});
  two.links->Send({1}, core::Heartbeat{});
  const std::size_t expected = row.common ? 1 : 0;
  BOOST_TEST(fixture.RunUntil([&one, &two, expected] {
    const auto settled = [expected](const TestInstance& instance) {
      return instance.recorder.messages.size() == expected &&
             (expected > 0 ||
              instance.links->Counts().Cut(CutReason::kOtherVersion) > 0);
    };
    return settled(one) && settled(two);
  }));

  BOOST_TEST((one.links->VersionTo({2}) == row.common));
  BOOST_TEST((one.links->VersionFrom({2}) == row.common));
  BOOST_TEST((two.links->VersionTo({1}) == row.common));
  BOOST_TEST((two.links->VersionFrom({1}) == row.common));
}

struct NewerKind {
  VersionRange spoken;  ///< By the older release.
  core::PeerMessage message;
};

std::ostream& operator<<(std::ostream& out, const NewerKind& row) {
  return out << KindWord(row.message.index()) << " to version "
             << row.spoken.highest;
}

const NewerKind kNewerKinds[] = {{{1, 1}, core::OpeningsKnown{}},
                                 {{1, 2}, core::OwnershipGrant{}},
                                 {{1, 2}, core::OwnershipGrantAck{}},
                                 {{1, 2}, core::OwnerRequest{}},
                                 {{1, 2}, core::OwnerReply{}}};

// Guards against streams that an older release ends in the midst of an upgrade:
// it is sent a kind of message that it doesn't know.
BOOST_DATA_TEST_CASE(an_older_peer_is_sent_no_newer_kind, kNewerKinds, row) {
  PeerFixture fixture;
  TestInstance& one = fixture.Open(1);
  fixture.versions = row.spoken;
  TestInstance& two = fixture.Open(2);
  const core::InstanceList list = PeerFixture::ListOf({&one, &two});
  one.links->SetInstances(list, PeerFixture::kFleet);
  two.links->SetInstances(list, PeerFixture::kFleet);

  one.links->Send({2}, row.message);
  one.links->Send({2}, core::Heartbeat{});
  BOOST_TEST(
      fixture.RunUntil([&two] { return !two.recorder.messages.empty(); }));

  BOOST_TEST(std::holds_alternative<core::Heartbeat>(
      two.recorder.messages.front().second));
  BOOST_TEST(one.links->Counts().sent[row.message.index()].messages == 0U);
}

}  // namespace
}  // namespace sassafrasdyke::peer
