/// What instances send each other, and what else arrives at their ports.
#include "front/peer_codec.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

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
  digest.relay_to = {*common::Endpoint::Parse("10.1.0.11:7720")};
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
  BOOST_REQUIRE(digest->relay_to.size() == 1U);
  BOOST_TEST(digest->relay_to[0].ToString() == "10.1.0.11:7720");
}

// Guards against a release that can't read what this one sends, or takes the
// mark of its view for another member; and against a view without evacuations
// that is taken for a complete one.
BOOST_AUTO_TEST_CASE(a_view_without_evacuations_has_no_mark) {
  core::PeerDigest former = Sample();
  former.has_evacuations = false;

  const auto read = DecodeDigest(EncodeDigest(former));
  const auto marked = DecodeDigest(EncodeDigest(Sample()));

  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!read->has_evacuations);
  BOOST_TEST(read->known.size() == former.known.size());
  BOOST_REQUIRE(marked.has_value());
  BOOST_TEST(marked->has_evacuations);
  BOOST_TEST(marked->known.size() == former.known.size());
  // What a former release decodes: the same fields, and the sender mentioned.
  const auto json =
      nlohmann::json::from_msgpack(EncodeDigest(Sample()), true, false);
  BOOST_REQUIRE(json.size() == 9U);
  BOOST_TEST(json[0] == 2);
  BOOST_REQUIRE(json[7].size() == 2U);
  BOOST_TEST(json[7][1][0] == "10.1.0.10:7720");
  BOOST_TEST(json[7][1][1] == "north-a");
}

// Guards against a content hash that is lost on the way, or taken for a member.
BOOST_DATA_TEST_CASE(a_content_hash_comes_back_as_it_was,
                     boost::unit_test::data::make(
                         {std::uint64_t{0}, std::uint64_t{0xFEDCBA9876543210},
                          UINT64_MAX}),
                     content_hash) {
  core::PeerDigest digest = Sample();
  digest.content_hash = content_hash;

  const auto read = DecodeDigest(EncodeDigest(digest));

  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->content_hash == digest.content_hash));
  BOOST_TEST(read->known.size() == digest.known.size());
  BOOST_TEST(!DecodeDigest(EncodeDigest(Sample()))->content_hash.has_value());
}

struct Load {
  std::size_t known;
  std::size_t pass_on;
};

std::ostream& operator<<(std::ostream& out, const Load& row) {
  return out << row.known << " known, " << row.pass_on << " to pass on to";
}

const Load kLoads[] = {{7, 0}, {0, 16}};

// A digest with as many changes as it may hold also names members, or those
// who are to be told. One that no link carries whole would never arrive, and
// its receivers would hear of such changes two seconds later, when they ask.
BOOST_DATA_TEST_CASE(a_full_digest_fits_into_a_packet, kLoads, row) {
  core::PeerDigest digest = Sample();
  digest.changes = core::ItemDelta{{1'000'000},
                                   {1'000'012},
                                   false,
                                   {{"target/i-0123456789",
                                     {1'000'012},
                                     std::string(core::kMaxInlineBytes, 'x')}}};
  digest.known.assign(row.known,
                      {*common::Endpoint::Parse("100.200.100.200:17720"),
                       "hn-thanhxuan", 19'000ms});
  digest.relay_to.assign(row.pass_on,
                         *common::Endpoint::Parse("100.200.100.200:17720"));

  BOOST_TEST(EncodeDigest(digest).size() <= 1400U);
}

BOOST_AUTO_TEST_CASE(a_copy_comes_back_as_it_was) {
  const ViewCopy copy{{{9}, 5ms, 100ms}, {{0}, {9}, true, {{"a", {3}, "x"}}}};
  const auto read = DecodeCopy(EncodeCopy(copy.mark, EncodeItems(copy.delta)));

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

  std::string copy = EncodeCopy(Sample().view, EncodeItems(*Sample().changes));
  for (std::uint64_t i = 1 + random.Below(6); i > 0; --i) {
    copy[random.Below(copy.size())] = static_cast<char>(random.Below(256));
  }
  copy.resize(copy.size() - random.Below(copy.size()));
  DecodeCopy(copy);
}

// The entries of targets are much alike. Sent as they are, the copies that a
// whole domain asks for after a common restart would fill a slow link for a
// minute.
BOOST_AUTO_TEST_CASE(a_copy_of_many_targets_is_small) {
  core::ItemDelta delta{{0}, {4000}, true, {}};
  core::Jitter random(7);
  std::size_t plain = 0;
  for (std::uint64_t i = 0; i < 3000; ++i) {
    const std::string id = std::to_string(random.Next());
    std::string value = R"({"service":"huvo11a","address":"10.128.)" +
                        std::to_string(i / 250) + "." +
                        std::to_string(i % 250) +
                        R"(:8080","zone":"north-a","version":"v1",)"
                        R"("max-concurrency":2,"state":"ready",)"
                        R"("warmup-left-ms":0,"sequence":4})";
    plain += value.size();
    delta.items.push_back({"target/i-" + id, {i}, std::move(value)});
  }

  BOOST_TEST(EncodeItems(delta).size() * 5 < plain);
}

}  // namespace
}  // namespace sassafrasdyke::front
