/// Declares the keys of a JSON object once: name, member, format, default and
/// meaning. The same declaration reads, checks and documents.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "config/json_text.h"
#include "config/value_format.h"
#include "core/fleet/fleet.h"

namespace sassafrasdyke::config {

/// Whether a key must be written, and whether exceptions may set it.
enum class KeyUse {
  kRequired,
  kOptional,    ///< Keeps its default when it isn't written.
  kAdjustable,  ///< Optional, and an exception may set it.
};

/// One key for the operators' reference.
struct KeyReference {
  std::string path;  ///< Such as "defaults.service.deviate_by".
  FormatReference format;
  KeyUse use{KeyUse::kOptional};
  std::string default_value;  ///< JSON text; empty when there is none.
  std::string doc;
};

/// One key of the object that is read into a `Struct`.
template <typename Struct>
class Key {
 public:
  Key(std::string_view name, KeyUse use, std::string_view doc)
      : name(name), use(use), doc(doc) {}
  virtual ~Key() = default;
  Key(const Key&) = delete;
  Key& operator=(const Key&) = delete;

  /// Reads the key's value; appends its faults.
  virtual void Read(const Json& json, const std::string& path, Struct& into,
                    core::DocumentFaults& faults) const = 0;
  /// Whether the key has the same value in both.
  virtual bool Same(const Struct& left, const Struct& right) const = 0;
  /// Appends one reference, or one for each key of a section.
  virtual void Describe(const std::string& prefix,
                        std::vector<KeyReference>& references) const = 0;

  const std::string_view name;
  const KeyUse use;
  const std::string_view doc;
};

/// All keys of one object, in the order of the reference.
template <typename Struct>
class KeyTable {
 public:
  /// Declares a key whose value is read by `format` into `member`. The default
  /// is what a `Struct` holds when it is made.
  template <typename Value, typename Base, typename Format>
  KeyTable& Add(std::string_view name, Value Base::*member, Format format,
                KeyUse use, std::string_view doc);
  /// Declares an object inside this one.
  template <typename Section, typename Base>
  KeyTable& AddSection(std::string_view name, Section Base::*member,
                       const KeyTable<Section>& table, KeyUse use,
                       std::string_view doc);
  /// Declares an object inside this one that may be left out.
  template <typename Section, typename Base>
  KeyTable& AddSection(std::string_view name,
                       std::optional<Section> Base::*member,
                       const KeyTable<Section>& table, std::string_view doc);

  /// Reads every member of `json`, and appends a fault for each wrong value,
  /// unknown key and missing key.
  void Read(const Json& json, const std::string& path, Struct& into,
            core::DocumentFaults& faults) const;
  /// The key of that name, or null.
  const Key<Struct>* Find(std::string_view name) const;
  void Describe(const std::string& prefix,
                std::vector<KeyReference>& references) const;

 private:
  void ReadMembers(const Json& json, const std::string& path, Struct& into,
                   core::DocumentFaults& faults) const;
  void CheckRequired(const Json& json, const std::string& path,
                     core::DocumentFaults& faults) const;

  std::vector<std::shared_ptr<const Key<Struct>>> keys;
};

/// A key whose value is one JSON value.
template <typename Struct, typename Value, typename Format>
class ValueKey final : public Key<Struct> {
 public:
  ValueKey(std::string_view name, KeyUse use, std::string_view doc,
           Value Struct::*member, Format format)
      : Key<Struct>(name, use, doc),
        member(member),
        format(std::move(format)) {}

  void Read(const Json& json, const std::string& path, Struct& into,
            core::DocumentFaults& faults) const override {
    if (!this->format.Read(json, into.*(this->member))) {
      faults.push_back({path, NotValid(this->format.Describe())});
    }
  }
  bool Same(const Struct& left, const Struct& right) const override {
    return left.*(this->member) == right.*(this->member);
  }
  void Describe(const std::string& prefix,
                std::vector<KeyReference>& references) const override {
    std::string default_value;
    if (this->use != KeyUse::kRequired) {
      const Struct defaults{};
      default_value = this->format.Write(defaults.*(this->member)).dump();
    }
    references.push_back({prefix + std::string(this->name),
                          this->format.Describe(), this->use, default_value,
                          std::string(this->doc)});
  }

