#include "config/value_format.h"

#include <algorithm>
#include <optional>

namespace sassafrasdyke::config {
namespace {

constexpr std::size_t kNameLimit = 63;
constexpr std::size_t kUrlLimit = 1024;

bool IsLetterOrDigit(char letter) {
  return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9');
}

bool IsNameLetter(char letter) {
  return IsLetterOrDigit(letter) || letter == '.' || letter == '_' ||
         letter == '-';
}

}  // namespace

std::string NotValid(const FormatReference& reference) {
  std::string text = "is not a valid " + reference.type;
  if (!reference.range.empty()) {
    text += ", which is " + reference.range;
  }
  if (!reference.unit.empty()) {
    text += " (" + reference.unit + ")";
  }
  return text;
}

bool ReadWholeNumber(const Json& json, std::uint64_t least,
                     std::uint64_t greatest, std::uint64_t& value) {
  // Numbers with a sign or a fraction are of other types of the library.
  if (!json.is_number_unsigned()) {
    return false;
  }
  const auto number = json.get<std::uint64_t>();
  if (number < least || number > greatest) {
    return false;
  }
  value = number;
  return true;
}

std::string RangeText(std::uint64_t least, std::uint64_t greatest) {
  return std::to_string(least) + " to " + std::to_string(greatest);
}

FormatReference WholeNumber::Describe() const {
  return {"whole number", RangeText(this->least, this->greatest),
          std::string(this->unit)};
}

FormatReference IdNumber::Describe() const {
  return {"whole number", RangeText(1, this->greatest), ""};
}

bool Milliseconds::Read(const Json& json,
                        std::chrono::milliseconds& value) const {
  std::uint64_t count = 0;
  if (!ReadWholeNumber(json, static_cast<std::uint64_t>(this->least.count()),
                       static_cast<std::uint64_t>(this->greatest.count()),
                       count)) {
    return false;
  }
  value = std::chrono::milliseconds(count);
  return true;
}

FormatReference Milliseconds::Describe() const {
  return {"whole number",
          RangeText(static_cast<std::uint64_t>(this->least.count()),
                    static_cast<std::uint64_t>(this->greatest.count())),
          "ms"};
}

bool Flag::Read(const Json& json, bool& value) const {
  if (!json.is_boolean()) {
    return false;
  }
  value = json.get<bool>();
  return true;
}

FormatReference Flag::Describe() const { return {"truth value", "", ""}; }

bool Name::IsName(std::string_view text) {
  return !text.empty() && text.size() <= kNameLimit &&
         IsLetterOrDigit(text.front()) &&
         std::all_of(text.begin(), text.end(), IsNameLetter);
}

bool Name::Read(const Json& json, std::string& value) const {
  if (!json.is_string() || !IsName(json.get_ref<const std::string&>())) {
    return false;
  }
  value = json.get<std::string>();
  return true;
}

FormatReference Name::Describe() const {
  return {"name", "1 to 63 of a-z, 0-9, '.', '_', '-'", ""};
}

bool Text::Read(const Json& json, std::string& value) const {
  if (!json.is_string()) {
    return false;
  }
  const auto& text = json.get_ref<const std::string&>();
  const bool blank = text.find_first_not_of(" \t\r\n") == std::string::npos;
  if (text.size() < this->least || text.size() > this->greatest ||
      (blank && this->least > 0)) {
    return false;
  }
  value = text;
  return true;
}

FormatReference Text::Describe() const {
  return {"text", RangeText(this->least, this->greatest), "bytes"};
}

bool HttpUrl::Read(const Json& json, std::string& value) const {
  if (!json.is_string()) {
    return false;
  }
  const auto& text = json.get_ref<const std::string&>();
  const bool http = text.rfind("http://", 0) == 0;
  const bool https = text.rfind("https://", 0) == 0;
  const bool printable = std::all_of(text.begin(), text.end(), [](char letter) {
    return letter > ' ' && letter <= '~';
  });
  if (!(http || https) || !printable || text.size() > kUrlLimit) {
    return false;
  }
  value = text;
  return true;
}

FormatReference HttpUrl::Describe() const {
  return {"URL", "http://... or https://...", ""};
}

bool EndpointText::Read(const Json& json, common::Endpoint& value) const {
  if (!json.is_string()) {
    return false;
  }
  const std::optional<common::Endpoint> endpoint =
      common::Endpoint::Parse(json.get_ref<const std::string&>());
  if (!endpoint || endpoint->port == 0) {
    return false;
  }
  const bool unspecified = endpoint->address == common::IpAddress() ||
                           endpoint->address == common::IpAddress::FromV4(0);
  if (unspecified && !this->any_address) {
    return false;
  }
  value = *endpoint;
  return true;
}

FormatReference EndpointText::Describe() const {
  return {"address and port", "IPV4:PORT or [IPV6]:PORT, port 1 to 65535", ""};
}

Json EndpointText::Write(const common::Endpoint& value) const {
  return value.port == 0 ? Json(nullptr) : Json(value.ToString());
}

}  // namespace sassafrasdyke::config
