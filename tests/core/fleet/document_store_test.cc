/// The document store: its history, deltas and copies.
#include "core/fleet/document_store.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <random>

#include "core/fleet/sample_documents.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::uint32_t kTargets = 18;

DocumentStore StoreWith(const Document& document, HistoryLimits limits = {}) {
  DocumentStore store(document.kind, limits);
  store.Replace(document);
  return store;
}

// A delta over several revisions must give exactly the sender's document, or
// the peer would refuse it and need a whole copy.
BOOST_AUTO_TEST_CASE(a_delta_reproduces_the_document) {
  const Document first = ConfigurationOf(1, kTargets);
  DocumentStore ahead = StoreWith(first);
  const DocumentStore behind = StoreWith(first);
  ahead.Replace(WithEntry(ahead.Current(), 2, "targets/00003", "changed"));
  ahead.Replace(WithoutEntry(ahead.Current(), 3, "targets/00004"));
  ahead.Replace(WithEntry(ahead.Current(), 4, "targets/99999", "added"));

  const DocumentAnswer answer = ahead.AnswerFor(behind.Digest());

  const auto* delta = std::get_if<DocumentDelta>(&answer);
  BOOST_REQUIRE(delta != nullptr);
  BOOST_TEST(delta->changed.size() == 2U);
  BOOST_TEST(delta->removed.size() == 1U);
  const auto applied = behind.Apply(*delta);
  BOOST_REQUIRE(applied.has_value());
  BOOST_TEST((*applied == ahead.Current()));
}

struct BadDelta {
  const char* name;
  std::uint64_t from;
  std::uint64_t to;
  bool digest_is_right;
  DeltaRefusal refusal;
};

std::ostream& operator<<(std::ostream& out, const BadDelta& row) {
  return out << row.name;
}

const BadDelta kBadDeltas[] = {
    {"already here", 1, 2, true, DeltaRefusal::kOlder},
    {"older than here", 0, 1, true, DeltaRefusal::kOlder},
    {"a step was lost", 3, 4, true, DeltaRefusal::kWrongBase},
    {"starts before the one here", 1, 4, true, DeltaRefusal::kWrongBase},
    {"other text", 2, 3, false, DeltaRefusal::kWrongDigest},
};

// A message is lost, duplicated or reordered, and the delta's base is no longer
// the document here. Applying it would give a target list that was never
// published, and flows would go to removed targets.
BOOST_DATA_TEST_CASE(a_delta_that_does_not_fit_changes_nothing, kBadDeltas,
                     row) {
  const DocumentStore store = StoreWith(ConfigurationOf(2, kTargets));
  DocumentDelta delta;
  delta.from.value = row.from;
  delta.to.value = row.to;
  delta.digest = store.Digest().digest + (row.digest_is_right ? 0 : 1);

  const auto applied = store.Apply(delta);

  BOOST_REQUIRE(!applied.has_value());
  BOOST_TEST((applied.error() == row.refusal));
}

struct RequestCase {
  const char* name;
  std::uint64_t revision;
  bool digest_is_right;
  bool delta;
};

std::ostream& operator<<(std::ostream& out, const RequestCase& row) {
  return out << row.name;
}

const RequestCase kRequestCases[] = {
    {"has nothing", 0, true, false},
    {"has a revision the history holds", 9, true, true},
    {"has a revision older than the history", 5, true, false},
    {"has other text under a known revision", 9, false, false},
};

// A delta from a base that the history doesn't hold can't be computed; the peer
// must get a whole copy.
BOOST_DATA_TEST_CASE(answers_with_a_delta_only_from_a_known_base, kRequestCases,
                     row) {
  DocumentStore store = StoreWith(ConfigurationOf(1, kTargets), {4, 4096});
  DocumentDigest base;
  for (std::uint64_t revision = 2; revision <= 10; ++revision) {
    if (store.Digest().revision.value == row.revision) {
      base = store.Digest();
    }
    store.Replace(WithEntry(store.Current(), revision, "targets/00001",
                            std::to_string(revision)));
  }
  base.revision.value = row.revision;
  base.digest += row.digest_is_right ? 0 : 1;

  const DocumentAnswer answer = store.AnswerFor(base);

  BOOST_TEST(std::holds_alternative<DocumentDelta>(answer) == row.delta);
}

// A revision changes every entry. A delta as large as the document would exceed
// the bound of the history and cost peers more than a copy.
BOOST_AUTO_TEST_CASE(a_change_of_everything_is_sent_whole_and_not_kept) {
  DocumentStore store = StoreWith(ConfigurationOf(1, kTargets), {4, 10});
  const DocumentDigest first = store.Digest();
  store.Replace(ConfigurationOf(2, kTargets));

  BOOST_TEST(std::holds_alternative<DocumentCopy>(store.AnswerFor(first)));
}

// For any sequence of changes, a delta from any revision in the history must
// give exactly the current document.
BOOST_DATA_TEST_CASE(any_chain_of_changes_converges,
                     boost::unit_test::data::xrange(20), seed) {
  std::mt19937 random(static_cast<std::uint32_t>(seed));
  DocumentStore ahead = StoreWith(ConfigurationOf(1, kTargets));
  DocumentStore behind = ahead;
  for (std::uint64_t revision = 2; revision < 30; ++revision) {
    const std::string path = "targets/0000" + std::to_string(random() % 10);
    ahead.Replace(random() % 3 == 0
                      ? WithoutEntry(ahead.Current(), revision, path)
                      : WithEntry(ahead.Current(), revision, path,
                                  std::to_string(random())));
    if (random() % 4 == 0) {
      const DocumentAnswer answer = ahead.AnswerFor(behind.Digest());
      const auto* delta = std::get_if<DocumentDelta>(&answer);
      BOOST_REQUIRE(delta != nullptr);
      const auto applied = behind.Apply(*delta);
      BOOST_REQUIRE(applied.has_value());
      behind.Replace(*applied);
      BOOST_TEST((behind.Current() == ahead.Current()));
    }
  }
}

}  // namespace
}  // namespace sassafrasdyke::core
