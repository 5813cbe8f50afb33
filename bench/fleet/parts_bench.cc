/// Measures the parts of the control path whose time grows with the documents
/// or with the messages: codec, digest, delta and the reading of JSON. Writes
/// CSV; each time is the median of several runs, processor time of the thread.
#include <time.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/configuration_reader.h"
#include "config/document_splitter.h"
#include "core/fleet/document_store.h"
#include "peer/peer_codec.h"

namespace sassafrasdyke {
namespace {

constexpr int kRuns = 21;
constexpr int kMessagesARun = 1000;
constexpr std::uint32_t kTargetsAService = 19;
constexpr std::uint32_t kFirstTargetId = 100;

std::chrono::nanoseconds ThreadCpu() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

/// Median time of one call, in microseconds.
double Median(const std::function<void()>& call, int calls) {
  std::vector<double> times;
  for (int run = 0; run < kRuns; ++run) {
    const std::chrono::nanoseconds before = ThreadCpu();
    for (int i = 0; i < calls; ++i) {
      call();
    }
    const std::chrono::duration<double, std::micro> used = ThreadCpu() - before;
    times.push_back(used.count() / calls);
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

std::string Named(const char* prefix, std::uint32_t number) {
  return prefix + std::to_string(number);
}

std::string ServicesText(std::uint32_t services) {
  std::string text;
  for (std::uint32_t service = 1; service <= services; ++service) {
    text += (service > 1 ? ",\"" : "\"") + Named("service-", service) +
            "\":{\"id\":" + std::to_string(service) +
            ",\"address\":\"192.0.2.10:" + std::to_string(service) + "\"}";
  }
  return text;
}

/// Whether a target's entry repeats what the defaults say anyway.
enum class EntryStyle { kFull, kShort };

std::string TargetsText(std::uint32_t targets, EntryStyle style) {
  constexpr std::uint32_t kHosts = 250;
  const std::string defaults =
      style == EntryStyle::kFull
          ? R"(,"weight":100,"state":"serving","slots":2,"connections":2000)"
          : "";
  std::ostringstream text;
  for (std::uint32_t target = 0; target < targets; ++target) {
    const std::string host = "127." + std::to_string(1 + target / kHosts) +
                             ".1." + std::to_string(1 + target % kHosts);
    text << (target > 0 ? "," : "") << R"("target-)" << target << R"(":{"id":)"
         << kFirstTargetId + target << R"(,"service":"service-)"
         << 1 + target / kTargetsAService
         << R"(","domain":"north-1","tunnel":")" << host << R"(:6080")"
         << defaults << R"(,"health":")" << host << R"(:8080"})";
  }
  return text.str();
}

std::string InstancesText(std::uint32_t instances) {
  constexpr std::uint32_t kHosts = 250;
  std::ostringstream text;
  text << R"({"revision":12,"instances":{)";
  for (std::uint32_t id = 1; id <= instances; ++id) {
    const std::string host = "127.0." + std::to_string(1 + id / kHosts) + "." +
                             std::to_string(1 + id % kHosts);
    text << (id > 1 ? "," : "") << R"("a)" << id << R"(":{"id":)" << id
         << R"(,"domain":1,"incarnation":1,"tunnel":")" << host
         << R"(:6080","control":")" << host << R"(:6081","state":"live"})";
  }
  text << "}}";
  return text.str();
}

std::string ConfigurationText(std::uint32_t targets, EntryStyle style) {
  const std::uint32_t services =
      (targets + kTargetsAService - 1) / kTargetsAService;
  return "{\"revision\":7,\"fleet\":\"sample\",\"hash_seed\":1,"
         "\"defaults\":{},\"domains\":{\"north-1\":{\"id\":1,"
         "\"region\":\"north\"}},\"services\":{" +
         ServicesText(services) + "},\"targets\":{" +
         TargetsText(targets, style) + "},\"exceptions\":[]}";
}

void Print(const char* part, std::uint32_t entries, std::size_t bytes,
           double microseconds) {
  std::printf("%s,%u,%zu,%.2f\n", part, entries, bytes, microseconds);
  std::fflush(stdout);
}

