#include "config/document_splitter.h"

#include <algorithm>
#include <span>
#include <utility>

#include "config/json_text.h"
#include "config/value_format.h"

namespace sassafrasdyke::config {
namespace {

constexpr std::string_view kRevision = "revision";
constexpr std::string_view kSingles[] = {"defaults", "exceptions", "fleet",
                                         "hash_seed"};
constexpr std::string_view kConfigurationGroups[] = {"domains", "services",
                                                     "targets"};
constexpr std::string_view kInstanceGroups[] = {"instances"};

/// The keys that a kind of document has beside its revision.
struct Shape {
  std::span<const std::string_view> singles;  ///< One entry each.
  std::span<const std::string_view> groups;   ///< One entry for each member.
};

Shape ShapeOf(core::DocumentKind kind) {
  if (kind == core::DocumentKind::kConfiguration) {
    return {kSingles, kConfigurationGroups};
  }
  return {{}, kInstanceGroups};
}

bool Contains(std::span<const std::string_view> names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

class Splitter {
 public:
  explicit Splitter(core::DocumentKind kind) : shape(ShapeOf(kind)) {
    this->result.document.kind = kind;
  }

  SplitResult Split(const Json& json) {
    if (!json.is_object()) {
      this->Fault("", "must be an object");
      return std::move(this->result);
    }
    if (!json.contains(kRevision)) {
      this->Fault(ChildPath("", kRevision), "is missing");
    }
    for (const auto& [name, value] : json.items()) {
      this->SplitMember(name, value);
    }
    std::sort(
        this->result.document.entries.begin(),
        this->result.document.entries.end(),
        [](const core::DocumentEntry& left, const core::DocumentEntry& right) {
          return left.path < right.path;
        });
    return std::move(this->result);
  }

 private:
  void SplitMember(const std::string& name, const Json& value) {
    if (name == kRevision) {
      this->ReadRevision(value);
    } else if (Contains(this->shape.singles, name)) {
      this->result.document.entries.push_back({name, value.dump()});
    } else if (Contains(this->shape.groups, name)) {
      this->SplitGroup(name, value);
    } else {
      this->Fault(ChildPath("", name), "is not a known key");
    }
  }

  void ReadRevision(const Json& value) {
    const IdNumber format{UINT64_MAX};
    if (!format.Read(value, this->result.document.revision)) {
      this->Fault(ChildPath("", kRevision), NotValid(format.Describe()));
    }
  }

  void SplitGroup(const std::string& group, const Json& members) {
    const std::string path = ChildPath("", group);
    if (!members.is_object()) {
      this->Fault(path, "must be an object");
      return;
    }
    for (const auto& [name, value] : members.items()) {
      if (!Name::IsName(name)) {
        this->Fault(ChildPath(path, name), NotValid(Name().Describe()));
        continue;
      }
      std::string entry = group;
      entry.append("/").append(name);
      this->result.document.entries.push_back({std::move(entry), value.dump()});
    }
  }

  void Fault(std::string path, std::string what) {
    this->result.faults.push_back({std::move(path), std::move(what)});
  }

  Shape shape;
  SplitResult result;
};

}  // namespace

SplitResult SplitAsFarAsPossible(core::DocumentKind kind,
                                 std::string_view json) {
  auto parsed = ParseJson(json, "");
  if (!parsed) {
    return {{kind, {}, {}}, std::move(parsed.error())};
  }
  return Splitter(kind).Split(*parsed);
}

tl::expected<core::Document, core::DocumentFaults> SplitDocument(
    core::DocumentKind kind, std::string_view json) {
  SplitResult result = SplitAsFarAsPossible(kind, json);
  if (!result.faults.empty()) {
    return tl::unexpected(std::move(result.faults));
  }
  return std::move(result.document);
}

}  // namespace sassafrasdyke::config
