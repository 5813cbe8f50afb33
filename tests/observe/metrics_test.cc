/// The registry's text.
#include "observe/metrics.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasdyke::observe {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

BOOST_AUTO_TEST_CASE(writes_counters_and_gauges_with_labels) {
  Metrics metrics;
  metrics.SetTotal(metrics::kReceived, 3);
  metrics.SetTotal(metrics::kReceived, 5);
  metrics.SetTotal(metrics::kDrops, 2, "stale");
  metrics.SetValue(metrics::kOwnedPartitions, 7);

  const std::string text = metrics.Text();

  BOOST_TEST(Contains(text, "sassafrasdyke_datagrams_received_total 5"));
  BOOST_TEST(
      Contains(text, "sassafrasdyke_packet_drops_total{reason=\"stale\"} 2"));
  BOOST_TEST(Contains(text, "sassafrasdyke_owned_partitions 7"));
}

// A counter that falls looks like a restart to whoever computes rates from it.
BOOST_AUTO_TEST_CASE(a_total_never_falls) {
  Metrics metrics;
  metrics.SetTotal(metrics::kReceived, 5);
  metrics.SetTotal(metrics::kReceived, 4);

  BOOST_TEST(
      Contains(metrics.Text(), "sassafrasdyke_datagrams_received_total 5"));
}

}  // namespace
}  // namespace sassafrasdyke::observe
