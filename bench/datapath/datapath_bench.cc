/// Measures what one packet costs in the data path, step by step, without
/// sockets. Compare lines of one run; machines differ.
#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/balancer.h"
#include "core/configuration.h"
#include "datapath/gue.h"
#include "datapath/ip_packet.h"
#include "datapath/packet_handler.h"
#include "datapath/packets.h"
#include "datapath/reset_packet.h"

namespace sassafrasdyke::datapath {
namespace {

constexpr std::uint32_t kTargets = 14;
constexpr common::InstanceId kSelf{1};
constexpr common::DomainId kDomain{1};
constexpr std::chrono::milliseconds kNow{1000};
/// Packets handled by one call, as from one recvmmsg.
constexpr std::size_t kPackets = kBatch;

Family FamilyOf(const benchmark::State& state) {
  return state.range(0) == 4 ? Family::kV4 : Family::kV6;
}

SegmentPlan DataPlan(Family family) {
  return {.family = family,
          .flags = Tins::TCP::ACK,
          .sequence = 1001,
          .acknowledgement = 1,
          .payload = std::string(64, 'x')};
}

/// One service of the family under test with the targets of today's size.
std::shared_ptr<const core::Configuration> MakeConfiguration(Family family) {
  core::Configuration configuration;
  configuration.revision = {1};
  configuration.domains.push_back({kDomain, "north-1", "north"});
  core::Service service;
  service.id = {1};
  service.address = {*common::IpAddress::Parse(ServiceOf(family)),
                     kServicePort};
  configuration.services.push_back(service);
  for (std::uint32_t id = 1; id <= kTargets; ++id) {
    core::Target target;
    target.id = {id};
    target.service = {1};
    target.domain = kDomain;
    target.tunnel = {common::IpAddress::FromV4(0x7F010000 + id), 6080};
    configuration.targets.push_back(target);
  }
  return std::make_shared<const core::Configuration>(configuration);
}

/// A balancer that owns everything, with its handler.
struct Bench {
  explicit Bench(Family family) {
    core::FleetView view;
    view.self = kSelf;
    view.domain = kDomain;
    core::InstanceView self;
    self.id = kSelf;
    self.domain = kDomain;
    self.tunnel = *common::Endpoint::Parse("127.0.1.1:6080");
    view.instances.push_back(self);
    this->handler.OnFleetView(view);
    this->balancer->OnConfiguration(MakeConfiguration(family), kNow,
                                    this->outbox);
    this->balancer->OnFleetView(view, kNow, this->outbox);
  }

  /// A batch of one flow's packets, each wrapped as the fabric wraps it.
  void Fill(const Bytes& inner) {
    const GueHeader header = EncodeForTarget(inner);
    this->datagram.assign(header.View().begin(), header.View().end());
    this->datagram.insert(this->datagram.end(), inner.begin(), inner.end());
    this->batch.assign(kPackets, {*common::Endpoint::Parse("127.0.0.1:6000"),
                                  this->datagram, false});
  }

  void Handle() {
    benchmark::DoNotOptimize(
        this->handler.Handle(this->batch, kNow, this->outbox).data());
    this->outbox.decisions.clear();
    this->outbox.messages.clear();
  }

  std::unique_ptr<core::Balancer> balancer = core::MakeBalancer(kSelf, {1});
  PacketHandler handler{kSelf, *this->balancer,
                        *common::Endpoint::Parse("127.0.0.1:6000")};
  core::Outbox outbox;
  Bytes datagram;
  std::vector<IncomingDatagram> batch;
};

void CountPackets(benchmark::State& state, std::size_t per_iteration) {
  state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) *
                          static_cast<std::int64_t>(per_iteration));
}

/// Unwrapping and reading the segment.
void ReadPacket(benchmark::State& state) {
  Bench bench(FamilyOf(state));
  bench.Fill(Serialize(DataPlan(FamilyOf(state))));
  for (auto _ : state) {
    const auto unwrapped = DecodeGue(bench.datagram);
    benchmark::DoNotOptimize(ReadSegment(unwrapped->inner));
  }
  CountPackets(state, 1);
}
BENCHMARK(ReadPacket)->Arg(4)->Arg(6);

/// The decision about a packet of a known flow.
void DecideKnown(benchmark::State& state) {
  const Family family = FamilyOf(state);
  Bench bench(family);
  bench.Fill(Serialize({.family = family, .sequence = 1000}));
  bench.Handle();
  const auto segment = ReadSegment(Serialize(DataPlan(family)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        bench.balancer->OnPacket(*segment, kNow, bench.outbox));
  }
  CountPackets(state, 1);
}
BENCHMARK(DecideKnown)->Arg(4)->Arg(6);

/// All of it but the system calls: unwrap, read, decide, wrap.
void HandleKnown(benchmark::State& state) {
  const Family family = FamilyOf(state);
  Bench bench(family);
  bench.Fill(Serialize({.family = family, .sequence = 1000}));
  bench.Handle();
  bench.Fill(Serialize(DataPlan(family)));
  for (auto _ : state) {
    bench.Handle();
  }
  CountPackets(state, kPackets);
}
BENCHMARK(HandleKnown)->Arg(4)->Arg(6);

/// The same for packets that are dropped as no segment.
void HandleFaulty(benchmark::State& state) {
  const Family family = FamilyOf(state);
  Bench bench(family);
  Bytes cut = Serialize(DataPlan(family));
  cut.pop_back();
  bench.Fill(cut);
  for (auto _ : state) {
    bench.Handle();
  }
  CountPackets(state, kPackets);
}
BENCHMARK(HandleFaulty)->Arg(4)->Arg(6);

/// Building one RST.
void Reset(benchmark::State& state) {
  const auto segment = ReadSegment(Serialize(DataPlan(FamilyOf(state))));
  for (auto _ : state) {
    benchmark::DoNotOptimize(BuildReset(*segment));
  }
  CountPackets(state, 1);
}
BENCHMARK(Reset)->Arg(4)->Arg(6);

/// A round through the kernel: send a batch to itself and take it.
void Sockets(benchmark::State& state) {
  auto socket = TunnelSocket::Open(*common::Endpoint::Parse("127.0.0.1:0"));
  const Bytes inner = Serialize(DataPlan(Family::kV4));
  const std::vector<OutgoingDatagram> batch(
      kPackets, {(*socket)->Local(), EncodeForTarget(inner), inner});
  for (auto _ : state) {
    (*socket)->Send(batch);
    benchmark::DoNotOptimize((*socket)->Receive().data());
  }
  CountPackets(state, kPackets);
}
BENCHMARK(Sockets);

}  // namespace
}  // namespace sassafrasdyke::datapath

BENCHMARK_MAIN();
