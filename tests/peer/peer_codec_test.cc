/// Messages as bytes, and bytes that are not messages.
#include "peer/peer_codec.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <variant>

#include "peer/sample_messages.h"

namespace sassafrasdyke::peer {
namespace {

BOOST_AUTO_TEST_CASE(each_kind_survives_the_way_there_and_back) {
  const auto samples = SampleMessages();
  BOOST_REQUIRE(samples.size() == std::variant_size_v<core::PeerMessage>);

  for (std::size_t i = 0; i < samples.size(); ++i) {
    BOOST_TEST_CONTEXT("kind " << i) {
      BOOST_REQUIRE(samples[i].index() == i);
      const std::string bytes = Encode(samples[i]);
      const auto decoded = DecodeMessage(bytes);
      BOOST_REQUIRE(decoded.has_value());
      BOOST_TEST(decoded->index() == i);
      BOOST_TEST(Encode(*decoded) == bytes);
    }
  }
}

BOOST_AUTO_TEST_CASE(fields_keep_their_places) {
  const auto samples = SampleMessages();
  const auto copy = DecodeMessage(Encode(samples[6]));
  BOOST_REQUIRE(copy.has_value());

  const auto& exceptions = std::get<core::ExceptionCopy>(*copy);
  BOOST_TEST(exceptions.partition.service.value == 1U);
  BOOST_TEST(exceptions.partition.partition.value == 63U);
  BOOST_TEST(exceptions.generation == 4U);
  BOOST_TEST(exceptions.sequence == 5U);
  BOOST_TEST(exceptions.fallback.value == 101U);
  BOOST_TEST(exceptions.whole);
  BOOST_TEST(!exceptions.last);
  BOOST_REQUIRE(exceptions.added.size() == 2U);
  BOOST_TEST(exceptions.added[0].flow.value == 1ULL << 63U);
  BOOST_TEST(exceptions.ended[0].value == 88U);
}

BOOST_AUTO_TEST_CASE(hello_survives_the_way_there_and_back) {
  const Hello hello{kSpokenVersions, "lensmoor", {3}, {4}, {5}};

  const auto decoded = DecodeHello(Encode(hello));

  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == hello));
}

// A connection is cut in the middle of a message, or a peer runs another
// release. Half a message must not become another one: a suspicion read from
// it would move ownership away from an instance that is well.
BOOST_AUTO_TEST_CASE(refuses_every_message_that_is_cut_or_has_more) {
  for (const core::PeerMessage& sample : SampleMessages()) {
    const std::string bytes = Encode(sample);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      BOOST_TEST(!DecodeMessage(bytes.substr(0, size)).has_value());
    }
    const auto longer = DecodeMessage(bytes + '\0');
    BOOST_REQUIRE(!longer.has_value());
    BOOST_TEST((longer.error() == CodecFault::kTrailing));
  }
}

struct Garbage {
  std::string name;
  std::string bytes;
  CodecFault fault;
};

std::ostream& operator<<(std::ostream& out, const Garbage& row) {
  return out << row.name;
}

/// `text` with its length, so that it may hold zero bytes.
template <std::size_t kSize>
std::string Bytes(const char (&text)[kSize]) {
  return {text, kSize - 1};
}

const Garbage kGarbage[] = {
    {"nothing", "", CodecFault::kMalformed},
    {"text", "GET / HTTP/1.1", CodecFault::kTrailing},
    {"a number", "\x01", CodecFault::kWrongFields},
    {"an empty array", "\x90", CodecFault::kWrongFields},
    {"another kind", "\x92\x0E\x90", CodecFault::kUnknownKind},
    {"a negative kind", "\x92\xFF\x90", CodecFault::kWrongFields},
    {"too few fields", Bytes("\x92\x00\x90"), CodecFault::kWrongFields},
    {"a map", "\x81\x01\x01", CodecFault::kMalformed},
    {"four thousand million items", "\xDD\xFF\xFF\xFF\xFF",
     CodecFault::kMalformed},
    {"a string of four thousand million bytes", "\xDB\xFF\xFF\xFF\xFF",
     CodecFault::kMalformed},
    {"deep nesting", std::string(100'000, '\x91'), CodecFault::kMalformed},
    {"an extension", "\xD4\x01\x01", CodecFault::kMalformed},
    {"too long", std::string(kMessageLimit + 1, '\0'), CodecFault::kTooLong},
    // A target's health of 4, which has no meaning.
    {"an unknown health", Bytes("\x92\x05\x94\x01\x04\x01\x01"),
     CodecFault::kWrongFields},
    // A target's number of 2^32.
    {"a number out of range",
     Bytes("\x92\x05\x94\xCF\x00\x00\x00\x01\x00\x00\x00\x00\x01\x01\x01"),
     CodecFault::kWrongFields},
    {"a number for a truth value", Bytes("\x92\x08\x94\x01\x01\x01\x01"),
     CodecFault::kWrongFields},
};

// Something that isn't a peer connects to the port, or a peer's memory is
// broken. Its bytes must cost little and change nothing.
BOOST_DATA_TEST_CASE(refuses_bytes_that_are_no_message, kGarbage, row) {
  const auto decoded = DecodeMessage(row.bytes);

  BOOST_REQUIRE(!decoded.has_value());
  BOOST_TEST(Word(decoded.error()) == Word(row.fault));
  BOOST_TEST(!DecodeHello(row.bytes).has_value());
}

}  // namespace
}  // namespace sassafrasdyke::peer
