/// What `front` needs for control at the size to design for: heap for each
/// remembered flow and waiting opening, heap and time of a change of the whole
/// configuration, and time and bytes of a digest among 810 instances.
///
/// Ends with the ratios that bound regressions; fails when one is exceeded.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <new>
#include <string>
#include <vector>

#include "core/load/load_board.h"
#include "core/load/load_meter.h"
#include "core/roster/peer_sync.h"
#include "core/steering/flow_memory.h"
#include "core/steering/pending_requests.h"
#include "core/steering/syn_queue.h"
#include "core/view/live_view.h"
#include "front/observation_codec.h"
#include "front/peer_codec.h"
#include "platform/store_codec.h"

namespace {

/// Heap in use, in bytes, and its highest value since a benchmark last set it.
std::size_t heap_in_use = 0;
std::size_t heap_peak = 0;

}  // namespace

// Counts what the allocator gave, with its rounding; peaks show nowhere else.
void* operator new(std::size_t size) {
  void* const given = std::malloc(size);
  if (given == nullptr) {
    std::abort();
  }
  heap_in_use += malloc_usable_size(given);
  heap_peak = std::max(heap_peak, heap_in_use);
  return given;
}
void operator delete(void* given) noexcept {
  heap_in_use -= malloc_usable_size(given);
  std::free(given);
}
void operator delete(void* given, std::size_t /*size*/) noexcept {
  operator delete(given);
}

namespace sassafrasdyke {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::uint32_t kTargets = 7900;
constexpr std::uint32_t kRoutes = 420;
constexpr std::uint32_t kInstances = 810;
constexpr std::uint32_t kDomains = 7;
constexpr std::uint32_t kFlows = 33'000;
constexpr std::uint32_t kWaiting = 1000;

/// What an instance may hold at most while it takes a configuration, beyond
/// what it held before, to the new text: the routes, a second table, and the
/// rest for a route that is being read. The text itself replaces the old one.
/// 8.9 when the text was copied and parsed as a tree, 0.83 since.
constexpr double kMostConfigurationHeap = 3.0;
/// A digest is one datagram that every link carries whole.
constexpr double kMostDigestBytes = 1400.0;

double most_configuration_heap = 0;
double digest_bytes = 0;
double observation_bytes = 0;

bool Holds(const std::string& what, double value, double most) {
  const bool holds = value <= most;
  std::cout << (holds ? "within " : "EXCEEDED ") << what << ": " << value
            << " of at most " << most << "\n";
  return holds;
}

common::FlowKey FlowOf(std::uint32_t i) {
  return {{common::IpAddress::FromV4(0x64400000U + (i >> 8U)),
           static_cast<std::uint16_t>(1024 + (i & 0xFFU))},
          *common::Endpoint::Parse("198.18.0.1:443")};
}

core::FlowPacket PacketOf(std::uint32_t i) {
  core::FlowPacket packet;
  packet.flow = FlowOf(i);
  packet.flags.ack = true;
  packet.payload_bytes = 100;
  return packet;
}

std::string AddressOf(std::uint32_t i) {
  return "10." + std::to_string(i >> 16U) + "." +
         std::to_string(i >> 8U & 0xFFU) + "." + std::to_string(i & 0xFFU);
}

common::Endpoint PeerOf(std::uint32_t i) {
  return {common::IpAddress::FromV4(0x0A000000U + i), 7720};
}

std::string DomainOf(std::uint32_t i) {
  return "zone-" + std::to_string(i % kDomains);
}

std::string ConfigurationText(std::uint64_t version, std::uint32_t routes) {
  std::string text = R"({"version":)" + std::to_string(version) +
                     R"(,"services":[],"limits":{},"routes":[)";
  for (std::uint32_t i = 0; i < routes; ++i) {
    text += (i == 0 ? "" : ",") + std::string(R"({"host":"198.18.)") +
            std::to_string(i >> 8U) + "." + std::to_string(i & 0xFFU) +
            R"(","prefix":"/8443/","service":"service-)" + std::to_string(i) +
            R"(","type":"safe","timeout-ms":2500,"aim-ms":150,)" +
            R"("priority":2,"max-attempts":3})";
  }
  text += "]}";
  text.shrink_to_fit();  // As decoded texts are.
  return text;
}

