/// Entries that other programs have left in the store: nested without end, with
/// numbers out of range, or of great length.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

#include "platform/store_codec.h"

namespace sassafrasdyke::platform {
namespace {

/// Deep enough to overrun the stack of code that walks a value by recursion.
constexpr std::size_t kDepth = 200'000;
/// Greatest value of an item, in bytes.
constexpr std::size_t kGreatestValue = 1U << 20U;
/// Greatest fault, in bytes: it is a part of one line of the log.
constexpr std::size_t kGreatestFault = 200;

std::string Repeated(const std::string& text, std::size_t times) {
  std::string all;
  all.reserve(text.size() * times);
  for (std::size_t i = 0; i < times; ++i) {
    all += text;
  }
  return all;
}

std::string Arrays() { return Repeated("[", kDepth) + Repeated("]", kDepth); }

std::string Objects() {
  return Repeated(R"({"a":)", kDepth) + "0" + Repeated("}", kDepth);
}

std::string Route(const std::string& member) {
  return R"({"host":"198.18.0.1","prefix":"/443/","service":"a",)" + member +
         "}";
}

std::string Configuration(const std::string& routes,
                          const std::string& other = "") {
  return R"({"version":7,"routes":[)" + routes + "]" + other + "}";
}

std::string Target(const std::string& member) {
  return R"({"service":"a","zone":"north","version":"v1","state":"ready",)"
         R"("address":"10.0.0.1:80","max-concurrency":2,"warmup-left-ms":0,)"
         R"("sequence":1,)" +
         member + "}";
}

struct OddRow {
  std::string name;
  std::string key;
  std::string value;
  bool readable{false};  ///< The odd part is in none of the members used.
};

std::ostream& operator<<(std::ostream& out, const OddRow& row) {
  return out << row.key << ", " << row.name;
}

const std::string kConfigurationKey = "configuration";
const std::string kTargetKey = "target/i-1";
const std::string kEvacuationKey = "evacuation/north";

const OddRow kOddEntries[] = {
    {"arrays for a route", kConfigurationKey, Configuration(Arrays())},
    {"objects for a route", kConfigurationKey, Configuration(Objects())},
    {"arrays in a route", kConfigurationKey,
     Configuration(R"({"name":)" + Arrays() + "}")},
    {"objects in a route", kConfigurationKey,
     Configuration(R"({"name":)" + Objects() + "}")},
    {"arrays in a readable route", kConfigurationKey,
     Configuration(Route(R"("allowed-regions":)" + Arrays()))},
    {"arrays for a service", kConfigurationKey,
     Configuration("", R"(,"services":[)" + Arrays() + "]"), true},
    {"arrays for a member", kConfigurationKey,
     Configuration("", R"(,"limits":)" + Arrays()), true},
    {"open arrays", kConfigurationKey, Repeated("[", kDepth)},
    {"a long text for a route", kConfigurationKey,
     Configuration("\"" + std::string(kGreatestValue, 'x') + "\"")},
    {"a long name in a route", kConfigurationKey,
     Configuration(R"({"name":")" + std::string(kGreatestValue, 'x') + "\"}")},
    {"a version out of range", kConfigurationKey,
     R"({"version":1e999,"routes":[]})"},
    {"a port out of range", kConfigurationKey,
     Configuration(
         R"({"host":"198.18.0.1","prefix":"/65536/","service":"a"})")},
    {"a port of many digits", kConfigurationKey,
     Configuration(R"({"host":"198.18.0.1","service":"a","prefix":"/)" +
                   std::string(300, '9') + R"(/"})")},
    {"arrays", kTargetKey, Arrays()},
    {"open objects", kTargetKey, Repeated(R"({"a":)", kDepth)},
    {"arrays in a member", kTargetKey, Target(R"("labels":)" + Arrays()), true},
    {"objects in a member", kTargetKey, Target(R"("labels":)" + Objects()),
     true},
    {"a number out of range", kTargetKey, Target(R"("born":1e999)")},
    {"a number of many digits", kTargetKey,
     Target(R"("sequence":)" + std::string(400, '9'))},
    {"a sequence beyond 64 bits", kTargetKey,
     Target(R"("sequence":18446744073709551616)")},
    {"a port out of range", kTargetKey,
     Target(R"("address":"10.0.0.1:99999")")},
    {"a negative port", kTargetKey, Target(R"("address":"10.0.0.1:-1")")},
    {"bytes that are no text", kTargetKey, Target("\"x\":\"\xFF\xC0\"")},
    {"a surrogate alone", kTargetKey, Target(R"("x":"\ud800")")},
    {"objects", kEvacuationKey, Objects(), true},
    {"arrays in an object", kEvacuationKey, R"({"why":)" + Arrays() + "}",
     true},
};

