#include "front/observation_codec.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "front/json_array.h"

namespace sassafrasdyke::front {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kVersion = 1;
/// Values are written as whole numbers of a hundredth of a request per second,
/// and of a thousandth of a concurrent request: summed over 1,000 instances
/// these are 10 and 1.
constexpr double kRateSteps = 100;
constexpr double kConcurrencySteps = 1000;
/// Largest value of a rate or concurrency that is written.
constexpr double kMaxValue = 1e6;
/// Upper bounds that keep eight targets within 200 bytes. An instance that
/// sends a target more requests in the period of the counts tells this many.
constexpr std::uint64_t kMaxTargetCount = 255;
constexpr std::uint64_t kMaxTargetTime = 65'535;  ///< In ms.
/// A weight is written in hundredths, with this added for a silent target.
constexpr double kWeightSteps = 100;
constexpr std::uint64_t kSilentMark = 128;
/// Bytes of a large entry; decides how many are left out at a time.
constexpr std::size_t kEntryBytes = 12;
/// Elements of an entry and of a target in their lists.
constexpr std::size_t kEntryElements = 4;
constexpr std::size_t kTargetElements = 7;
constexpr std::size_t kReportHead = 4;

std::uint64_t InSteps(double value, double steps) {
  const double bounded = value > 0 ? std::min(value, kMaxValue) : 0.0;
  return static_cast<std::uint64_t>(std::llround(bounded * steps));
}

std::uint64_t BoundedCount(std::uint64_t count) {
  return std::min(count, kMaxTargetCount);
}

std::uint64_t BoundedTime(std::chrono::milliseconds time) {
  return std::min(Millis(time), kMaxTargetTime);
}

/// Values that are written once, by position.
template <typename Value>
class Table {
 public:
  std::size_t PositionOf(const Value& value) {
    const auto found = std::ranges::find(this->values, value);
    if (found == this->values.end()) {
      this->values.push_back(value);
      return this->values.size() - 1;
    }
    return static_cast<std::size_t>(found - this->values.begin());
  }
  const std::vector<Value>& Values() const { return this->values; }

 private:
  std::vector<Value> values;
};

/// Writes all parts of one text.
class Writer {
 public:
  std::string Write(const core::PeerObservations& observations) {
    Json heard = Json::array();
    for (const core::DomainContact& contact : observations.heard) {
      heard.push_back(this->domains.PositionOf(contact.domain));
      heard.push_back(Millis(contact.heard_ago));
    }
    Json own;
    if (observations.own) {
      own = Json::array();
      this->Append(own, *observations.own);
    }
    Json reports = Json::array();
    for (const core::DomainReport& report : observations.domains) {
      reports.push_back(Json::array({this->domains.PositionOf(report.domain),
                                     report.instances, report.reporters,
                                     Millis(report.age)}));
      this->Append(reports.back(), report.mean);
    }
    const Json all = Json::array(
        {kVersion, observations.sent_at.count(), this->domains.Values(),
         this->services.Values(), std::move(heard), std::move(own),
         std::move(reports), Targets(observations)});
    std::string text;
    Json::to_msgpack(all, text);
    return text;
  }

 private:
  void Append(Json& list, const core::LoadReport& report) {
    for (const core::LoadEntry& entry : report.entries) {
      list.push_back(this->services.PositionOf(entry.service.value));
      list.push_back(this->domains.PositionOf(entry.target_domain));
      list.push_back(InSteps(entry.requests_per_s, kRateSteps));
      list.push_back(InSteps(entry.concurrency, kConcurrencySteps));
    }
  }
  static Json Targets(const core::PeerObservations& observations) {
    Json list = Json::array();
    for (const core::TargetObservation& target : observations.targets) {
      list.push_back(target.target.value);
      list.push_back(BoundedCount(target.requests));
      list.push_back(BoundedCount(target.failures));
      list.push_back(BoundedCount(target.answers));
      list.push_back(BoundedTime(target.mean_time));
      list.push_back(InSteps(std::min(target.weight, 1.0), kWeightSteps) +
                     (target.silent ? kSilentMark : 0));
      list.push_back(BoundedTime(target.age));
    }
    return list;
  }

  Table<std::string> domains;
  Table<std::uint32_t> services;
};

/// Removes the smallest entry of the longest report. Returns false if no report
/// has entries.
bool LeaveOutEntry(core::PeerObservations& observations) {
  core::LoadReport* longest = observations.own ? &*observations.own : nullptr;
  for (core::DomainReport& report : observations.domains) {
    if (longest == nullptr ||
        report.mean.entries.size() > longest->entries.size()) {
      longest = &report.mean;
    }
  }
  if (longest == nullptr || longest->entries.empty()) {
    return false;
  }
  longest->entries.pop_back();
  return true;
}

/// Removes something else; of targets there are never too many.
void LeaveOutPart(core::PeerObservations& observations) {
  if (!observations.domains.empty()) {
    observations.domains.pop_back();
  } else if (!observations.heard.empty()) {
    observations.heard.pop_back();
  } else {
    observations.targets.pop_back();
  }
}

/// Removes about as many entries as take `bytes`, or one part.
void Shorten(core::PeerObservations& observations, std::size_t bytes) {
  if (!LeaveOutEntry(observations)) {
    LeaveOutPart(observations);
    return;
  }
  for (std::size_t left_out = kEntryBytes;
       left_out < bytes && LeaveOutEntry(observations);
       left_out += kEntryBytes) {
  }
}

/// Reads the parts of a text. After the first wrong one `Good` is false.
class Reader {
 public:
  explicit Reader(const Json& json) : json(json, 8) {}

