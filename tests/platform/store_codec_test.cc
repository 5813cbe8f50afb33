/// What lies in the platform's store, and what others have left there.
#include "platform/store_codec.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <string>

namespace sassafrasdyke::platform {
namespace {

using namespace std::chrono_literals;

const std::string kTarget =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"north-a",)"
    R"("version":"v1","max-concurrency":2,"state":"ready",)"
    R"("warmup-left-ms":1500,"sequence":4,"born":1774190374013})";

BOOST_AUTO_TEST_CASE(a_target_is_read) {
  const auto item = StoreCodec().ReadItem("target/i-52c36f2787", kTarget);

  BOOST_REQUIRE(item.has_value());
  const auto& target = std::get<core::PublishedTarget>(*item);
  BOOST_TEST(target.number.value == 0x52c36f2787U);
  BOOST_TEST(target.service == "huvo11a");
  BOOST_TEST(target.domain == "north-a");
  BOOST_TEST(target.address.ToString() == "10.128.0.9:8080");
  BOOST_TEST(target.slots == 2U);
  BOOST_TEST((target.warmup_left == 1500ms));
  BOOST_TEST(!target.draining);
  BOOST_TEST((target.started_at == 1774190374013ms));
  BOOST_TEST(target.sequence == 4U);
}

struct Start {
  std::string born;
  std::optional<std::chrono::milliseconds> started_at;
};

std::ostream& operator<<(std::ostream& out, const Start& row) {
  return out << row.born;
}

const Start kStarts[] = {{"1774190374013", 1774190374013ms},
                         {"0", 0ms},
                         {"-5", std::nullopt},
                         {"1774190374013.5", std::nullopt},
                         {"\"1774190374013\"", std::nullopt},
                         {"18446744073709551615", std::nullopt}};

// Guards against ordering targets by values that are no times.
BOOST_DATA_TEST_CASE(a_start_is_read_if_it_is_a_time, kStarts, row) {
  std::string text = kTarget;
  const std::string born = "1774190374013";
  text.replace(text.find(born), born.size(), row.born);

  const auto item = StoreCodec().ReadItem("target/i-52c36f2787", text);

  BOOST_REQUIRE(item.has_value());
  BOOST_TEST(
      (std::get<core::PublishedTarget>(*item).started_at == row.started_at));
}

struct Spoiled {
  std::string from;
  std::string to;
};

std::ostream& operator<<(std::ostream& out, const Spoiled& row) {
  return out << row.from << " to " << row.to;
}

const Spoiled kSpoiled[] = {
    {"\"ready\"", "\"resting\""},
    {"\"ready\"", "7"},
    {"\"10.128.0.9:8080\"", "\"10.128.0.9\""},
    {"\"10.128.0.9:8080\"", "\"example:8080\""},
    {"\"10.128.0.9:8080\"", "null"},
    {"\"max-concurrency\":2", "\"max-concurrency\":\"2\""},
    {"\"max-concurrency\":2", "\"max-concurrency\":-2"},
    {"\"service\":", "\"servico\":"},
    {"\"sequence\":4", "\"sequence\":4.5"},
    {"{", "["},
};

// Entries come from other writers too: fields missing, of another type, with
// words that nobody knows, or bytes that are no text. Such an entry names no
// target, and reading it must not end the process.
BOOST_DATA_TEST_CASE(an_entry_of_another_writer_names_no_target, kSpoiled,
                     row) {
  std::string value = kTarget;
  value.replace(value.find(row.from), row.from.size(), row.to);

  BOOST_TEST(!StoreCodec().ReadItem("target/i-1", value).has_value());
}

struct Urgency {
  std::string fields;
  std::optional<std::chrono::milliseconds> objective;
  std::uint32_t rank;
};

std::ostream& operator<<(std::ostream& out, const Urgency& row) {
  return out << row.fields;
}

const Urgency kUrgencies[] = {
    {R"("aim-ms":150,"priority":2)", 150ms, 2},
    {R"("timeout-ms":2000)", std::nullopt, 0},
    {R"("aim-ms":"150","priority":-1)", std::nullopt, 0},
    {R"("aim-ms":99999999999,"priority":99999999999)", std::nullopt, 0},
};

// What a route lacks, or what nobody can mean, counts as not published; the
// route is in force all the same.
BOOST_DATA_TEST_CASE(a_routes_urgency_is_read, kUrgencies, row) {
  const auto item = StoreCodec().ReadItem(
      "configuration",
      R"({"version":7,"routes":[{"host":"198.18.0.1","prefix":"/8443/",)"
      R"("service":"a",)" +
          row.fields + "}]}");

  BOOST_REQUIRE(item.has_value());
  const core::PublishedRoute& route =
      std::get<core::PublishedConfiguration>(*item).routes.at(0);
  BOOST_TEST((route.objective == row.objective));
  BOOST_TEST(route.rank == row.rank);
}

struct HomeRow {
  std::string field;
  std::optional<std::vector<std::string>> regions;  ///< Nothing: unreadable.
};

std::ostream& operator<<(std::ostream& out, const HomeRow& row) {
  return out << row.field;
}

const HomeRow kHomes[] = {
    {R"("type":"safe")", std::vector<std::string>{}},
    {R"("allowed-regions":null)", std::vector<std::string>{}},
    {R"("allowed-regions":[])", std::vector<std::string>{}},
    {R"("allowed-regions":["north","south"])",
     std::vector<std::string>{"north", "south"}},
    {R"("allowed-regions":"north")", std::nullopt},
    {R"("allowed-regions":["north",7])", std::nullopt},
};

// Guards against flows that leave their home because its name can't be read.
BOOST_DATA_TEST_CASE(a_routes_home_regions_are_read, kHomes, row) {
  const auto item = StoreCodec().ReadItem(
      "configuration",
      R"({"version":7,"routes":[{"host":"198.18.0.1","prefix":"/8443/",)"
      R"("service":"a",)" +
          row.field + "}]}");

  BOOST_REQUIRE(item.has_value() == row.regions.has_value());
  if (row.regions) {
    BOOST_TEST(std::get<core::PublishedConfiguration>(*item)
                   .routes.at(0)
                   .allowed_regions == *row.regions);
  }
}

BOOST_AUTO_TEST_CASE(a_configuration_is_read) {
  const auto item = StoreCodec().ReadItem(
      "configuration",
      R"({"version":7,"routes":[{"name":"r-1","host":"198.18.0.1",)"
      R"("prefix":"/8443/","type":"safe","traffic-split":[)"
      R"({"service":"a","weight":90},{"service":"b","weight":10}]},)"
      R"({"name":"r-2","host":"198.18.0.2","prefix":"/443/","service":"b"}],)"
      R"("services":[{"name":"a","warmup-s":2.0,"warmup-per-s":10.5},)"
      R"({"name":"b","warmup-per-s":0.0},{"name":"c","warmup-per-s":"4"},)"
      R"({"name":"d"}],"limits":{"idle-timeout-ms":15000}})");

  BOOST_REQUIRE(item.has_value());
  const auto& configuration = std::get<core::PublishedConfiguration>(*item);
  BOOST_TEST(configuration.version == 7U);
  BOOST_REQUIRE(configuration.routes.size() == 2U);
  BOOST_TEST(configuration.routes[0].address.ToString() == "198.18.0.1:8443");
  BOOST_REQUIRE(configuration.routes[0].shares.size() == 2U);
  BOOST_TEST(configuration.routes[0].shares[0].service == "a");
  BOOST_TEST(configuration.routes[0].shares[0].weight == 90U);
  BOOST_REQUIRE(configuration.routes[1].shares.size() == 1U);
  BOOST_TEST(configuration.routes[1].shares[0].service == "b");
  BOOST_REQUIRE(configuration.services.size() == 4U);
  BOOST_TEST(configuration.services[0].name == "a");
  BOOST_TEST(*configuration.services[0].warmup_rate == 10.5);
  for (std::size_t i = 1; i < configuration.services.size(); ++i) {
    const core::PublishedService& service = configuration.services[i];
    BOOST_TEST(service.name == std::string(1, static_cast<char>('a' + i)));
    BOOST_TEST(!service.warmup_rate.has_value(), service.name);
  }
}

std::string OneRoute(const std::string& fields) {
  return R"({"version":7,"routes":[{)" + fields + "}]}";
}

const std::string kNoConfigurations[] = {
    "",
    "{}",
    R"({"version":"7","routes":[]})",
    R"({"version":7})",
    OneRoute(R"("host":"198.18.0.1","prefix":"443","service":"a")"),
    OneRoute(R"("host":"nowhere","prefix":"/443/","service":"a")"),
    OneRoute(R"("host":"198.18.0.1","prefix":"/443/")"),
    R"({"version":7,"routes":[7]})",
    R"({"version":7,"routes":{"a":{"host":"198.18.0.1"}}})",
    R"({"version":7,"services":[{"name":"a"}]})",
    R"({"version":7,"routes":[)",
};

// Half a configuration in force would drop routes that the operator never
// withdrew.
BOOST_DATA_TEST_CASE(a_configuration_is_taken_whole_or_not_at_all,
                     kNoConfigurations, value) {
  BOOST_TEST(!StoreCodec().ReadItem("configuration", value).has_value());
}

struct EvacuationRow {
  std::string value;
  bool readable;
};

std::ostream& operator<<(std::ostream& out, const EvacuationRow& row) {
  return out << row.value;
}

const EvacuationRow kEvacuations[] = {
    {"{}", true},    {R"({"why":"power"})", true},
    {"", false},     {"[]", false},
    {"null", false}, {"{", false},
    {"7", false}};

// Guards against bytes of another writer that evacuate a domain.
BOOST_DATA_TEST_CASE(an_evacuation_is_an_object, kEvacuations, row) {
  const auto item = StoreCodec().ReadItem("evacuation/north-a", row.value);

  BOOST_REQUIRE(item.has_value() == row.readable);
  if (row.readable) {
    BOOST_TEST(std::get<core::PublishedEvacuation>(*item).domain == "north-a");
  }
}

BOOST_AUTO_TEST_CASE(keys_of_evacuations_are_read) {
  const auto batch = StoreCodec().ReadChanges(
      R"({"events":[{"key":"op/evacuate/north-a","value":"e30=","revision":7},)"
      R"({"key":"op/evacuate/","value":"e30=","revision":8},)"
      R"({"key":"op/evacuate/b c","revision":9,"tombstone":true}],)"
      R"("store-revision":9})");

  BOOST_REQUIRE(batch.has_value());
  BOOST_REQUIRE(batch->changes.size() == 2U);
  BOOST_TEST(batch->changes[0].key == "evacuation/north-a");
  BOOST_TEST(*batch->changes[0].value == "{}");
  BOOST_TEST(batch->changes[1].key == "evacuation/b c");
  BOOST_TEST(!batch->changes[1].value.has_value());
}

BOOST_AUTO_TEST_CASE(a_page_of_a_listing_is_read) {
  const auto page = StoreCodec().ReadPage(
      R"({"items":[{"key":"op/config","value":"e30=","revision":2,)"
      R"("create-rev":2,"lease":0},{"key":"servers/i-1","value":"#","revision")"
      R"(:3,"create-rev":3,"lease":7},{"key":"other","value":"","revision":4}],)"
      R"("has-more":true,"store-revision":9})");

  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(page->at.value == 9U);
  BOOST_TEST(page->more);
  BOOST_TEST(page->last_key == "other");
  BOOST_REQUIRE(page->items.size() == 2U);
  BOOST_TEST(page->items[0].key == "configuration");
  BOOST_TEST(*page->items[0].value == "{}");
  BOOST_TEST(page->items[1].key == "target/i-1");
  BOOST_TEST(page->items[1].value->empty());
}

BOOST_AUTO_TEST_CASE(changes_are_read) {
  const auto batch = StoreCodec().ReadChanges(
      R"({"events":[{"key":"servers/i-1","value":"eA==","revision":412,)"
      R"("create-rev":412,"lease":77120},{"key":"servers/i-2","revision":413,)"
      R"("tombstone":true}],"store-revision":413})");

  BOOST_REQUIRE(batch.has_value());
  BOOST_REQUIRE(batch->changes.size() == 2U);
  BOOST_TEST(*batch->changes[0].value == "x");
  BOOST_TEST(!batch->changes[1].value.has_value());
}

const std::string kHalfAnswers[] = {"",
                                    "{",
                                    "[]",
                                    "null",
                                    R"({"events":[]})",
                                    R"({"store-revision":3})",
                                    R"({"events":{},"store-revision":3})"};

// A connection may break off in the middle of an answer, or bring another's.
BOOST_DATA_TEST_CASE(half_an_answer_is_none, kHalfAnswers, body) {
  BOOST_TEST(!StoreCodec().ReadChanges(body).has_value());
  BOOST_TEST(!StoreCodec().ReadPage(body).has_value());
}

struct Base64 {
  std::string text;
  std::optional<std::string> bytes;
};

std::ostream& operator<<(std::ostream& out, const Base64& row) {
  return out << row.text;
}

const Base64 kBase64[] = {
    {"", ""},
    {"bm9kZS0x", "node-1"},
    {"eA==", "x"},
    {"eHk=", "xy"},
    {"eA=", std::nullopt},
    {"e#==", std::nullopt},
    {"====", std::nullopt},
    {"+/+/", "\xFB\xFF\xBF"},
};

BOOST_DATA_TEST_CASE(base64_is_read_or_refused, kBase64, row) {
  BOOST_TEST((ReadBase64(row.text) == row.bytes));
}

struct Status {
  unsigned http;
  core::StoreStatus status;
};

std::ostream& operator<<(std::ostream& out, const Status& row) {
  return out << row.http;
}

const Status kStatuses[] = {{200, core::StoreStatus::kServed},
                            {410, core::StoreStatus::kHistoryGone},
                            {429, core::StoreStatus::kRefused},
                            {503, core::StoreStatus::kRefused},
                            {404, core::StoreStatus::kRefused}};

BOOST_DATA_TEST_CASE(a_status_says_what_to_do, kStatuses, row) {
  BOOST_TEST((StoreCodec().StatusOf(row.http) == row.status));
}

BOOST_AUTO_TEST_CASE(calls_are_written_as_the_store_takes_them) {
  BOOST_TEST(StoreCodec().ListPath("servers/i 1") ==
             "/sassafrasdyke/kv-range?prefix=&after=servers/i%201");
  BOOST_TEST(StoreCodec().WatchPath({411}, 1500ms) ==
             "/sassafrasdyke/kv-watch?prefix=&after=411&wait-ms=1500");
}

}  // namespace
}  // namespace sassafrasdyke::platform
