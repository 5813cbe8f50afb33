/// Reads and writes MessagePack arrays from anybody. Values that are out of
/// range are refused, so that sums can't overflow.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "common/address.h"

namespace sassafrasdyke::front {

/// Longest times that are accepted, so that sums can't overflow.
inline constexpr std::uint64_t kLongestMs = 86'400'000;

/// Reads the elements of an array in order. After the first wrong one nothing
/// more is read, and `Good` is false.
class ArrayReader {
 public:
  ArrayReader(const nlohmann::json& json, std::size_t size) : json(json) {
    this->good = json.is_array() && json.size() == size;
  }

  bool Good() const { return this->good; }
  const nlohmann::json& Next() {
    static const nlohmann::json null;
    if (!this->good || this->at >= this->json.size()) {
      this->good = false;
      return null;
    }
    return this->json[this->at++];
  }
  std::uint64_t Number() {
    const nlohmann::json& value = this->Next();
    this->good = this->good && value.is_number_unsigned();
    return this->good ? value.get<std::uint64_t>() : 0;
  }
  bool Flag() {
    const nlohmann::json& value = this->Next();
    this->good = this->good && value.is_boolean();
    return this->good && value.get<bool>();
  }
  std::string Text() {
    const nlohmann::json& value = this->Next();
    this->good = this->good && value.is_string();
    return this->good ? value.get<std::string>() : std::string();
  }
  std::chrono::milliseconds Time() {
    const std::uint64_t ms = this->Number();
    this->good = this->good && ms <= kLongestMs;
    return std::chrono::milliseconds(ms);
  }
  std::optional<std::chrono::milliseconds> OptionalTime() {
    if (this->good && this->at < this->json.size() &&
        this->json[this->at].is_null()) {
      ++this->at;
      return std::nullopt;
    }
    return this->Time();
  }
  common::Endpoint Address() {
    const auto endpoint = common::Endpoint::Parse(this->Text());
    this->good = this->good && endpoint.has_value();
    return endpoint.value_or(common::Endpoint{});
  }

 private:
  const nlohmann::json& json;
  std::size_t at{0};
  bool good{false};
};

/// A time as it is written.
inline std::uint64_t Millis(std::chrono::milliseconds time) {
  const auto count = std::max<std::int64_t>(time.count(), 0);
  return std::min(static_cast<std::uint64_t>(count), kLongestMs);
}

}  // namespace sassafrasdyke::front
