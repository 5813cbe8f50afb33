/// What instances send each other of load and target health, and how releases
/// without it read such digests.
#include "front/observation_codec.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <ostream>

#include "core/fleet/jitter.h"
#include "front/peer_codec.h"

namespace sassafrasdyke::front {
namespace {

using namespace std::chrono_literals;

core::LoadEntry Entry(std::uint32_t service, const std::string& domain,
                      double rate) {
  return {{service}, domain, rate, rate / 8};
}

core::PeerObservations Sample() {
  core::PeerObservations sample;
  sample.sent_at = 90'000'000ms;
  sample.own = {{Entry(0xFFFFFFFF, "north-a", 24), Entry(7, "north-b", 2.4)}};
  sample.heard = {{"north-b", 700ms}};
  sample.domains = {
      {"north-a", 27, 13, 80ms, {{Entry(0xFFFFFFFF, "north-a", 26)}}},
      {"north-b", 26, 11, 1200ms, {}}};
  sample.targets = {
      {{0xFFFFFFFFFFFFFFFF}, 40, 9, 31, 140ms, false, 0.25, 300ms},
      {{3}, 0, 12, 0, 0ms, true, 1.0, 0ms}};
  return sample;
}

core::PeerDigest DigestWith(const core::PeerObservations& observations) {
  core::PeerDigest digest;
  digest.sender = *common::Endpoint::Parse("10.1.0.10:7720");
  digest.domain = "north-a";
  digest.view = {{412}, 130ms, std::nullopt};
  digest.known = {
      {*common::Endpoint::Parse("10.2.0.40:7720"), "north-b", 700ms}};
  digest.observations = observations;
  return digest;
}

BOOST_AUTO_TEST_CASE(observations_come_back_as_they_were) {
  const auto digest = DecodeDigest(EncodeDigest(DigestWith(Sample())));

  BOOST_REQUIRE(digest.has_value());
  BOOST_TEST((digest->observations == Sample()));
  BOOST_TEST(digest->has_evacuations);
  BOOST_TEST(digest->known.size() == 1U);
}

/// The digest as a release without observations encodes it.
std::vector<std::uint8_t> FormerEncoding() {
  return nlohmann::json::to_msgpack(nlohmann::json::array(
      {2, "10.1.0.10:7720", "north-a", false, false,
       nlohmann::json::array({412, 130, nullptr}), nullptr,
       nlohmann::json::array(
           {nlohmann::json::array({"10.2.0.40:7720", "north-b", 700}),
            nlohmann::json::array({"10.1.0.10:7720", "north-a", 0})}),
       nlohmann::json::array()}));
}

// Guards against a release that can't read the digests of the former one, and
// against traffic of instances that share no load.
BOOST_AUTO_TEST_CASE(without_observations_digests_are_as_before) {
  const auto read = DecodeDigest(FormerEncoding());

  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->observations.Empty());
  BOOST_TEST(!read->observations.unreadable);
  BOOST_TEST((EncodeDigest(DigestWith({})) == FormerEncoding()));
}

// A release without observations accepts nine elements of fixed types, and
// ignores what the sender mentions of itself.
BOOST_AUTO_TEST_CASE(former_releases_read_digests_with_observations) {
  auto json = nlohmann::json::from_msgpack(EncodeDigest(DigestWith(Sample())),
                                           true, false);
  BOOST_REQUIRE(json.size() == 9U);
  BOOST_REQUIRE(json[7].size() == 3U);
  BOOST_TEST(json[7][2][0] == "10.1.0.10:7720");
  BOOST_TEST(json[7][2][1].is_string());
  BOOST_TEST(json[7][2][2] == 0);
  json[7].erase(2);

  BOOST_TEST((nlohmann::json::to_msgpack(json) == FormerEncoding()));
}

BOOST_AUTO_TEST_CASE(text_that_cannot_be_parsed_loses_only_the_report) {
  auto json = nlohmann::json::from_msgpack(FormerEncoding());
  json[7].push_back(
      nlohmann::json::array({"10.1.0.10:7720", "no observations", 0}));
  const auto digest = DecodeDigest(nlohmann::json::to_msgpack(json));

  BOOST_REQUIRE(digest.has_value());
  BOOST_TEST(digest->known.size() == 1U);
  BOOST_TEST(digest->observations.unreadable);
  BOOST_TEST(digest->observations.Empty());
}

struct Fill {
  std::size_t domains;
  std::size_t entries;
  std::size_t name_bytes;
};

std::ostream& operator<<(std::ostream& out, const Fill& row) {
  return out << row.domains << " domains of " << row.name_bytes << " bytes, "
             << row.entries << " entries";
}

const Fill kFills[] = {{3, 3, 8}, {7, 16, 12}, {7, 16, 40}, {20, 16, 64}};

// Guards against a digest that no link carries whole, and targets or the own
// report that are lost because reports of others are long.
BOOST_DATA_TEST_CASE(long_reports_are_cut_to_fit, kFills, row) {
  core::PeerObservations full;
  full.sent_at = 90'000'000ms;
  full.own.emplace();
  for (std::size_t i = 0; i < row.domains; ++i) {
    const std::string name(row.name_bytes, static_cast<char>('a' + i));
    full.heard.push_back({name, 1500ms});
    if (i < 3) {
      full.domains.push_back({name, 116, 100, 3999ms, {}});
    }
  }
  const auto fill = [&](core::LoadReport& report) {
    for (std::size_t i = 0; i < row.entries; ++i) {
      report.entries.push_back(
          Entry(static_cast<std::uint32_t>(0xFFFFFFFF - i / 3),
                full.heard[i % 3].domain, 1000 - static_cast<double>(i)));
    }
  };
  fill(*full.own);
  for (core::DomainReport& report : full.domains) {
    fill(report.mean);
  }
  for (std::uint64_t i = 0; i < core::kMaxTargetObservations; ++i) {
    full.targets.push_back(
        {{~i}, 70'000, 70'000, 70'000, 70'000ms, true, 1.0, 70'000ms});
  }
  core::PeerObservations only_targets;
  only_targets.targets = full.targets;

  const std::string text = EncodeObservations(full);
  const auto read = DecodeObservations(text);

  BOOST_TEST(EncodeObservations(only_targets).size() <= 200U);
  BOOST_TEST(text.size() <= kMaxObservationBytes);
  core::PeerDigest relayed = DigestWith(full);
  relayed.known.clear();
  relayed.relay_to.assign(32,
                          *common::Endpoint::Parse("100.200.100.200:17720"));
  BOOST_TEST(EncodeDigest(relayed).size() <= 1400U);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->targets.size() == core::kMaxTargetObservations);
  BOOST_REQUIRE(read->own.has_value());
  if (row.name_bytes < 20) {
    BOOST_REQUIRE(!read->own->entries.empty());
    BOOST_TEST((read->own->entries[0] == full.own->entries[0]));
    BOOST_TEST(read->domains.size() == 3U);
    BOOST_TEST(read->heard.size() == row.domains);
  }
}

// Whatever the bytes, decoding ends with observations or with nothing.
BOOST_DATA_TEST_CASE(any_text_is_observations_or_nothing,
                     boost::unit_test::data::xrange(500), seed) {
  core::Jitter random(static_cast<std::uint64_t>(seed));
  std::string text = EncodeObservations(Sample());
  for (std::uint64_t i = random.Below(6); i > 0; --i) {
    text[random.Below(text.size())] = static_cast<char>(random.Below(256));
  }
  text.resize(text.size() - random.Below(text.size()));

  DecodeObservations(text);
}

}  // namespace
}  // namespace sassafrasdyke::front