 private:
  Value Struct::*member;
  Format format;
};

/// A key whose value is an object with keys of its own. `Held` is `Section` or
/// an optional of it.
template <typename Struct, typename Section, typename Held>
class SectionKey final : public Key<Struct> {
 public:
  SectionKey(std::string_view name, KeyUse use, std::string_view doc,
             Held Struct::*member, const KeyTable<Section>& table)
      : Key<Struct>(name, use, doc), member(member), table(table) {}

  void Read(const Json& json, const std::string& path, Struct& into,
            core::DocumentFaults& faults) const override {
    if constexpr (std::is_same_v<Held, Section>) {
      this->table.Read(json, path, into.*(this->member), faults);
    } else {
      Section& section = (into.*(this->member)).emplace();
      this->table.Read(json, path, section, faults);
    }
  }
  bool Same(const Struct& /*left*/, const Struct& /*right*/) const override {
    return false;
  }
  void Describe(const std::string& prefix,
                std::vector<KeyReference>& references) const override {
    const std::string path = prefix + std::string(this->name);
    references.push_back(
        {path, {"object", "", ""}, this->use, "", std::string(this->doc)});
    this->table.Describe(path + ".", references);
  }

 private:
  Held Struct::*member;
  const KeyTable<Section>& table;
};

template <typename Struct>
template <typename Value, typename Base, typename Format>
KeyTable<Struct>& KeyTable<Struct>::Add(std::string_view name,
                                        Value Base::*member, Format format,
                                        KeyUse use, std::string_view doc) {
  using Declared = ValueKey<Struct, Value, Format>;
  this->keys.push_back(std::make_shared<const Declared>(name, use, doc, member,
                                                        std::move(format)));
  return *this;
}

template <typename Struct>
template <typename Section, typename Base>
KeyTable<Struct>& KeyTable<Struct>::AddSection(std::string_view name,
                                               Section Base::*member,
                                               const KeyTable<Section>& table,
                                               KeyUse use,
                                               std::string_view doc) {
  using Declared = SectionKey<Struct, Section, Section>;
  this->keys.push_back(
      std::make_shared<const Declared>(name, use, doc, member, table));
  return *this;
}

template <typename Struct>
template <typename Section, typename Base>
KeyTable<Struct>& KeyTable<Struct>::AddSection(
    std::string_view name, std::optional<Section> Base::*member,
    const KeyTable<Section>& table, std::string_view doc) {
  using Declared = SectionKey<Struct, Section, std::optional<Section>>;
  this->keys.push_back(std::make_shared<const Declared>(name, KeyUse::kOptional,
                                                        doc, member, table));
  return *this;
}

template <typename Struct>
void KeyTable<Struct>::Read(const Json& json, const std::string& path,
                            Struct& into, core::DocumentFaults& faults) const {
  if (!json.is_object()) {
    faults.push_back({path, "must be an object"});
    return;
  }
  this->ReadMembers(json, path, into, faults);
  this->CheckRequired(json, path, faults);
}

template <typename Struct>
void KeyTable<Struct>::ReadMembers(const Json& json, const std::string& path,
                                   Struct& into,
                                   core::DocumentFaults& faults) const {
  for (const auto& [name, value] : json.items()) {
    const std::string child = ChildPath(path, name);
    if (const Key<Struct>* key = this->Find(name); key != nullptr) {
      key->Read(value, child, into, faults);
    } else {
      faults.push_back({child, "is not a known key"});
    }
  }
}

template <typename Struct>
void KeyTable<Struct>::CheckRequired(const Json& json, const std::string& path,
                                     core::DocumentFaults& faults) const {
  for (const auto& key : this->keys) {
    if (key->use == KeyUse::kRequired && !json.contains(key->name)) {
      faults.push_back({ChildPath(path, key->name), "is missing"});
    }
  }
}

template <typename Struct>
const Key<Struct>* KeyTable<Struct>::Find(std::string_view name) const {
  for (const auto& key : this->keys) {
    if (key->name == name) {
      return key.get();
    }
  }
  return nullptr;
}

template <typename Struct>
void KeyTable<Struct>::Describe(const std::string& prefix,
                                std::vector<KeyReference>& references) const {
  for (const auto& key : this->keys) {
    key->Describe(prefix, references);
  }
}

}  // namespace sassafrasdyke::config