core::Item TargetItem(std::uint32_t i) {
  char id[16];
  std::snprintf(id, sizeof(id), "i-%010x", i + 1);
  return {"target/" + std::string(id),
          {i + 1},
          R"({"service":"service-)" + std::to_string(i % kRoutes) +
              R"(","address":")" + AddressOf(i) + R"(:8748","zone":")" +
              DomainOf(i) +
              R"(","version":"v1","max-concurrency":2,"state":"ready",)" +
              R"("warmup-left-ms":0,"sequence":7,"born":1792380018746})"};
}

/// A view of the whole fleet.
struct View {
  explicit View(std::uint32_t routes = kRoutes) : view(this->codec, 60s) {
    std::vector<core::Item> items;
    for (std::uint32_t i = 0; i < kTargets; ++i) {
      items.push_back(TargetItem(i));
    }
    items.push_back(
        {"configuration", {kTargets + 1}, ConfigurationText(1, routes)});
    this->view.Contact().OnAnswer(0ms);
    this->view.OnListing(std::move(items), {kTargets + 1}, 0ms);
  }

  platform::StoreCodec codec;
  core::LiveView view;
};

/// An instance that knows all 810.
struct Member {
  Member()
      : sync({PeerOf(0), DomainOf(0)}, {PeerOf(1), PeerOf(2), PeerOf(3)},
             this->view.view, core::SyncLimits{}, 1) {
    for (std::uint32_t i = 1; i < kInstances; ++i) {
      this->sync.OnDigest(this->DigestOf(i, 0ms), 0ms);
    }
  }

  core::PeerDigest DigestOf(std::uint32_t i, milliseconds age) const {
    core::PeerDigest digest;
    digest.sender = PeerOf(i);
    digest.domain = DomainOf(i);
    digest.view = {this->view.view.Items().Complete(), age, std::nullopt};
    for (std::uint32_t n = 0; n < 7; ++n) {
      const std::uint32_t other = (i + kDomains * (n + 1)) % kInstances;
      digest.known.push_back({PeerOf(other), DomainOf(other), 1000ms});
    }
    return digest;
  }

  View view;
  core::PeerSync sync;
};

void HeapOfRememberedFlows(benchmark::State& state) {
  while (state.KeepRunning()) {
    const std::size_t before = heap_in_use;
    core::FlowMemory memory(60s);
    for (std::uint32_t i = 0; i < kFlows; ++i) {
      memory.OnForwarded(PacketOf(i), {i % kTargets}, 0ms);
    }
    state.counters["bytes_each"] =
        static_cast<double>(heap_in_use - before) / kFlows;
  }
}
BENCHMARK(HeapOfRememberedFlows)->Unit(benchmark::kMillisecond);

void HeapOfHeldOpenings(benchmark::State& state) {
  const std::vector<std::uint8_t> bytes(32);
  while (state.KeepRunning()) {
    const std::size_t before = heap_in_use;
    core::SynQueue held;
    for (std::uint32_t i = 0; i < kWaiting; ++i) {
      held.Hold(PacketOf(i), bytes, 0ms);
    }
    state.counters["bytes_each"] =
        static_cast<double>(heap_in_use - before) / kWaiting;
  }
}
BENCHMARK(HeapOfHeldOpenings)->Unit(benchmark::kMillisecond);

void HeapOfPendingRequests(benchmark::State& state) {
  while (state.KeepRunning()) {
    const std::size_t before = heap_in_use;
    core::PendingRequests pending;
    for (std::uint32_t i = 0; i < kWaiting; ++i) {
      pending.OnPlaced(FlowOf(i), {i % kTargets}, 0ms);
    }
    state.counters["bytes_each"] =
        static_cast<double>(heap_in_use - before) / kWaiting;
  }
}
BENCHMARK(HeapOfPendingRequests)->Unit(benchmark::kMillisecond);

void HeapOfTheView(benchmark::State& state) {
  while (state.KeepRunning()) {
    const std::size_t before = heap_in_use;
    const View view;
    state.counters["MB"] = static_cast<double>(heap_in_use - before) / 1e6;
  }
}
BENCHMARK(HeapOfTheView)->Unit(benchmark::kMillisecond);

/// A configuration of `range` routes replaces one of the same size, at 7,900
/// targets.
void NewConfiguration(benchmark::State& state) {
  const auto routes = static_cast<std::uint32_t>(state.range(0));
  View view(routes);
  std::uint64_t version = 1;
  double heap = 0;
  while (state.KeepRunning()) {
    state.PauseTiming();
    ++version;
    std::string text = ConfigurationText(version, routes);
    const auto size = static_cast<double>(text.size());
    const std::size_t before = heap_in_use;
    heap_peak = heap_in_use;
    core::ChangeBatch batch;
    batch.at = {kTargets + version};
    batch.changes.push_back({"configuration", batch.at, std::move(text)});
    state.ResumeTiming();
    view.view.OnChanges(std::move(batch), 10ms);
    heap = static_cast<double>(heap_peak - before) / size;
    state.counters["peak_to_text"] = heap;
  }
  most_configuration_heap = std::max(most_configuration_heap, heap);
}
BENCHMARK(NewConfiguration)->Arg(420)->Arg(1680)->Unit(benchmark::kMillisecond);

