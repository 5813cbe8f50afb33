#include "observe/log_line.h"

#include <array>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "observe/fault_json.h"
#include "observe/words.h"

namespace sassafrasdyke::observe {
namespace {

using Json = nlohmann::ordered_json;

/// "2026-01-31T12:00:00.000Z".
std::string Timestamp(std::chrono::system_clock::time_point time) {
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch());
  const std::time_t seconds = since_epoch.count() / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  constexpr std::size_t kRoom = 32;
  std::array<char, kRoom> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  // The leading 1 keeps the zeros of the fraction and is cut off.
  const std::string fraction =
      std::to_string(1000 + since_epoch.count() % 1000).substr(1);
  return std::string(date.data()) + "." + fraction + "Z";
}

std::string_view WordOf(config::LogLevel level) {
  switch (level) {
    case config::LogLevel::kTrace:
      return "trace";
    case config::LogLevel::kDebug:
      return "debug";
    case config::LogLevel::kInfo:
      return "info";
    case config::LogLevel::kWarn:
      return "warn";
    case config::LogLevel::kError:
      return "error";
  }
  return "unknown";
}

/// Adds the fields of one event to a line.
class FieldWriter {
 public:
  FieldWriter(Json& json, const core::Configuration* configuration)
      : json(json), configuration(configuration) {}

  LogChannel channel{LogChannel::kProcess};
  config::LogLevel level{config::LogLevel::kInfo};

  void operator()(const core::Decision& decision) {
    std::visit(*this, decision);
  }

  void operator()(const core::FlowDecision& decision) {
    this->channel = LogChannel::kFlow;
    this->json["flow"] = decision.flow.ToString();
    this->json["fingerprint"] = Hex(decision.fingerprint.value);
    this->WritePartition(decision.partition);
    std::visit(*this, decision.what);
  }

  void operator()(const core::FlowPlaced& placed) {
    this->WriteDecision("placed", Word(placed.reason));
    this->json["target"] = placed.target.value;
  }

  void operator()(const core::FlowReset& reset) {
    this->WriteDecision("reset", Word(reset.reason));
  }

  void operator()(const core::FlowDropped& dropped) {
    this->WriteDecision("dropped", Word(dropped.reason));
  }

  void operator()(const core::FlowRecovered& recovered) {
    this->WriteDecision("recovered", Word(recovered.reason));
    this->json["target"] = recovered.target.value;
  }

  void operator()(const core::PartitionDecision& decision) {
    this->channel = LogChannel::kPartition;
    this->WritePartition(decision.partition);
    this->json["decision"] = Word(decision.event);
    if (decision.other.value != 0) {
      this->json["other"] = decision.other.value;
    }
  }

  void operator()(const core::FleetDecision& decision) {
    this->channel = LogChannel::kFleet;
    std::visit(*this, decision);
  }

  void operator()(const core::DocumentAccepted& accepted) {
    this->json["decision"] = "document-accepted";
    this->json["document"] = Word(accepted.kind);
    this->json["accepted"] = accepted.revision.value;
    this->json["from"] = accepted.from.value;
  }

  void operator()(const core::DocumentRefused& refused) {
    this->level = config::LogLevel::kError;
    this->json["decision"] = "document-refused";
    this->json["document"] = Word(refused.kind);
    this->json["refused"] = refused.revision.value;
    WriteFaults(refused, this->json);
  }

  void operator()(const core::MemberChanged& changed) {
    this->level = config::LogLevel::kWarn;
    this->json["decision"] = "member-changed";
    this->json["about"] = changed.about.value;
    this->json["use"] = Word(changed.use);
    Json confirmed = Json::array();
    for (const common::InstanceId instance : changed.confirmed_by) {
      confirmed.push_back(instance.value);
    }
    this->json["confirmed_by"] = std::move(confirmed);
  }

  void operator()(const core::LeaseChanged& changed) {
    this->level = config::LogLevel::kWarn;
    this->json["decision"] = "lease-changed";
    this->json["lease"] = Word(changed.lease);
  }

  void operator()(const ProcessNote& note) {
    this->channel = note.channel;
    this->level = note.level;
    this->json["event"] = note.event;
    if (!note.detail.empty()) {
      this->json["detail"] = note.detail;
    }
  }

 private:
  void WritePartition(const core::PartitionKey& partition) {
    this->json["service"] = NameOf(partition.service, this->configuration);
    this->json["partition"] = partition.partition.value;
  }

  void WriteDecision(std::string_view decision, std::string_view reason) {
    this->json["decision"] = decision;
    this->json["reason"] = reason;
  }

  Json& json;
  const core::Configuration* configuration;
};

}  // namespace

std::string_view Word(LogChannel channel) {
  switch (channel) {
    case LogChannel::kFlow:
      return "flow";
    case LogChannel::kPartition:
      return "partition";
    case LogChannel::kFleet:
      return "fleet";
    case LogChannel::kPlatform:
      return "platform";
    case LogChannel::kPeer:
      return "peer";
    case LogChannel::kDatapath:
      return "datapath";
    case LogChannel::kProcess:
      return "process";
  }
  return "unknown";
}

LogLine WriteLine(const LogIdentity& identity, const LogEvent& event) {
  const core::Configuration* const configuration = event.configuration.get();
  Json fields = Json::object();
  FieldWriter writer(fields, configuration);
  std::visit(writer, event.what);
  Json json = {{"time", Timestamp(event.time)},
               {"level", WordOf(writer.level)},
               {"channel", Word(writer.channel)},
               {"instance", identity.instance.value},
               {"domain", identity.domain.value},
               {"revision",
                configuration == nullptr ? 0 : configuration->revision.value}};
  json.update(fields);
  // A peer's or operator's text may hold any bytes; a throwing dump would end
  // the writer, and with it the whole log.
  return {writer.channel, writer.level,
          json.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

}  // namespace sassafrasdyke::observe
