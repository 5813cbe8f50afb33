/// The metrics registry, with every metric declared once.
#pragma once

#include <prometheus/registry.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace sassafrasdyke::observe {

/// A metric's name, its meaning, and its one label if it has one.
struct MetricInfo {
  std::string_view name;
  std::string_view help;
  std::string_view label;
};

namespace metrics {

inline constexpr MetricInfo kReceived{"sassafrasdyke_datagrams_received_total",
                                      "UDP datagrams taken.", ""};
inline constexpr MetricInfo kSent{"sassafrasdyke_datagrams_sent_total",
                                  "UDP datagrams sent.", ""};
inline constexpr MetricInfo kLost{
    "sassafrasdyke_datagrams_lost_total",
    "Datagrams that the socket could not take or send.", "reason"};
inline constexpr MetricInfo kIcmpErrors{
    "sassafrasdyke_icmp_errors_total", "ICMP errors about sent datagrams.", ""};
inline constexpr MetricInfo kPackets{"sassafrasdyke_packets_total",
                                     "Packets by what was done with them.",
                                     "action"};
inline constexpr MetricInfo kFromInstances{
    "sassafrasdyke_packets_from_instances_total",
    "Packets that another instance handed over.", ""};
inline constexpr MetricInfo kFaults{
    "sassafrasdyke_packet_faults_total",
    "Datagrams dropped because they are no caller's segment.", "reason"};
inline constexpr MetricInfo kDrops{"sassafrasdyke_packet_drops_total",
                                   "Segments dropped by decision.", "reason"};
inline constexpr MetricInfo kFlows{"sassafrasdyke_flows",
                                   "Flow records by kind.", "kind"};
inline constexpr MetricInfo kOwnedPartitions{
    "sassafrasdyke_owned_partitions", "Partitions this instance owns.", ""};
inline constexpr MetricInfo kRevision{"sassafrasdyke_document_revision",
                                      "Revision in force.", "document"};
inline constexpr MetricInfo kRefused{"sassafrasdyke_documents_refused_total",
                                     "Published documents refused.", ""};
inline constexpr MetricInfo kLease{"sassafrasdyke_lease",
                                   "1 for the state the lease is in.", "state"};
inline constexpr MetricInfo kMembers{
    "sassafrasdyke_members", "Instances by what they are good for.", "use"};
inline constexpr MetricInfo kReader{
    "sassafrasdyke_platform_reader",
    "1 while this instance holds the platform's watch.", ""};
inline constexpr MetricInfo kPlatformReads{"sassafrasdyke_platform_reads_total",
                                           "Calls of the platform's service.",
                                           "result"};
inline constexpr MetricInfo kLimited{
    "sassafrasdyke_messages_limited_total",
    "Control messages held back by a token bucket.", ""};
inline constexpr MetricInfo kPeerBytes{
    "sassafrasdyke_peer_bytes_total",
    "Bytes of streams between instances, framing included.", "direction"};
inline constexpr MetricInfo kPeerMessages{
    "sassafrasdyke_peer_messages_sent_total", "Messages sent to instances.",
    "kind"};
inline constexpr MetricInfo kPeerMessageBytes{
    "sassafrasdyke_peer_message_bytes_sent_total",
    "Encoded bytes of messages sent to instances.", "kind"};
inline constexpr MetricInfo kPeerDropped{
    "sassafrasdyke_peer_messages_dropped_total",
    "Messages to instances that never left.", "kind"};
inline constexpr MetricInfo kPeerCuts{
    "sassafrasdyke_peer_cuts_total",
    "Streams between instances that ended or were not let in.", "reason"};
inline constexpr MetricInfo kPeerPauses{
    "sassafrasdyke_peer_pauses_total",
    "Times that an instance's next message had to wait.", "limit"};
inline constexpr MetricInfo kProbes{"sassafrasdyke_probes_total",
                                    "Probes of targets' health.", "result"};
inline constexpr MetricInfo kMailDropped{
    "sassafrasdyke_mail_dropped_total",
    "Messages between tasks for which there was no room.", "to"};
inline constexpr MetricInfo kLogDropped{
    "sassafrasdyke_log_dropped_total", "Log lines for which there was no room.",
    ""};
inline constexpr MetricInfo kLogWritten{"sassafrasdyke_log_written_total",
                                        "Log lines written.", ""};
inline constexpr MetricInfo kPauses{
    "sassafrasdyke_pauses_total",
    "Times the process noticed that it had been stopped.", ""};
inline constexpr MetricInfo kTaskCpu{
    "sassafrasdyke_task_cpu_milliseconds_total", "Processor time of each task.",
    "task"};

}  // namespace metrics

/// All metrics of the process. Safe to use from any task.
class Metrics {
 public:
  /// Raises a counter to `total`; a smaller total changes nothing.
  void SetTotal(const MetricInfo& info, std::uint64_t total,
                std::string_view label_value = {});
  /// Sets a gauge.
  void SetValue(const MetricInfo& info, double value,
                std::string_view label_value = {});
  /// All metrics in Prometheus' text format.
  std::string Text() const;

 private:
  prometheus::Registry registry;
};

}  // namespace sassafrasdyke::observe