/// One target's entry changes.
void NewTargetEntry(benchmark::State& state) {
  View view;
  std::uint64_t revision = kTargets + 1;
  while (state.KeepRunning()) {
    core::Item item =
        TargetItem(static_cast<std::uint32_t>(revision) % kTargets);
    item.revision = {++revision};
    view.view.OnChanges({{std::move(item)}, {revision}}, 10ms);
    benchmark::DoNotOptimize(view.view.TakeChanges());
  }
}
BENCHMARK(NewTargetEntry)->Unit(benchmark::kMicrosecond);

void DigestTaken(benchmark::State& state) {
  Member member;
  const std::vector<std::uint8_t> bytes =
      front::EncodeDigest(member.DigestOf(7, 100ms));
  milliseconds now = 100ms;
  while (state.KeepRunning()) {
    const auto digest = front::DecodeDigest(bytes);
    benchmark::DoNotOptimize(member.sync.OnDigest(*digest, now));
  }
  digest_bytes = static_cast<double>(bytes.size());
  state.counters["bytes"] = digest_bytes;
}
BENCHMARK(DigestTaken)->Unit(benchmark::kMicrosecond);

/// Ten of these a second; one of them greets two members.
void Tick(benchmark::State& state) {
  Member member;
  milliseconds now = 100ms;
  while (state.KeepRunning()) {
    now += 100ms;
    member.view.view.Contact().OnAnswer(now);
    for (const core::DigestOut& out : member.sync.OnTick(now).digests) {
      benchmark::DoNotOptimize(front::EncodeDigest(out.digest));
    }
    benchmark::DoNotOptimize(member.sync.ShouldRead(now));
    if (now.count() % 4000 == 0) {
      state.PauseTiming();  // So that nobody is forgotten.
      for (std::uint32_t i = 1; i < kInstances; ++i) {
        member.sync.OnDigest(member.DigestOf(i, 0ms), now);
      }
      state.ResumeTiming();
    }
  }
}
BENCHMARK(Tick)->Unit(benchmark::kMicrosecond);

/// The size of a fleet.
struct FleetSize {
  std::uint32_t instances;
  std::uint32_t domains;
};

FleetSize SizeOf(const benchmark::State& state) {
  return {static_cast<std::uint32_t>(state.range(0)),
          static_cast<std::uint32_t>(state.range(1))};
}

std::string FleetDomain(std::uint32_t i) { return "zone-" + std::to_string(i); }

/// Services of each instance; flows of each go to two domains.
constexpr std::uint32_t kServices = 4;

core::LoadReport LoadOf(const FleetSize& size, std::uint32_t domain) {
  core::LoadReport report;
  for (std::uint32_t i = 0; i < kServices; ++i) {
    for (std::uint32_t n = 0; n < 2; ++n) {
      report.entries.push_back(
          {core::ServiceKeyOf("service-" + std::to_string(i)),
           FleetDomain((domain + n) % size.domains), 31.7 / (n + 1),
           0.951 / (n + 1)});
    }
  }
  return report;
}

/// An instance that has heard reports of those who send it digests within 2.5
/// s: ten digests a second, half of them of the own domain.
struct LoadMember {
  explicit LoadMember(const FleetSize& size)
      : size(size),
        meter(this->view.view.Targets()),
        board(FleetDomain(0), this->meter) {
    for (std::uint32_t i = 0; i < 20; ++i) {
      this->board.OnObservations(PeerOf(i + 1), FleetDomain(0),
                                 this->Reports(0, 1ms), 1ms);
      this->board.OnObservations(
          PeerOf(i + 101), FleetDomain(1 + i % (size.domains - 1)),
          this->Reports(1 + i % (size.domains - 1), 1ms), 1ms);
    }
    this->board.OnTick(1ms, size.instances / size.domains);
  }

  core::PeerObservations Reports(std::uint32_t domain, milliseconds at) const {
    core::PeerObservations sent;
    sent.sent_at = at;
    sent.own = LoadOf(this->size, domain);
    sent.domains = {{FleetDomain(domain),
                     this->size.instances / this->size.domains, 20, 80ms,
                     LoadOf(this->size, domain)}};
    return sent;
  }