  std::optional<core::PeerObservations> Read() {
    core::PeerObservations observations;
    this->good = this->json.Number() == kVersion;
    observations.sent_at = std::chrono::milliseconds(
        static_cast<std::int64_t>(this->json.Number() & kMaxSentAt));
    this->ReadTables();
    this->ReadHeard(this->json.Next(), observations.heard);
    const Json& own = this->json.Next();
    if (!own.is_null()) {
      ArrayReader entries(own, own.size());
      this->ReadEntries(entries, own.size(), observations.own.emplace());
    }
    const Json& reports = this->json.Next();
    this->good = this->good && reports.is_array();
    for (std::size_t i = 0; this->good && i < reports.size(); ++i) {
      this->ReadReport(reports[i], observations.domains.emplace_back());
    }
    this->ReadTargets(this->json.Next(), observations.targets);
    if (!this->good || !this->json.Good()) {
      return std::nullopt;
    }
    return observations;
  }

 private:
  static constexpr std::uint64_t kMaxSentAt = (1ULL << 62U) - 1;

  void ReadTables() {
    const Json& names = this->json.Next();
    ArrayReader domain(names, names.size());
    for (std::size_t i = 0; domain.Good() && i < names.size(); ++i) {
      this->domains.push_back(domain.Text());
    }
    const Json& keys = this->json.Next();
    ArrayReader service(keys, keys.size());
    for (std::size_t i = 0; service.Good() && i < keys.size(); ++i) {
      this->services.push_back({static_cast<std::uint32_t>(service.Number())});
    }
    this->good = this->good && domain.Good() && service.Good();
  }
  void ReadHeard(const Json& list, std::vector<core::DomainContact>& heard) {
    ArrayReader reader(list, list.size());
    for (std::size_t i = 0; reader.Good() && i < list.size(); i += 2) {
      core::DomainContact contact;
      contact.domain = this->Named(this->domains, reader);
      contact.heard_ago = reader.Time();
      heard.push_back(std::move(contact));
    }
    this->good = this->good && reader.Good();
  }
  /// Reads the last `elements` of a list.
  void ReadEntries(ArrayReader& reader, std::size_t elements,
                   core::LoadReport& report) {
    for (std::size_t i = 0; reader.Good() && i < elements;
         i += kEntryElements) {
      core::LoadEntry entry;
      entry.service = this->Named(this->services, reader);
      entry.target_domain = this->Named(this->domains, reader);
      entry.requests_per_s = static_cast<double>(reader.Number()) / kRateSteps;
      entry.concurrency =
          static_cast<double>(reader.Number()) / kConcurrencySteps;
      report.entries.push_back(std::move(entry));
    }
    this->good = this->good && reader.Good();
  }
  void ReadReport(const Json& list, core::DomainReport& report) {
    ArrayReader reader(list, list.size());
    report.domain = this->Named(this->domains, reader);
    report.instances = reader.Number();
    report.reporters = reader.Number();
    report.age = reader.Time();
    this->ReadEntries(reader, std::max(list.size(), kReportHead) - kReportHead,
                      report.mean);
  }
  void ReadTargets(const Json& list,
                   std::vector<core::TargetObservation>& targets) {
    ArrayReader reader(list, list.size());
    for (std::size_t i = 0; reader.Good() && i < list.size();
         i += kTargetElements) {
      core::TargetObservation target;
      target.target = {reader.Number()};
      target.requests = ReadCount(reader);
      target.failures = ReadCount(reader);
      target.answers = ReadCount(reader);
      target.mean_time = reader.Time();
      const std::uint64_t weight = reader.Number();
      target.silent = weight >= kSilentMark;
      target.weight = std::min(
          static_cast<double>(weight % kSilentMark) / kWeightSteps, 1.0);
      target.age = reader.Time();
      targets.push_back(target);
    }
    this->good = this->good && reader.Good() &&
                 targets.size() <= core::kMaxTargetObservations;
  }
  static std::uint32_t ReadCount(ArrayReader& reader) {
    return static_cast<std::uint32_t>(BoundedCount(reader.Number()));
  }
  /// The value at the position that is read next.
  template <typename Value>
  Value Named(const std::vector<Value>& values, ArrayReader& reader) {
    const std::uint64_t position = reader.Number();
    this->good = this->good && position < values.size();
    return this->good ? values[position] : Value{};
  }

  ArrayReader json;
  std::vector<std::string> domains;
  std::vector<core::ServiceKey> services;
  bool good{true};
};

}  // namespace

std::string EncodeObservations(const core::PeerObservations& observations) {
  if (observations.Empty()) {
    return {};
  }
  std::string text = Writer().Write(observations);
  if (text.size() <= kMaxObservationBytes) {
    return text;
  }
  core::PeerObservations shorter = observations;
  while (text.size() > kMaxObservationBytes) {
    Shorten(shorter, text.size() - kMaxObservationBytes);
    text = Writer().Write(shorter);
  }
  return text;
}

std::optional<core::PeerObservations> DecodeObservations(
    const std::string& text) {
  if (text.size() > kMaxObservationBytes) {
    return std::nullopt;
  }
  return Reader(Json::from_msgpack(text, true, false)).Read();
}

}  // namespace sassafrasdyke::front
