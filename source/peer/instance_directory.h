/// Who may be a peer: the instances on the published list.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "common/address.h"
#include "common/ids.h"
#include "core/configuration.h"
#include "peer/hello.h"
#include "peer/peer_counts.h"

namespace sassafrasdyke::peer {

/// The list in force and the fleet's name.
class InstanceDirectory {
 public:
  InstanceDirectory(common::InstanceId self, VersionRange versions)
      : self(self), versions(versions) {}

  void Set(const core::InstanceList& list, const std::string& fleet);
  const std::string& Fleet() const { return this->fleet; }
  /// The instance of that id, or null.
  const core::Instance* Find(common::InstanceId id) const;
  /// Whether any listed instance speaks from `address`.
  bool Lists(const common::IpAddress& address) const;
  /// Why a peer at `source` that says `hello` is not let in; nothing if it is.
  std::optional<CutReason> Judge(const Hello& hello,
                                 const common::IpAddress& source) const;

 private:
  common::InstanceId self;
  VersionRange versions;
  std::string fleet;
  std::unordered_map<common::InstanceId, core::Instance> instances;
};

}  // namespace sassafrasdyke::peer
