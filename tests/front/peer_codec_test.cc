/// What instances send each other, and what else arrives at their ports.
#include "front/peer_codec.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/fleet/jitter.h"

namespace sassafrasdyke::front {
namespace {

using namespace std::chrono_literals;

core::PeerDigest Sample() {
  core::PeerDigest digest;
  digest.sender = *common::Endpoint::Parse("10.1.0.10:7720");
  digest.domain = "north-a";
  digest.wants_answer = true;
  digest.view = {{412}, 130ms, std::nullopt};
  digest.changes = core::ItemDelta{
      {410}, {412}, false, {{"a", {411}, "x"}, {"b", {412}, std::nullopt}}};
  digest.known = {
      {*common::Endpoint::Parse("10.2.0.40:7720"), "north-b", 700ms}};
  return digest;
}

BOOST_AUTO_TEST_CASE(a_digest_comes_back_as_it_was) {
  const auto bytes = EncodeDigest(Sample());
  const auto digest = DecodeDigest(bytes);

  BOOST_REQUIRE(digest.has_value());
  BOOST_TEST(digest->sender.ToString() == "10.1.0.10:7720");
  BOOST_TEST(digest->domain == "north-a");
  BOOST_TEST(digest->wants_answer);
  BOOST_TEST(!digest->leaving);
  BOOST_TEST(digest->view.complete.value == 412U);
  BOOST_TEST((digest->view.age == 130ms));
  BOOST_TEST(!digest->view.store_returned_ago.has_value());
  BOOST_REQUIRE(digest->changes.has_value());
  BOOST_TEST((digest->changes->items == Sample().changes->items));
  BOOST_REQUIRE(digest->known.size() == 1U);
  BOOST_TEST(digest->known[0].domain == "north-b");
  BOOST_TEST((digest->known[0].heard_ago == 700ms));
}

BOOST_AUTO_TEST_CASE(a_copy_comes_back_as_it_was) {
  const ViewCopy copy{{{9}, 5ms, 100ms}, {{0}, {9}, true, {{"a", {3}, "x"}}}};
  const auto read = DecodeCopy(EncodeCopy(copy));

  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->delta.whole);
  BOOST_TEST((read->delta.items == copy.delta.items));
  BOOST_TEST((read->mark.store_returned_ago == 100ms));
}

// Datagrams are cut, changed and forged. Whatever the bytes, decoding ends with
// a digest or with nothing.
BOOST_DATA_TEST_CASE(any_bytes_are_a_digest_or_nothing,
                     boost::unit_test::data::xrange(200), seed) {
  core::Jitter random(static_cast<std::uint64_t>(seed));
  std::vector<std::uint8_t> bytes = EncodeDigest(Sample());
  for (std::uint64_t i = random.Below(6); i > 0; --i) {
    bytes[random.Below(bytes.size())] =
        static_cast<std::uint8_t>(random.Below(256));
  }
  bytes.resize(bytes.size() - random.Below(bytes.size()));

  DecodeDigest(bytes);
  DecodeCopy(std::string(bytes.begin(), bytes.end()));
}

}  // namespace
}  // namespace sassafrasdyke::front
