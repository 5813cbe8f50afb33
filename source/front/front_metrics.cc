#include "front/front_metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <variant>
#include <vector>

namespace sassafrasdyke::front {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

/// Bounds in seconds. A batch takes some 10 us on a whole core, and 20 times
/// that on a twentieth of one.
const prometheus::Histogram::BucketBoundaries kBatchBounds{
    0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1};
const prometheus::Histogram::BucketBoundaries kApplyBounds{
    0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0};
/// Views are confirmed every 1.5 s; past 3 s a change may be missing.
const prometheus::Histogram::BucketBoundaries kAgeBounds{
    0.1, 0.3, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0};

/// Platforms ask for a change to be in force within 1 to 6 s.
const prometheus::Histogram::BucketBoundaries kChangeDelayBounds{
    0.1, 0.3, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0, 6.0, 10.0};

double Seconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

/// Collects families in the order they are added.
class Page {
 public:
  void Counter(const std::string& name, const std::string& help,
               std::uint64_t value) {
    ClientMetric metric;
    metric.counter.value = static_cast<double>(value);
    this->Add(name, help, MetricType::Counter, {metric});
  }
  void Counters(const std::string& name, const std::string& help,
                const std::map<std::string_view, std::uint64_t>& counts) {
    std::vector<ClientMetric> metrics;
    for (const auto& [reason, count] : counts) {
      ClientMetric metric;
      metric.label.push_back({"reason", std::string(reason)});
      metric.counter.value = static_cast<double>(count);
      metrics.push_back(std::move(metric));
    }
    this->Add(name, help, MetricType::Counter, std::move(metrics));
  }
  void Gauge(const std::string& name, const std::string& help, double value) {
    ClientMetric metric;
    metric.gauge.value = value;
    this->Add(name, help, MetricType::Gauge, {metric});
  }
  void GaugeByDomain(const std::string& name, const std::string& help,
                     const std::vector<DomainGauges>& domains,
                     double (*value_of)(const DomainGauges&)) {
    std::vector<ClientMetric> metrics;
    for (const DomainGauges& domain : domains) {
      ClientMetric metric;
      metric.label.push_back({"domain", domain.load.domain});
      metric.gauge.value = value_of(domain);
      metrics.push_back(std::move(metric));
    }
    this->Add(name, help, MetricType::Gauge, std::move(metrics));
  }
  void Gauges(const std::string& name, const std::string& help,
              const std::map<std::string_view, std::size_t>& values) {
    std::vector<ClientMetric> metrics;
    for (const auto& [state, value] : values) {
      ClientMetric metric;
      metric.label.push_back({"state", std::string(state)});
      metric.gauge.value = static_cast<double>(value);
      metrics.push_back(std::move(metric));
    }
    this->Add(name, help, MetricType::Gauge, std::move(metrics));
  }
  /// A value for each priority.
  template <typename Count>
  void ByRank(const std::string& name, const std::string& help, MetricType type,
              const std::map<std::uint32_t, Count>& counts) {
    std::vector<ClientMetric> metrics;
    for (const auto& [rank, count] : counts) {
      ClientMetric metric;
      metric.label.push_back({"rank", std::to_string(rank)});
      const auto value = static_cast<double>(count);
      if (type == MetricType::Counter) {
        metric.counter.value = value;
      } else {
        metric.gauge.value = value;
      }
      metrics.push_back(std::move(metric));
    }
    this->Add(name, help, type, std::move(metrics));
  }
  void Histogram(const std::string& name, const std::string& help,
                 const prometheus::Histogram& histogram) {
    this->Add(name, help, MetricType::Histogram, {histogram.Collect()});
  }
  std::string Text() const {
    return prometheus::TextSerializer().Serialize(this->families);
  }

 private:
  void Add(const std::string& name, const std::string& help, MetricType type,
           std::vector<ClientMetric> metrics) {
    this->families.push_back({name, help, type, std::move(metrics)});
  }