  FleetSize size;
  View view{1};
  core::LoadMeter meter;
  core::LoadBoard board;
};

/// The observations of a digest: what the board adds, and encoding them.
void ObservationsSent(benchmark::State& state) {
  LoadMember member(SizeOf(state));
  std::size_t bytes = 0;
  while (state.KeepRunning()) {
    core::PeerObservations sent;
    member.board.Append(sent, 1ms);
    sent.own = LoadOf(member.size, 0);
    bytes = front::EncodeObservations(sent).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
  observation_bytes = std::max(observation_bytes, static_cast<double>(bytes));
}

void ObservationsTaken(benchmark::State& state) {
  LoadMember member(SizeOf(state));
  core::PeerObservations sent;
  member.board.Append(sent, 1ms);
  sent.own = LoadOf(member.size, 0);
  const std::string text = front::EncodeObservations(sent);
  milliseconds now = 1ms;
  while (state.KeepRunning()) {
    auto read = front::DecodeObservations(text);
    read->sent_at = ++now;
    member.board.OnObservations(PeerOf(1), FleetDomain(0), *read, 2ms);
  }
}

void LoadTick(benchmark::State& state) {
  LoadMember member(SizeOf(state));
  while (state.KeepRunning()) {
    member.board.OnTick(2ms, member.size.instances / member.size.domains);
  }
}

/// A packet that the meter counts.
void RequestMeasured(benchmark::State& state) {
  LoadMember member({130, 3});
  std::uint32_t i = 0;
  while (state.KeepRunning()) {
    member.meter.OnRequest({1 + ++i % 40}, 1ms);
    member.meter.OnAnswer({1 + i % 40}, {0ms, 30ms, 0ms}, 1ms);
  }
}
BENCHMARK(RequestMeasured)->Unit(benchmark::kNanosecond);

void FleetSizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->Args({130, 3})->Args({300, 7})->Args({810, 7});
  benchmark->Unit(benchmark::kMicrosecond);
}
BENCHMARK(ObservationsSent)->Apply(FleetSizes);
BENCHMARK(ObservationsTaken)->Apply(FleetSizes);
BENCHMARK(LoadTick)->Apply(FleetSizes);

/// The digests that an instance of the fleet sends in ten seconds in rest, with
/// a board that knows the load of each domain.
void DigestsAtRest(benchmark::State& state) {
  const FleetSize size = SizeOf(state);
  LoadMember member(size);
  core::PeerSync sync({PeerOf(0), FleetDomain(0)}, {PeerOf(1), PeerOf(2)},
                      member.view.view, core::SyncLimits{}, 1, {&member.board});
  for (std::uint32_t i = 1; i < size.instances; ++i) {
    core::PeerDigest digest;
    digest.sender = PeerOf(i);
    digest.domain = FleetDomain(i % size.domains);
    digest.view = {member.view.view.Items().Complete(), 100ms, std::nullopt};
    digest.observations = member.Reports(i % size.domains, 1ms);
    sync.OnDigest(digest, 1ms);
  }
  while (state.KeepRunning()) {
    std::size_t bytes = 0;
    for (milliseconds now = 100ms; now <= 10s; now += 100ms) {
      member.view.view.Contact().OnAnswer(now);
      // Keeps the reports as they are: the board's clock stands still.
      for (core::DigestOut& out : sync.OnTick(now).digests) {
        out.digest.observations = {};
        member.board.Append(out.digest.observations, 1ms);
        out.digest.observations.own = LoadOf(size, 0);
        bytes += front::EncodeDigest(out.digest).size();
      }
    }
    state.counters["bytes_per_s"] = static_cast<double>(bytes) / 10;
  }
}
BENCHMARK(DigestsAtRest)
    ->Apply(FleetSizes)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

bool AllHold() {
  const bool heap = Holds("heap of a new configuration, to its text",
                          most_configuration_heap, kMostConfigurationHeap);
  const bool bytes = Holds("bytes of a digest", digest_bytes, kMostDigestBytes);
  const bool observations =
      Holds("bytes of the observations of a digest", observation_bytes,
            static_cast<double>(front::kMaxObservationBytes));
  return heap && bytes && observations;
}

}  // namespace
}  // namespace sassafrasdyke

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return sassafrasdyke::AllHold() ? EXIT_SUCCESS : EXIT_FAILURE;
}
