/// Measures what the fleet side of the core costs and how fast changes spread:
/// N cores in one process, simulated time, messages in flight. Writes CSV.
///
/// Bytes are those of the peer codec's MessagePack bodies with the header of an
/// HTTP/2 frame and our own length; TLS, TCP and IP headers are not in them.
/// Processor time is that of the calls into the core; sockets, codec, TLS and
/// the reading of JSON are not in it. A lost message is lost for good, while a
/// real stream delivers it late.
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <string>
#include <vector>

#include "core/fleet/fleet_network.h"
#include "peer/peer_codec.h"

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 11;
constexpr int kChanges = 20;
constexpr int kDailyChanges = 2;
/// 1,700 changes a day.
constexpr milliseconds kDailyInterval{50'824};
constexpr milliseconds kSecond{1000};
constexpr milliseconds kRest{30'000};
constexpr milliseconds kLongestRestart{20'000};
constexpr milliseconds kStep{100};
constexpr std::size_t kPercentile99 = 99;
constexpr std::size_t kPercent = 100;

/// One fleet to measure.
struct BenchCase {
  std::uint32_t instances{0};
  std::uint32_t domains{1};
  std::uint32_t targets{0};
  LinkShape links;
  std::uint32_t watchers{FleetPolicy{}.watchers};
  std::uint32_t readers{FleetPolicy{}.readers_per_domain};
};

/// Counters at one moment, summed over all instances.
struct Snapshot {
  milliseconds at{0};
  std::uint64_t bytes{0};
  std::uint64_t messages{0};
  std::uint64_t dropped{0};
  std::chrono::nanoseconds cpu{0};
  std::uint64_t reads{0};
};

/// Times until changes were in force, one for each instance and change.
struct SpreadTimes {
  std::vector<milliseconds> times;
  std::uint64_t missing{0};
};

std::chrono::nanoseconds ThreadCpu() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

/// Header of a DATA frame and the length before each message.
constexpr std::size_t kFrameBytes = 9 + 4;

std::size_t BytesOnStream(const PeerMessage& message) {
  return peer::Encode(message).size() + kFrameBytes;
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

Snapshot Take(FleetNetwork& network) {
  Snapshot now;
  now.at = network.Now();
  now.reads = network.PlatformReads();
  for (const auto& [id, fleet] : network.All()) {
    now.bytes += fleet.bytes_sent;
    now.messages += fleet.messages_sent;
    now.cpu += fleet.cpu;
    now.dropped += DroppedOf(fleet);
  }
  return now;
}

void PrintHeader() {
  std::puts(
      "scenario,seconds,instances,domains,targets,watchers,readers,"
      "loss_between_percent,"
      "delay_between_ms,median_ms,p99_ms,worst_ms,missing,"
      "bytes_per_second,messages_per_second,cpu_us_per_second,dropped,"
      "platform_reads_per_second,memory_bytes");
}

milliseconds AtShare(const std::vector<milliseconds>& sorted,
                     std::size_t percent) {
  if (sorted.empty()) {
    return milliseconds{0};
  }
  return sorted[(sorted.size() - 1) * percent / kPercent];
}

void PrintRow(const char* scenario, const BenchCase& bench,
              const Snapshot& before, const Snapshot& after, SpreadTimes spread,
              double memory) {
  constexpr double kMicro = 1e-3;
  const double seconds =
      std::chrono::duration<double>(after.at - before.at).count();
  const double share = seconds * bench.instances;
  std::sort(spread.times.begin(), spread.times.end());
  std::printf(
      "%s,%.1f,%u,%u,%u,%u,%u,%u,%lld,%lld,%lld,%lld,%llu,%.0f,%.1f,%.1f,%llu,%"
      ".2f,%"
      ".0f\n",
      scenario, seconds, bench.instances, bench.domains, bench.targets,
      bench.watchers, bench.readers, bench.links.loss_between_percent,
      static_cast<long long>(bench.links.delay_between.count()),
      static_cast<long long>(AtShare(spread.times, kPercent / 2).count()),
      static_cast<long long>(AtShare(spread.times, kPercentile99).count()),
      static_cast<long long>(AtShare(spread.times, kPercent).count()),
      static_cast<unsigned long long>(spread.missing),
      static_cast<double>(after.bytes - before.bytes) / share,
      static_cast<double>(after.messages - before.messages) / share,
      static_cast<double>((after.cpu - before.cpu).count()) * kMicro / share,
      static_cast<unsigned long long>(after.dropped - before.dropped),
      static_cast<double>(after.reads - before.reads) / seconds, memory);
  std::fflush(stdout);
}

/// Adds when `revision`, published at `published`, came into force everywhere.
void AddTimes(FleetNetwork& network, std::uint64_t revision,
              milliseconds published, SpreadTimes& spread) {
  for (const auto& [id, fleet] : network.All()) {
    const auto found =
        std::find_if(fleet.in_force.begin(), fleet.in_force.end(),
                     [revision](const InForce& in_force) {
                       return in_force.revision >= revision;
                     });
    if (found == fleet.in_force.end()) {
      ++spread.missing;
    } else {
      spread.times.push_back(found->at - published);
    }
  }
}

/// Publishes `count` changes of one target each, `interval` apart.
SpreadTimes Change(FleetNetwork& network, const Document& base,
                   std::uint64_t first_revision, int count,
                   milliseconds interval) {
  std::vector<milliseconds> published;
  for (int change = 0; change < count; ++change) {
    const std::uint64_t revision =
        first_revision + static_cast<std::uint64_t>(change);
    const DocumentEntry& entry = base.entries[revision % base.entries.size()];
    published.push_back(network.Now());
    network.Publish(WithEntry(base, revision, entry.path,
                              entry.body + " " + std::to_string(revision)));
    network.RunFor(interval);
  }
  SpreadTimes spread;
  for (int change = 0; change < count; ++change) {
    AddTimes(network, first_revision + static_cast<std::uint64_t>(change),
             published[static_cast<std::size_t>(change)], spread);
  }
  return spread;
}

/// Stops a quarter of the instances at once and starts them again together.
SpreadTimes RestartQuarter(FleetNetwork& network, std::uint64_t revision) {
  std::vector<SampleInstance> restarted;
  for (const auto& [id, fleet] : network.All()) {
    if (id % 4 == 0) {
      SampleInstance next = fleet.identity;
      ++next.incarnation;
      restarted.push_back(next);
    }
  }
  const milliseconds started = network.Now();
  for (const SampleInstance& instance : restarted) {
    network.Kill(instance.id);
    network.Start(instance);
  }
  while (!network.InForceEverywhere(revision) &&
         network.Now() - started < kLongestRestart) {
    network.RunFor(kStep);
  }
  SpreadTimes spread;
  for (const SampleInstance& instance : restarted) {
    const RunningFleet& fleet = network.Of(instance.id);
    if (fleet.in_force.empty()) {
      ++spread.missing;
    } else {
      spread.times.push_back(fleet.in_force.back().at - started);
    }
  }
  return spread;
}

/// Kills the instance with `id` and waits until nobody counts it as an owner.
SpreadTimes Kill(FleetNetwork& network, std::uint32_t id) {
  const milliseconds killed = network.Now();
  network.Kill(id);
  SpreadTimes spread;
  while (!network.AllSee(id, InstanceUse::kSuspected)) {
    network.RunFor(kStep);
    if (network.Now() - killed > kLongestRestart) {
      ++spread.missing;
      return spread;
    }
  }
  spread.times.push_back(network.Now() - killed);
  return spread;
}

/// Leaves the platform to the first failure domain only.
SpreadTimes ChangeWithOneReadingDomain(FleetNetwork& network,
                                       const Document& base,
                                       std::uint64_t first_revision) {
  for (auto& [id, fleet] : network.All()) {
    fleet.platform_cut = fleet.identity.domain != 1;
  }
  network.RunFor(2 * kSecond);
  SpreadTimes spread = Change(network, base, first_revision, kChanges, kSecond);
  for (auto& [id, fleet] : network.All()) {
    fleet.platform_cut = false;
  }
  network.RunFor(2 * kSecond);
  return spread;
}

void Measure(const BenchCase& bench) {
  const std::size_t heap_before = HeapBytes();
  FleetNetwork network(kSeed, bench.links);
  network.MeasureCpu(ThreadCpu);
  network.MeasureBytes(BytesOnStream);
  network.Reader().policy.watchers = bench.watchers;
  network.Reader().policy.readers_per_domain = bench.readers;
  network.StartAll(SampleInstances(bench.instances, bench.domains),
                   bench.targets);
  network.RunFor(kSecond);
  const double memory = static_cast<double>(HeapBytes() - heap_before) /
                        static_cast<double>(bench.instances);
  const Document base = ConfigurationOf(1, bench.targets);

  Snapshot before = Take(network);
  network.RunFor(kRest);
  Snapshot after = Take(network);
  PrintRow("rest", bench, before, after, {}, memory);

  SpreadTimes spread = Change(network, base, 2, kChanges, kSecond);
  before = after;
  after = Take(network);
  PrintRow("each_second", bench, before, after, spread, memory);

  constexpr std::uint64_t kFirstDaily = 2 + kChanges;
  spread = Change(network, base, kFirstDaily, kDailyChanges, kDailyInterval);
  before = after;
  after = Take(network);
  PrintRow("daily", bench, before, after, spread, memory);

  constexpr std::uint64_t kFirstRelayed = kFirstDaily + kDailyChanges;
  if (bench.domains > 1) {
    before = Take(network);
    spread = ChangeWithOneReadingDomain(network, base, kFirstRelayed);
    PrintRow("one_domain_reads", bench, before, Take(network), spread, memory);
  }

  before = Take(network);
  const std::uint64_t newest =
      kFirstRelayed + (bench.domains > 1 ? kChanges : 0) - 1;
  spread = RestartQuarter(network, newest);
  PrintRow("restart", bench, before, Take(network), spread, memory);

  network.RunFor(kRest);
  if (bench.instances >= 2 * bench.domains) {
    before = Take(network);
    spread = Kill(network, 2);
    PrintRow("death", bench, before, Take(network), spread, memory);
  }
}

void MeasureAll(std::uint32_t least_instances, std::uint32_t most_instances) {
  constexpr std::uint32_t kFleets[] = {4, 8, 16, 32, 64, 116};
  constexpr std::uint32_t kTables[] = {18, 180, 1800, 7900};
  const LinkShape poor{.delay_between = milliseconds{20},
                       .loss_between_percent = 10};
  PrintHeader();
  for (const std::uint32_t instances : kFleets) {
    if (instances < least_instances || instances > most_instances) {
      continue;
    }
    for (const std::uint32_t targets : kTables) {
      Measure({instances, 1, targets, {}});
    }
    Measure({instances, 3, 180, poor});
  }
  // Few instances in each of many domains hold the most links each.
  constexpr std::uint32_t kMostLinked = 14;
  constexpr std::uint32_t kPlannedDomains = 7;
  if (least_instances <= kMostLinked && kMostLinked <= most_instances) {
    Measure({kMostLinked, kPlannedDomains, 180, poor});
  }
  constexpr std::uint32_t kPlanned = 810;
  if (most_instances >= kPlanned) {
    Measure({kPlanned, kPlannedDomains, 180, {}});
    Measure({kPlanned, kPlannedDomains, 180, poor});
    Measure({kPlanned, kPlannedDomains, 7900, {}});
  }
}

/// What other counts of watchers and readers would cost one large domain.
void MeasureChoices() {
  constexpr std::uint32_t kInstances = 116;
  constexpr std::uint32_t kTargets = 180;
  constexpr std::uint32_t kWatchers[] = {1, 2, 3, 5, 8, kInstances - 1};
  constexpr std::uint32_t kReaders[] = {1, 2, 3, kInstances};
  PrintHeader();
  for (const std::uint32_t watchers : kWatchers) {
    Measure({kInstances, 1, kTargets, {}, watchers});
  }
  for (const std::uint32_t readers : kReaders) {
    BenchCase bench{kInstances, 1, kTargets, {}};
    bench.readers = readers;
    Measure(bench);
  }
}

}  // namespace
}  // namespace sassafrasdyke::core

int main(int argc, char** argv) {
  try {
    cxxopts::Options options("fleet_bench",
                             "Measures the fleet side of the core.");
    options.add_options()("most", "Largest fleet to measure",
                          cxxopts::value<std::uint32_t>()->default_value("64"));
    options.add_options()("least", "Smallest fleet to measure",
                          cxxopts::value<std::uint32_t>()->default_value("4"));
    options.add_options()("choices",
                          "Measure other counts of watchers and readers");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("choices") > 0) {
      sassafrasdyke::core::MeasureChoices();
    } else {
      sassafrasdyke::core::MeasureAll(parsed["least"].as<std::uint32_t>(),
                                      parsed["most"].as<std::uint32_t>());
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fleet_bench: %s\n", error.what());
    return 2;
  }
}