core::Heartbeat SampleHeartbeat() {
  core::Heartbeat heartbeat;
  heartbeat.incarnation.value = 1;
  heartbeat.sequence = 1'000'000'000'000;
  heartbeat.digests = {
      {core::DocumentKind::kConfiguration, {7}, 0xFEDCBA9876543210U},
      {core::DocumentKind::kInstances, {12}, 0xFEDCBA9876543210U}};
  return heartbeat;
}

void MeasureHeartbeat() {
  const core::PeerMessage message = SampleHeartbeat();
  const std::string bytes = peer::Encode(message);
  std::size_t sum = 0;
  Print("encode_heartbeat", 0, bytes.size(),
        Median([&] { sum += peer::Encode(message).size(); }, kMessagesARun));
  Print("decode_heartbeat", 0, bytes.size(),
        Median([&] { sum += peer::DecodeMessage(bytes) ? 1 : 0; },
               kMessagesARun));
}

void MeasureInstances(std::uint32_t instances) {
  const std::string text = InstancesText(instances);
  const auto document =
      config::SplitDocument(core::DocumentKind::kInstances, text);
  if (!document) {
    throw std::runtime_error("the sample of instances is not valid");
  }
  const config::ConfigurationReader reader;
  std::size_t sum = 0;
  const auto read = [&] { sum += reader.ReadInstances(*document) ? 1 : 0; };
  Print("read_instances", instances, text.size(), Median(read, 1));
}

void MeasureStore(const core::Document& document, std::uint32_t targets) {
  std::size_t sum = 0;
  core::DocumentStore store(core::DocumentKind::kConfiguration);
  store.Replace(document);
  core::DocumentDelta delta;
  delta.from = document.revision;
  delta.to.value = document.revision.value + 1;
  delta.digest = store.Digest().digest;
  const auto apply = [&] { sum += store.Apply(delta) ? 1 : 0; };
  Print("apply_delta", targets, store.Bytes(), Median(apply, 1));

  const core::PeerMessage copy =
      core::DocumentCopy{document, store.Digest().digest};
  const std::string bytes = peer::Encode(copy);
  const auto encode = [&] { sum += peer::Encode(copy).size(); };
  Print("encode_copy", targets, bytes.size(), Median(encode, 1));
  if (!peer::DecodeMessage(bytes)) {
    // Over the codec's limit: no peer would take it.
    Print("copy_is_refused", targets, bytes.size(), 0);
    return;
  }
  const auto decode = [&] { sum += peer::DecodeMessage(bytes) ? 1 : 0; };
  Print("decode_copy", targets, bytes.size(), Median(decode, 1));
}

void MeasureConfiguration(std::uint32_t targets, EntryStyle style) {
  const std::string text = ConfigurationText(targets, style);
  const bool full = style == EntryStyle::kFull;
  const auto document =
      config::SplitDocument(core::DocumentKind::kConfiguration, text);
  if (!document) {
    throw std::runtime_error("the sample of targets is not valid");
  }
  const config::ConfigurationReader reader;
  std::size_t sum = 0;
  const auto split = [&] {
    sum +=
        config::SplitDocument(core::DocumentKind::kConfiguration, text) ? 1 : 0;
  };
  Print(full ? "split_full" : "split", targets, text.size(), Median(split, 1));
  const auto read = [&] { sum += reader.ReadConfiguration(*document) ? 1 : 0; };
  Print(full ? "read_full" : "read", targets, text.size(), Median(read, 1));
  if (!full) {
    MeasureStore(*document, targets);
  }
}

}  // namespace
}  // namespace sassafrasdyke

int main() {
  try {
    std::puts("part,entries,bytes,microseconds");
    sassafrasdyke::MeasureHeartbeat();
    for (const std::uint32_t instances : {8U, 64U, 116U, 810U}) {
      sassafrasdyke::MeasureInstances(instances);
    }
    for (const std::uint32_t targets : {18U, 180U, 1800U, 7900U}) {
      sassafrasdyke::MeasureConfiguration(targets,
                                          sassafrasdyke::EntryStyle::kShort);
      sassafrasdyke::MeasureConfiguration(targets,
                                          sassafrasdyke::EntryStyle::kFull);
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "parts_bench: %s\n", error.what());
    return 2;
  }
}