  std::vector<MetricFamily> families;
};

void AddTraffic(Page& page, const PortCounts& port) {
  page.Counter("sassafrasdyke_datagrams_received_total",
               "Clients' datagrams taken.", port.received);
  page.Counter("sassafrasdyke_datagrams_sent_total",
               "Datagrams sent to targets and clients.", port.sent);
  page.Counter("sassafrasdyke_datagrams_unsent_total",
               "Datagrams that the kernel didn't take.", port.unsent);
  page.Counter("sassafrasdyke_datagrams_cut_total",
               "Datagrams larger than any packet, dropped.", port.cut);
}

void AddStore(Page& page, const StoreCounts& store) {
  page.Counter("sassafrasdyke_store_calls_total",
               "Calls of the platform's store.", store.calls);
  page.Counter("sassafrasdyke_store_failures_total",
               "Calls that were refused, lost or unreadable.", store.failures);
  page.Counter("sassafrasdyke_store_listings_total", "Complete listings taken.",
               store.listings);
}

void AddExchange(Page& page, const ExchangeCounts& exchange) {
  page.Counter("sassafrasdyke_digests_sent_total", "Digests sent to instances.",
               exchange.digests_sent);
  page.Counter("sassafrasdyke_digest_bytes_sent_total",
               "Bytes of digests sent to instances.",
               exchange.digest_bytes_sent);
  page.Counter("sassafrasdyke_digests_taken_total",
               "Digests taken from instances.", exchange.digests_taken);
  page.Counter("sassafrasdyke_digests_unreadable_total",
               "Datagrams from peers' ports that are no digest.",
               exchange.unreadable);
  page.Counter("sassafrasdyke_digests_too_long_total",
               "Digests that no datagram holds, not sent.", exchange.too_long);
  page.Counter("sassafrasdyke_copies_asked_total",
               "Views asked for from instances.", exchange.pulls);
  page.Counter("sassafrasdyke_copies_failed_total",
               "Views that were asked for and didn't come.",
               exchange.pull_failures);
  page.Counter("sassafrasdyke_views_replaced_total",
               "Full copies asked for, as the own view differed from those of "
               "peers at the same revision.",
               exchange.replacements);
  page.Counter("sassafrasdyke_copies_put_off_total",
               "Instances that asked for a view and were sent to another.",
               exchange.copies_put_off);
  page.Counter("sassafrasdyke_copies_given_total", "Views given to instances.",
               exchange.copies_given);
  page.Counter("sassafrasdyke_copy_bytes_given_total",
               "Packed bytes of views given to instances.",
               exchange.copy_bytes_given);
}

void AddView(Page& page, const FrontState& state) {
  page.Gauge("sassafrasdyke_configuration_version",
             "Version of the configuration in force.",
             static_cast<double>(state.configuration));
  page.Gauge("sassafrasdyke_view_revision",
             "Revision up to which every change is known.",
             static_cast<double>(state.revision));
  if (state.view_age) {
    page.Gauge("sassafrasdyke_view_age_seconds",
               "Since the store last confirmed the view to anyone.",
               Seconds(*state.view_age));
  }
  page.Gauge("sassafrasdyke_targets_serving", "Targets that take new flows.",
             static_cast<double>(state.targets_serving));
  page.Gauge("sassafrasdyke_evacuated_domains",
             "Failure domains whose targets get no new flows.",
             static_cast<double>(state.evacuated_domains));
  page.Gauge("sassafrasdyke_targets_warming_up",
             "Published targets that have just started and are cold.",
             static_cast<double>(state.targets_cold));
  page.Gauges("sassafrasdyke_targets_by_health",
              "Targets that take new flows, by their state of health.",
              state.targets_by_health);
  page.Gauge("sassafrasdyke_routes", "Routes in force.",
             static_cast<double>(state.routes));
  page.Gauge("sassafrasdyke_members", "Other instances that are known.",
             static_cast<double>(state.members));
  page.Gauge("sassafrasdyke_reads_store", "1 while this instance reads itself.",
             state.reads_store ? 1 : 0);
  page.Gauge("sassafrasdyke_ready", "1 while routers are told to send here.",
             state.ready ? 1 : 0);
  page.Gauge("sassafrasdyke_openings", "Flows that are being opened.",
             static_cast<double>(state.openings));
  page.Gauge("sassafrasdyke_openings_waiting", "SYNs that are held back now.",
             static_cast<double>(state.openings_waiting));
  page.ByRank("sassafrasdyke_openings_waiting_by_rank",
              "SYNs that are held back now, by priority.", MetricType::Gauge,
              state.openings_waiting_by_rank);
  page.ByRank("sassafrasdyke_openings_refused_total",
              "SYNs refused as overloaded, by priority.", MetricType::Counter,
              state.openings_refused_by_rank);
  page.Gauge("sassafrasdyke_remembered_flows",
             "Open flows whose clients would be told of their target's end.",
             static_cast<double>(state.remembered_flows));
}

void AddLoad(Page& page, const FrontState& state) {
  if (state.domain_loads.empty()) {
    return;
  }
  page.GaugeByDomain("sassafrasdyke_domain_concurrency",
                     "Requests at a domain's targets at once, of all callers.",
                     state.domain_loads, [](const DomainGauges& domain) {
                       return domain.load.concurrency;
                     });
  page.GaugeByDomain("sassafrasdyke_domain_slots",
                     "Slots of a domain's targets that take new flows.",
                     state.domain_loads, [](const DomainGauges& domain) {
                       return static_cast<double>(domain.slots);
                     });
  page.GaugeByDomain(
      "sassafrasdyke_domain_requests_per_second",
      "Requests per second to a domain's targets, of all callers.",
      state.domain_loads,
      [](const DomainGauges& domain) { return domain.load.requests_per_s; });
  page.GaugeByDomain("sassafrasdyke_domain_reachable",
                     "1 while instances of the domain are heard of.",
                     state.domain_loads, [](const DomainGauges& domain) {
                       return domain.load.reachable ? 1.0 : 0.0;
                     });
  page.GaugeByDomain(
      "sassafrasdyke_load_age_seconds",
      "Age of the report of the domain's instances.", state.domain_loads,
      [](const DomainGauges& domain) { return Seconds(domain.load.age); });
  page.Counter("sassafrasdyke_load_reports_invalid_total",
               "Load reports with impossible values or unreadable.",
               state.invalid_load_reports);
}

}  // namespace

