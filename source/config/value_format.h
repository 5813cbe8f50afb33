/// How the values of keys are written in JSON, checked and described. A format
/// is a small value with three functions: `Read` (false if the JSON isn't such
/// a value), `Describe` (what it must be, for faults and for the reference)
/// and `Write` (a value as JSON, for defaults).
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/address.h"
#include "common/ids.h"
#include "config/json_text.h"

namespace sassafrasdyke::config {

/// What a key's value may be, for a person.
struct FormatReference {
  std::string type;   ///< Such as "whole number".
  std::string range;  ///< Such as "1 to 64"; empty when any value will do.
  std::string unit;   ///< Such as "ms"; empty when it has none.
};

/// "is not a valid whole number, which is 1 to 64 (ms)".
std::string NotValid(const FormatReference& reference);

/// Reads a whole number from `least` to `greatest`; false for anything else.
bool ReadWholeNumber(const Json& json, std::uint64_t least,
                     std::uint64_t greatest, std::uint64_t& value);

/// "LEAST to GREATEST".
std::string RangeText(std::uint64_t least, std::uint64_t greatest);

/// A whole number of any unsigned type.
struct WholeNumber {
  std::uint64_t least{0};
  std::uint64_t greatest{UINT32_MAX};
  std::string_view unit{};

  template <typename Number>
  bool Read(const Json& json, Number& value) const {
    std::uint64_t number = 0;
    if (!ReadWholeNumber(json, this->least, this->greatest, number)) {
      return false;
    }
    value = static_cast<Number>(number);
    return true;
  }
  FormatReference Describe() const;
  Json Write(std::uint64_t value) const { return value; }
};

/// The number that names an object; 0 is reserved for "none".
struct IdNumber {
  std::uint64_t greatest{UINT32_MAX};

  template <typename Tag, typename Rep>
  bool Read(const Json& json, common::Id<Tag, Rep>& value) const {
    return WholeNumber{1, this->greatest, {}}.Read(json, value.value);
  }
  FormatReference Describe() const;
  template <typename Tag, typename Rep>
  Json Write(const common::Id<Tag, Rep>& value) const {
    return value.value;
  }
};

/// A time in whole milliseconds.
struct Milliseconds {
  std::chrono::milliseconds least{0};
  std::chrono::milliseconds greatest{std::chrono::hours{24}};

  bool Read(const Json& json, std::chrono::milliseconds& value) const;
  FormatReference Describe() const;
  Json Write(std::chrono::milliseconds value) const { return value.count(); }
};

/// true or false.
struct Flag {
  bool Read(const Json& json, bool& value) const;
  FormatReference Describe() const;
  Json Write(bool value) const { return value; }
};

/// A name: 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or a
/// digit, so that it can stand in paths and metrics as it is.
struct Name {
  static bool IsName(std::string_view text);

  bool Read(const Json& json, std::string& value) const;
  FormatReference Describe() const;
  Json Write(const std::string& value) const { return value; }
};

/// Any text of `least` to `greatest` bytes that isn't only blanks.
struct Text {
  std::uint64_t least{1};
  std::uint64_t greatest{1024};

  bool Read(const Json& json, std::string& value) const;
  FormatReference Describe() const;
  Json Write(const std::string& value) const { return value; }
};

/// The base URL of an HTTP service.
struct HttpUrl {
  bool Read(const Json& json, std::string& value) const;
  FormatReference Describe() const;
  Json Write(const std::string& value) const { return value; }
};

/// "192.0.2.1:80" or "[2001:db8::1]:80", never port 0.
struct EndpointText {
  /// Whether the address that stands for every local one will do.
  bool any_address{false};

  bool Read(const Json& json, common::Endpoint& value) const;
  FormatReference Describe() const;
  Json Write(const common::Endpoint& value) const;
};

/// One word of a list, each standing for a value.
template <typename Enum>
struct Choice {
  struct Word {
    std::string_view word;
    Enum value;
  };
  std::vector<Word> words;

  bool Read(const Json& json, Enum& value) const {
    if (!json.is_string()) {
      return false;
    }
    const auto& text = json.get_ref<const std::string&>();
    for (const Word& choice : this->words) {
      if (choice.word == text) {
        value = choice.value;
        return true;
      }
    }
    return false;
  }
  FormatReference Describe() const {
    std::string range;
    for (const Word& choice : this->words) {
      range += (range.empty() ? "" : ", ") + std::string(choice.word);
    }
    return {"word", range, ""};
  }
  Json Write(const Enum& value) const {
    for (const Word& choice : this->words) {
      if (choice.value == value) {
        return std::string(choice.word);
      }
    }
    return nullptr;
  }
};

}  // namespace sassafrasdyke::config
