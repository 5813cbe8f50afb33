#include "rig/report.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace sassafrasdyke::rig {
namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;
constexpr int kLabelWidth = 34;

double Milliseconds(std::chrono::microseconds time) {
  return static_cast<double>(time.count()) / kMicrosecondsPerMillisecond;
}

/// A number with at most three decimals, and without needless zeros.
std::string Text(double value) {
  std::ostringstream out;
  out.precision(4);
  out << value;
  return out.str();
}

class Table {
 public:
  void Row(const std::string& label, const std::string& value,
           const std::string& note = "") {
    this->text << "  " << label
               << std::string(static_cast<std::size_t>(std::max<std::ptrdiff_t>(
                                  1, kLabelWidth - static_cast<std::ptrdiff_t>(
                                                       label.size()))),
                              ' ')
               << value << (note.empty() ? "" : "   " + note) << '\n';
  }
  void Row(const std::string& label, std::uint64_t value,
           const std::string& note = "") {
    this->Row(label, std::to_string(value), note);
  }
  void Title(const std::string& title) { this->text << title << '\n'; }
  std::string Get() const { return this->text.str(); }

 private:
  std::ostringstream text;
};

std::optional<double> SlowestChange(const Report& report) {
  if (report.configuration_seconds.empty()) {
    return std::nullopt;
  }
  return *std::max_element(report.configuration_seconds.begin(),
                           report.configuration_seconds.end());
}

void AddOutcomes(Table& table, const Report& report) {
  const Tally& tally = report.tally;
  table.Row("flows", tally.flows,
            std::to_string(tally.established) + " established, " +
                std::to_string(tally.refused) + " refused as not run, " +
                std::to_string(tally.failed_opens) + " never answered");
  table.Row("requests run", tally.requests,
            std::to_string(tally.answers) + " whole answers, median " +
                Text(Milliseconds(report.answer_median)) + " ms, p99 " +
                Text(Milliseconds(report.answer_p99)) + " ms");
  table.Row("broken flows", tally.Broken(),
            std::to_string(tally.broken_reset) + " by RST, " +
                std::to_string(tally.broken_timeout) + " by timeout, " +
                std::to_string(tally.broken_unanswered) + " unanswered");
  table.Row("lost with a failed target", tally.lost_with_target);
  table.Row("misrouted packets", tally.misrouted, "must be 0");
  table.Row("double runs", tally.double_runs, "must be 0");
  table.Row("false \"not run\"", tally.false_not_run, "must be 0");
  table.Row("answers not their own", tally.foreign_answers, "must be 0");
  table.Row("answers cut short", tally.incomplete_answers);
  table.Row("new flows on draining targets", tally.late_placements,
            "more than 5 s after the drain");
}

}  // namespace

nlohmann::ordered_json ToJson(const Report& report) {
  const Tally& tally = report.tally;
  nlohmann::ordered_json imbalance = nlohmann::ordered_json::object();
  nlohmann::ordered_json wait = nlohmann::ordered_json::object();
  for (const ServiceReport& service : report.services) {
    imbalance[service.name] = service.balance.imbalance;
    wait[service.name] = {{"mean", Milliseconds(service.balance.mean_wait)},
                          {"p99", Milliseconds(service.balance.p99_wait)}};
  }
  nlohmann::ordered_json json = {
      {"scenario", report.scenario},
      {"fleet", report.fleet},
      {"seed", report.seed},
      {"seconds", report.load_seconds},
      {"flows", tally.flows},
      {"established", tally.established},
      {"finished", tally.finished},
      {"failed_opens", tally.failed_opens},
      {"refused", tally.refused},
      {"requests", tally.requests},
      {"answers", tally.answers},
      {"broken", tally.Broken()},
      {"broken_reset", tally.broken_reset},
      {"broken_timeout", tally.broken_timeout},
      {"broken_unanswered", tally.broken_unanswered},
      {"lost_with_target", tally.lost_with_target},
      {"misrouted", tally.misrouted},
      {"double_runs", tally.double_runs},
      {"false_not_run", tally.false_not_run},
      {"foreign_answers", tally.foreign_answers},
      {"incomplete_answers", tally.incomplete_answers},
      {"late_placements", tally.late_placements},
      {"ignored_resets", tally.ignored_resets},
      {"malformed", tally.malformed},
      {"imbalance", imbalance},
      {"wait_ms", wait},
      {"answer_ms",
       {{"median", Milliseconds(report.answer_median)},
        {"p99", Milliseconds(report.answer_p99)}}},
      {"packets",
       {{"sprayed", report.fabric.sprayed},
        {"answers", report.fabric.answers},
        {"resets", report.fabric.resets},
        {"redirects", report.fabric.redirects},
        {"lost", report.fabric.lost}}},
      {"configuration_seconds", nullptr},
      {"configuration_changes", report.configuration_seconds.size()},
      {"configuration_unfinished", report.configuration_unfinished},
      {"control_bytes_per_second", nullptr},
      {"platform_calls_per_second", report.platform_calls_per_second},
      {"crashes", report.crashes}};
  if (const auto slowest = SlowestChange(report)) {
    json["configuration_seconds"] = *slowest;
  }
  json["data_cpu_ms"] = report.data_cpu.count();
  if (report.flood) {
    json["flood"] = {
        {"sent", report.flood->sent},
        {"delivered", report.flood->delivered},
        {"delivered_per_second",
         static_cast<double>(report.flood->delivered) / report.flood->seconds}};
  }
  if (report.control_bytes_per_second) {
    json["control_bytes_per_second"] = *report.control_bytes_per_second;
  }
  return json;
}

std::string ToTable(const Report& report) {
  Table table;
  table.Title(report.fleet + " (" + report.scenario + ", seed " +
              std::to_string(report.seed) + ", " + Text(report.load_seconds) +
              " s)");
  AddOutcomes(table, report);
  for (const ServiceReport& service : report.services) {
    table.Row("imbalance of " + service.name, Text(service.balance.imbalance),
              "greatest over mean new flows on a target; mean wait " +
                  Text(Milliseconds(service.balance.mean_wait)) + " ms, p99 " +
                  Text(Milliseconds(service.balance.p99_wait)) + " ms");
  }
  const auto slowest = SlowestChange(report);
  table.Row("configuration in force everywhere",
            slowest ? Text(*slowest) + " s" : "not measured",
            std::to_string(report.configuration_seconds.size()) +
                " changes, the slowest; " +
                std::to_string(report.configuration_unfinished) +
                " never seen by all");
  table.Row("control bytes a second",
            report.control_bytes_per_second
                ? Text(*report.control_bytes_per_second)
                : "not measured",
            "mean of an instance");
  table.Row("platform calls a second", Text(report.platform_calls_per_second));
  if (report.flood) {
    table.Row("packets sent in a flood", report.flood->sent);
    table.Row("of those, at targets", report.flood->delivered,
              Text(static_cast<double>(report.flood->delivered) /
                   report.flood->seconds) +
                  " a second");
  }
  table.Row("data path's processor time",
            std::to_string(report.data_cpu.count()) + " ms",
            "of all instances");
  table.Row("instances crashed", report.crashes, "must be 0");
  return table.Get();
}

bool Sound(const Report& report) {
  const Tally& tally = report.tally;
  return tally.misrouted == 0 && tally.double_runs == 0 &&
         tally.false_not_run == 0 && tally.foreign_answers == 0 &&
         (tally.answers > 0 || report.flood) && report.crashes == 0;
}

}  // namespace sassafrasdyke::rig
