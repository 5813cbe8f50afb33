/// Tests splitting changes into parts that fit into digests.
#include "core/roster/delta_parts.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "core/roster/peer_digest.h"

namespace sassafrasdyke::core {
namespace {

struct PartsRow {
  std::string name;
  std::size_t changes;
  std::size_t bytes_each;
  bool at_one_revision;
  std::size_t parts;
};

std::ostream& operator<<(std::ostream& out, const PartsRow& row) {
  return out << row.name;
}

const PartsRow kParts[] = {
    {"none", 0, 0, false, 0},
    {"one", 1, 300, false, 1},
    {"two fit", 2, 300, false, 1},
    {"three don't", 3, 300, false, 2},
    {"a dozen", 12, 300, false, 6},
    {"too many for digests", 60, 300, false, 0},
    {"one too large", 1, 2000, false, 0},
    {"small ones of one revision", 3, 100, true, 1},
    {"too many of one revision", 12, 300, true, 0},
};

std::size_t SizeOf(const ItemDelta& part) {
  std::size_t size = 0;
  for (const Item& item : part.items) {
    size += item.key.size() + item.value.value_or("").size();
  }
  return size;
}

// Guards against parts that exceed a digest, or that leave the receiver with
// another view than a copy would.
BOOST_DATA_TEST_CASE(parts_bring_a_view_up_to_date, kParts, row) {
  ItemStore sender;
  sender.Replace({{"configuration", {1}, "x"}}, {1});
  ItemStore receiver = sender;
  for (std::size_t i = 0; i < row.changes; ++i) {
    const common::Revision at{2 + (row.at_one_revision ? 0 : i)};
    sender.Merge(
        {"target/" + std::to_string(i), at, std::string(row.bytes_each, 'x')});
    sender.CompleteTo(at);
  }

  const std::vector<ItemDelta> parts = PartsSince(sender, {1});

  BOOST_TEST(parts.size() == row.parts);
  for (const ItemDelta& part : parts) {
    BOOST_TEST(SizeOf(part) <= kMaxInlineBytes);
    receiver.Apply(part);
  }
  if (row.parts > 0) {
    BOOST_TEST(receiver.Complete().value == sender.Complete().value);
    BOOST_TEST(receiver.Since({1}).items.size() == row.changes);
  }
}

// Guards against an undetected gap in the view when a part is lost: the
// receiver would send new flows to a target that is draining.
BOOST_AUTO_TEST_CASE(a_lost_part_leaves_a_detectable_gap) {
  ItemStore sender;
  sender.Replace({{"configuration", {1}, "x"}}, {1});
  ItemStore receiver = sender;
  for (std::uint64_t i = 0; i < 6; ++i) {
    sender.Merge(
        {"target/" + std::to_string(i), {2 + i}, std::string(500, 'x')});
    sender.CompleteTo({2 + i});
  }

  const std::vector<ItemDelta> parts = PartsSince(sender, {1});
  BOOST_REQUIRE(parts.size() == 6U);
  receiver.Apply(parts[0]);
  receiver.Apply(parts[2]);
  receiver.Apply(parts[5]);

  BOOST_TEST(receiver.Complete().value == parts[0].to.value);
}

struct ListingRow {
  std::string name;
  std::uint64_t listed_at;  ///< Revision of the listing's first page.
  std::size_t bytes_each;   ///< Of an item.
};

std::ostream& operator<<(std::ostream& out, const ListingRow& row) {
  return out << row.name;
}

const ListingRow kListings[] = {
    {"one part", 5, 50},
    {"parts of two items", 5, 300},
    {"parts of one item", 5, 500},
    {"no change before the listing", 1, 300},
    {"a change before the listing", 2, 300},
};

// Guards against a receiver that takes its view for complete at a revision that
// the sender's view hasn't reached: it never asks for the changes between.
BOOST_DATA_TEST_CASE(parts_end_at_the_senders_revision, kListings, row) {
  ItemStore sender;
  sender.Replace({{"configuration", {1}, "x"}}, {1});
  ItemStore receiver = sender;
  // The later pages were read after changes that the first page lacks.
  std::vector<Item> listed{{"configuration", {1}, "x"}};
  for (std::uint64_t i = 2; i < 9; ++i) {
    listed.push_back(
        {"target/" + std::to_string(i), {i}, std::string(row.bytes_each, 'x')});
  }
  sender.Replace(std::move(listed), {row.listed_at});

  for (const ItemDelta& part : PartsSince(sender, {1})) {
    BOOST_TEST(part.to.value <= row.listed_at);
    receiver.Apply(part);
  }

  BOOST_TEST(receiver.Complete().value == row.listed_at);
}

}  // namespace
}  // namespace sassafrasdyke::core
