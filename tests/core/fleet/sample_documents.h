/// Sample documents and their reader, for the fleet's tests and benchmarks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/fleet/fleet.h"

namespace sassafrasdyke::core {

/// Reads the documents of `ConfigurationOf` and `InstancesOf`. An entry with
/// the body "invalid" makes the document invalid.
class SampleReader final : public DocumentReader {
 public:
  tl::expected<Configuration, DocumentFaults> ReadConfiguration(
      const Document& document) const override;
  tl::expected<InstanceList, DocumentFaults> ReadInstances(
      const Document& document) const override;

  /// Published settings of the fleet; the same for every document.
  FleetPolicy policy;
};

/// A configuration of `targets` targets, each of whose bodies contains
/// `revision`.
Document ConfigurationOf(std::uint64_t revision, std::uint32_t targets);

/// `document` with `path` set to `body` and with `revision`.
Document WithEntry(Document document, std::uint64_t revision,
                   const std::string& path, const std::string& body);

/// `document` without `path` and with `revision`.
Document WithoutEntry(Document document, std::uint64_t revision,
                      const std::string& path);

/// One row of an instance list.
struct SampleInstance {
  std::uint32_t id{0};
  std::uint32_t domain{1};
  std::uint64_t incarnation{1};
  bool leaving{false};
};

Document InstancesOf(std::uint64_t revision,
                     const std::vector<SampleInstance>& instances);

/// `count` instances with ids from 1, round-robin over `domains` domains.
std::vector<SampleInstance> SampleInstances(std::uint32_t count,
                                            std::uint32_t domains);

}  // namespace sassafrasdyke::core
