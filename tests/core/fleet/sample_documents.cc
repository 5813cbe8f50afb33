#include "core/fleet/sample_documents.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <sstream>
#include <string_view>

namespace sassafrasdyke::core {
namespace {

constexpr std::uint32_t kInstanceNet = 0x7F000000;
constexpr std::uint16_t kTunnelPort = 6080;
constexpr std::uint16_t kControlPort = 6081;
constexpr std::size_t kPathBytes = 32;
constexpr std::string_view kTargetFolder = "targets/";

bool Before(const DocumentEntry& left, const DocumentEntry& right) {
  return left.path < right.path;
}

std::string NumberedPath(const char* folder, std::uint32_t number) {
  std::array<char, kPathBytes> path{};
  (void)std::snprintf(path.data(), path.size(), "%s/%05u", folder, number);
  return path.data();
}

/// A body about as long as a target's entry in a published configuration.
std::string TargetBody(std::uint64_t revision, std::uint32_t target) {
  return "{\"id\":" + std::to_string(target) +
         ",\"service\":\"diary\",\"domain\":\"north-1\","
         "\"tunnel\":\"127.1.1.1:6080\",\"weight\":" +
         std::to_string(revision) + "}";
}

std::optional<DocumentFaults> FaultsOf(const Document& document) {
  DocumentFaults faults;
  for (const DocumentEntry& entry : document.entries) {
    if (entry.body == "invalid") {
      faults.push_back({"/" + entry.path, "is not valid"});
    }
  }
  return faults.empty() ? std::nullopt : std::optional(faults);
}

Instance ReadInstance(const std::string& body) {
  std::istringstream text(body);
  Instance instance;
  bool leaving = false;
  text >> instance.id.value >> instance.domain.value >>
      instance.incarnation.value >> leaving;
  const auto address =
      common::IpAddress::FromV4(kInstanceNet + instance.id.value);
  instance.tunnel = {address, kTunnelPort};
  instance.control = {address, kControlPort};
  instance.state = leaving ? InstanceState::kLeaving : InstanceState::kLive;
  return instance;
}

}  // namespace

tl::expected<Configuration, DocumentFaults> SampleReader::ReadConfiguration(
    const Document& document) const {
  if (auto faults = FaultsOf(document)) {
    return tl::unexpected(*faults);
  }
  Configuration configuration;
  configuration.revision = document.revision;
  configuration.fleet = "sample";
  configuration.policy = this->policy;
  for (const DocumentEntry& entry : document.entries) {
    if (entry.path.starts_with(kTargetFolder)) {
      Target target;
      target.id.value = static_cast<std::uint32_t>(
          std::stoul(entry.path.substr(kTargetFolder.size())));
      configuration.targets.push_back(target);
    }
  }
  return configuration;
}

tl::expected<InstanceList, DocumentFaults> SampleReader::ReadInstances(
    const Document& document) const {
  if (auto faults = FaultsOf(document)) {
    return tl::unexpected(*faults);
  }
  InstanceList list{document.revision, {}};
  for (const DocumentEntry& entry : document.entries) {
    list.instances.push_back(ReadInstance(entry.body));
  }
  return list;
}

Document ConfigurationOf(std::uint64_t revision, std::uint32_t targets) {
  Document document{DocumentKind::kConfiguration, {revision}, {}};
  for (std::uint32_t target = 1; target <= targets; ++target) {
    document.entries.push_back(
        {NumberedPath("targets", target), TargetBody(revision, target)});
  }
  return document;
}

Document WithEntry(Document document, std::uint64_t revision,
                   const std::string& path, const std::string& body) {
  document = WithoutEntry(std::move(document), revision, path);
  const DocumentEntry entry{path, body};
  document.entries.insert(
      std::lower_bound(document.entries.begin(), document.entries.end(), entry,
                       Before),
      entry);
  return document;
}

Document WithoutEntry(Document document, std::uint64_t revision,
                      const std::string& path) {
  document.revision.value = revision;
  std::erase_if(document.entries, [&path](const DocumentEntry& entry) {
    return entry.path == path;
  });
  return document;
}

Document InstancesOf(std::uint64_t revision,
                     const std::vector<SampleInstance>& instances) {
  Document document{DocumentKind::kInstances, {revision}, {}};
  for (const SampleInstance& row : instances) {
    document.entries.push_back({NumberedPath("instances", row.id),
                                std::to_string(row.id) + " " +
                                    std::to_string(row.domain) + " " +
                                    std::to_string(row.incarnation) + " " +
                                    std::to_string(row.leaving ? 1 : 0)});
  }
  return document;
}

std::vector<SampleInstance> SampleInstances(std::uint32_t count,
                                            std::uint32_t domains) {
  std::vector<SampleInstance> instances;
  for (std::uint32_t id = 1; id <= count; ++id) {
    instances.push_back({.id = id, .domain = 1 + (id - 1) % domains});
  }
  return instances;
}

}  // namespace sassafrasdyke::core
