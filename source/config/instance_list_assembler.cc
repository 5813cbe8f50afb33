#include "config/instance_list_assembler.h"

#include <algorithm>
#include <utility>

#include "config/entry_path.h"
#include "config/json_text.h"
#include "config/published_keys.h"
#include "config/value_format.h"

namespace sassafrasdyke::config {

InstanceListAssembler::InstanceListAssembler(common::Revision revision,
                                             core::DocumentFaults& faults)
    : faults(faults) {
  this->list.revision = revision;
}

void InstanceListAssembler::Add(const core::DocumentEntry& entry) {
  const EntryPath parts = EntryPath::Parse(entry.path);
  const std::string at = "/" + entry.path;
  if (parts.group != "instances" || !Name::IsName(parts.name)) {
    this->faults.push_back({at, "is not a known entry"});
    return;
  }
  const auto json = ParseJson(entry.body, at);
  if (!json) {
    this->faults.insert(this->faults.end(), json.error().begin(),
                        json.error().end());
    return;
  }
  this->paths.Add(entry.path, parts.name, at, this->faults);
  core::Instance instance;
  const std::size_t before = this->faults.size();
  InstanceKeys().Read(*json, at, instance, this->faults);
  if (this->faults.size() > before) {
    return;
  }
  this->ids.Add(std::to_string(instance.id.value), parts.name, at + "/id",
                this->faults);
  this->tunnels.Add(instance.tunnel.ToString(), parts.name, at + "/tunnel",
                    this->faults);
  this->controls.Add(instance.control.ToString(), parts.name, at + "/control",
                     this->faults);
  this->list.instances.push_back(instance);
}

core::InstanceList InstanceListAssembler::Finish() {
  std::sort(this->list.instances.begin(), this->list.instances.end(),
            [](const core::Instance& left, const core::Instance& right) {
              return left.id.value < right.id.value;
            });
  return std::move(this->list);
}

}  // namespace sassafrasdyke::config
