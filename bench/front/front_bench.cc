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

#include "core/roster/peer_sync.h"
#include "core/steering/flow_memory.h"
#include "core/steering/pending_requests.h"
#include "core/steering/syn_queue.h"
#include "core/view/live_view.h"
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

bool AllHold() {
  const bool heap = Holds("heap of a new configuration, to its text",
                          most_configuration_heap, kMostConfigurationHeap);
  const bool bytes = Holds("bytes of a digest", digest_bytes, kMostDigestBytes);
  return heap && bytes;
}

}  // namespace
}  // namespace sassafrasdyke

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return sassafrasdyke::AllHold() ? EXIT_SUCCESS : EXIT_FAILURE;
}