// Guards against one entry that ends every instance which reads it, or fills
// the log.
BOOST_DATA_TEST_CASE(an_odd_entry_is_read_or_refused_in_a_few_words,
                     kOddEntries, row) {
  const auto item = StoreCodec().ReadItem(row.key, row.value);

  BOOST_REQUIRE(item.has_value() == row.readable);
  if (!row.readable) {
    BOOST_TEST(!item.error().empty());
    BOOST_TEST(item.error().size() <= kGreatestFault);
  }
}

// Guards against a rate that no whole number of flows can hold.
BOOST_AUTO_TEST_CASE(a_rate_out_of_range_is_bounded) {
  const auto item = StoreCodec().ReadItem(
      kConfigurationKey,
      Configuration("", R"(,"services":[{"name":"a","warmup-per-s":1e308}])"));

  BOOST_REQUIRE(item.has_value());
  BOOST_TEST(*std::get<core::PublishedConfiguration>(*item)
                  .services.at(0)
                  .warmup_rate <= 1e6);
}

struct OddMember {
  std::string name;
  std::string json;
};

std::ostream& operator<<(std::ostream& out, const OddMember& row) {
  return out << row.name;
}

const OddMember kOddMembers[] = {
    {"a number", "7"},      {"null", "null"},    {"an object", R"({"a":[]})"},
    {"no base64", "\"#\""}, {"nothing", "\"\""},
};

// Guards against one entry that keeps an instance from following the others.
BOOST_DATA_TEST_CASE(entries_beside_an_odd_one_are_read, kOddMembers, row) {
  const std::string events =
      R"({"key":"servers/i-1","value":)" + row.json +
      R"(,"revision":8},{"key":)" + row.json +
      R"(,"value":"e30=","revision":9},)"
      R"({"key":"servers/i-2","value":"e30=","revision":10}],)";

  const auto batch = StoreCodec().ReadChanges(R"({"events":[)" + events +
                                              R"("store-revision":10})");
  const auto page = StoreCodec().ReadPage(
      R"({"items":[)" + events + R"("has-more":false,"store-revision":10})");

  BOOST_REQUIRE(batch.has_value());
  BOOST_REQUIRE(page.has_value());
  for (const auto& items : {batch->changes, page->items}) {
    BOOST_REQUIRE(items.size() == 2U);
    BOOST_TEST(items[0].key == "target/i-1");
    BOOST_TEST(items[1].key == "target/i-2");
    BOOST_TEST(*items[1].value == "{}");
  }
}

// Guards against an answer of a store gone wrong that ends the process.
BOOST_AUTO_TEST_CASE(what_is_nested_too_deep_is_left_out_of_an_answer) {
  for (const std::string& nested : {Arrays(), Objects()}) {
    BOOST_TEST(!StoreCodec().ReadChanges(nested).has_value());
    const auto page = StoreCodec().ReadPage(
        R"({"items":[{"key":"servers/i-1","value":)" + nested +
        R"(,"revision":8}],"has-more":false,)"
        R"("store-revision":8})");
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE(page->items.size() == 1U);
    BOOST_TEST(page->items[0].value->empty());
  }
}

}  // namespace
}  // namespace sassafrasdyke::platform
