#include "peer/instance_directory.h"

#include <algorithm>

namespace sassafrasdyke::peer {

void InstanceDirectory::Set(const core::InstanceList& list,
                            const std::string& fleet) {
  this->fleet = fleet;
  this->instances.clear();
  for (const core::Instance& instance : list.instances) {
    this->instances.emplace(instance.id, instance);
  }
}

const core::Instance* InstanceDirectory::Find(common::InstanceId id) const {
  const auto found = this->instances.find(id);
  return found == this->instances.end() ? nullptr : &found->second;
}

bool InstanceDirectory::Lists(const common::IpAddress& address) const {
  return std::any_of(this->instances.begin(), this->instances.end(),
                     [&address](const auto& entry) {
                       return entry.second.control.address == address;
                     });
}

std::optional<CutReason> InstanceDirectory::Judge(
    const Hello& hello, const common::IpAddress& source) const {
  if (!HighestCommon(hello.versions, this->versions)) {
    return CutReason::kOtherVersion;
  }
  if (this->fleet.empty()) {
    return CutReason::kNoConfiguration;
  }
  if (hello.fleet != this->fleet) {
    return CutReason::kOtherFleet;
  }
  // An address that was given to another instance still stands in some lists.
  // Taking a message that was meant for the one before would answer for it.
  if (hello.to != this->self) {
    return CutReason::kMisdirected;
  }
  const core::Instance* const instance = this->Find(hello.from);
  if (instance == nullptr || hello.from == this->self ||
      instance->control.address != source) {
    return CutReason::kNotListed;
  }
  // A process that was replaced while it was paused wakes up and still
  // believes in its old life; its word is no longer the instance's.
  if (hello.incarnation.value < instance->incarnation.value) {
    return CutReason::kOldIncarnation;
  }
  return std::nullopt;
}

}  // namespace sassafrasdyke::peer
