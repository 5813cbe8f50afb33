#include "app/metrics_publisher.h"

#include <algorithm>
#include <array>
#include <string>

#include "datapath/packet_fault.h"
#include "observe/words.h"

namespace sassafrasdyke::app {
namespace {

namespace metrics = observe::metrics;
using observe::Metrics;

void PublishSocket(Metrics& to, const datapath::SocketCounters& socket) {
  to.SetTotal(metrics::kReceived, socket.received);
  to.SetTotal(metrics::kSent, socket.sent);
  to.SetTotal(metrics::kIcmpErrors, socket.icmp_errors);
  to.SetTotal(metrics::kLost, socket.queue_full, "send-queue-full");
  to.SetTotal(metrics::kLost, socket.too_long, "too-long");
  to.SetTotal(metrics::kLost, socket.refused, "send-refused");
  to.SetTotal(metrics::kLost, socket.overflowed, "receive-queue-full");
}

void PublishPackets(Metrics& to, const datapath::PacketCounters& packets) {
  to.SetTotal(metrics::kPackets, packets.forwarded, "forward");
  to.SetTotal(metrics::kPackets, packets.redirected, "redirect");
  to.SetTotal(metrics::kPackets, packets.reset, "reset");
  to.SetTotal(metrics::kFromInstances, packets.from_instances);
  for (std::size_t i = 0; i < packets.faults.size(); ++i) {
    to.SetTotal(metrics::kFaults, packets.faults[i],
                Word(static_cast<datapath::PacketFault>(i)));
  }
  for (std::size_t i = 0; i < packets.drops.size(); ++i) {
    to.SetTotal(metrics::kDrops, packets.drops[i],
                Word(static_cast<core::DropReason>(i)));
  }
}

void PublishFlows(Metrics& to, const core::BalancerStatus& status) {
  to.SetValue(metrics::kFlows, static_cast<double>(status.flows), "open");
  to.SetValue(metrics::kFlows, static_cast<double>(status.exceptions),
              "exception");
  to.SetValue(metrics::kFlows, static_cast<double>(status.copies_held),
              "copy-held");
  to.SetValue(metrics::kFlows, static_cast<double>(status.copies_waiting),
              "copy-waiting");
  to.SetValue(metrics::kOwnedPartitions,
              static_cast<double>(status.owned_partitions));
}

}  // namespace

void PublishData(Metrics& to, const DataReport& report) {
  PublishSocket(to, report.socket);
  PublishPackets(to, report.packets);
  PublishFlows(to, report.status);
  to.SetTotal(metrics::kPauses, report.pauses);
  to.SetTotal(metrics::kTaskCpu, static_cast<std::uint64_t>(report.cpu.count()),
              "data");
}

void PublishFleet(Metrics& to, const core::FleetStatus& status,
                  const core::FleetView& view) {
  to.SetValue(metrics::kRevision,
              static_cast<double>(status.configuration.revision.value),
              "configuration");
  to.SetValue(metrics::kRevision,
              static_cast<double>(status.instances.revision.value),
              "instances");
  to.SetTotal(metrics::kRefused, status.documents_refused);
  to.SetTotal(metrics::kLimited, status.messages_limited);
  to.SetValue(metrics::kReader, status.reader ? 1 : 0);
  constexpr std::array kLeases = {core::Lease::kHeld, core::Lease::kStale,
                                  core::Lease::kCutOff};
  for (const core::Lease lease : kLeases) {
    to.SetValue(metrics::kLease, status.lease == lease ? 1 : 0,
                observe::Word(lease));
  }
  constexpr std::array kUses = {core::InstanceUse::kOwner,
                                core::InstanceUse::kLeaving,
                                core::InstanceUse::kSuspected};
  for (const core::InstanceUse use : kUses) {
    const auto count =
        std::ranges::count(view.instances, use, &core::InstanceView::use);
    to.SetValue(metrics::kMembers, static_cast<double>(count),
                observe::Word(use));
  }
}

void PublishReads(Metrics& to, core::DocumentKind kind,
                  const clients::PlatformCounts& counts) {
  const std::string document(observe::Word(kind));
  to.SetTotal(metrics::kPlatformReads, counts.reads, document + "-all");
  to.SetTotal(metrics::kPlatformReads, counts.documents, document + "-newer");
  to.SetTotal(metrics::kPlatformReads, counts.unchanged,
              document + "-unchanged");
  to.SetTotal(metrics::kPlatformReads, counts.older, document + "-older");
  to.SetTotal(metrics::kPlatformReads, counts.refused, document + "-refused");
  to.SetTotal(metrics::kPlatformReads, counts.failures, document + "-failed");
}

void PublishPeers(Metrics& to, const peer::PeerCounts& counts) {
  to.SetTotal(metrics::kPeerBytes, counts.wire_bytes_sent, "sent");
  to.SetTotal(metrics::kPeerBytes, counts.wire_bytes_received, "received");
  for (std::size_t kind = 0; kind < peer::kKinds; ++kind) {
    const std::string_view word = peer::KindWord(kind);
    to.SetTotal(metrics::kPeerMessages, counts.sent[kind].messages, word);
    to.SetTotal(metrics::kPeerMessageBytes, counts.sent[kind].bytes, word);
    to.SetTotal(metrics::kPeerDropped,
                counts.dropped_full[kind] + counts.dropped_old[kind] +
                    counts.dropped_unlisted[kind],
                word);
  }
  for (std::size_t i = 0; i < counts.cut.size(); ++i) {
    to.SetTotal(metrics::kPeerCuts, counts.cut[i],
                Word(static_cast<peer::CutReason>(i)));
  }
  for (std::size_t i = 0; i < counts.paused.size(); ++i) {
    to.SetTotal(metrics::kPeerPauses, counts.paused[i],
                Word(static_cast<peer::ReceiveLimit>(i)));
  }
}

void PublishProbes(Metrics& to, const clients::ProbeCounts& counts) {
  to.SetTotal(metrics::kProbes, counts.probes, "all");
  to.SetTotal(metrics::kProbes, counts.unreachable, "unreachable");
  to.SetTotal(metrics::kProbes, counts.unreadable, "unreadable");
  to.SetTotal(metrics::kProbes, counts.changes, "changed");
}

void PublishLog(Metrics& to, const observe::DecisionLog& log) {
  to.SetTotal(metrics::kLogDropped, log.Dropped());
  to.SetTotal(metrics::kLogWritten, log.Written());
}

}  // namespace sassafrasdyke::app