FrontMetrics::FrontMetrics()
    : batch(kBatchBounds),
      applied(kApplyBounds),
      view_age(kAgeBounds),
      change_delay(kChangeDelayBounds) {}

void FrontMetrics::OnDecision(const core::SteeringAction& action) {
  if (const auto* to = std::get_if<core::SendToTarget>(&action)) {
    ++this->sent[Word(to->reason)];
  } else if (const auto* refusal = std::get_if<core::Refuse>(&action)) {
    ++this->refused[Word(refusal->reason)];
  } else if (std::holds_alternative<core::HoldBack>(action)) {
    ++this->held;
  } else {
    ++this->dropped[Word(std::get<core::SilentDrop>(action).reason)];
  }
}

void FrontMetrics::OnProbe(core::ProbeOutcome outcome) {
  ++this->probes[Word(outcome)];
}

void FrontMetrics::OnBatch(std::chrono::nanoseconds took) {
  this->batch.Observe(Seconds(took));
}

void FrontMetrics::OnApplied(std::chrono::nanoseconds took) {
  this->applied.Observe(Seconds(took));
}

void FrontMetrics::OnViewUsed(std::chrono::milliseconds age) {
  this->view_age.Observe(Seconds(age));
}

void FrontMetrics::OnChangesTaken(std::chrono::milliseconds unconfirmed) {
  this->change_delay.Observe(Seconds(unconfirmed));
}

std::string FrontMetrics::Text(const FrontState& state) const {
  Page page;
  page.Counters("sassafrasdyke_packets_sent_total",
                "Packets sent to a target, by why it went there.", this->sent);
  page.Counters("sassafrasdyke_resets_total",
                "Resets sent to clients, by reason.", this->refused);
  page.Counters("sassafrasdyke_packets_dropped_total",
                "Packets dropped in silence, by reason.", this->dropped);
  page.Counter("sassafrasdyke_openings_held_total",
               "SYNs held back until a target had room.", this->held);
  page.Counters("sassafrasdyke_probes_total",
                "Trial connections to targets, by outcome.", this->probes);
  page.Counter("sassafrasdyke_pauses_total",
               "Times that the process noticed that it had stood still.",
               this->pauses);
  page.Histogram("sassafrasdyke_batch_seconds",
                 "Time to take, decide and send one batch of packets.",
                 this->batch);
  page.Histogram("sassafrasdyke_apply_seconds",
                 "Time to put one answer of the store into force.",
                 this->applied);
  page.Histogram("sassafrasdyke_view_age_used_seconds",
                 "Age of the view when a new flow was placed or refused.",
                 this->view_age);
  page.Histogram("sassafrasdyke_change_delay_seconds",
                 "Age of the view just before changes of it were taken: they "
                 "were published at most so long ago.",
                 this->change_delay);
  AddTraffic(page, state.port);
  AddStore(page, state.store);
  AddExchange(page, state.exchange);
  AddView(page, state);
  AddLoad(page, state);
  page.Counter("sassafrasdyke_log_written_total", "Log lines written.",
               state.lines_written);
  page.Counter("sassafrasdyke_log_left_out_total",
               "Log lines beyond their budget or without a reader.",
               state.lines_left_out);
  return page.Text();
}

}  // namespace sassafrasdyke::front
