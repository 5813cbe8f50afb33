#include "front/front_log.h"

#include <cmath>
#include <variant>

namespace sassafrasdyke::front {
namespace {

template <typename... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

std::string_view Word(ChangeWay way) {
  switch (way) {
    case ChangeWay::kListing:
      return "listing";
    case ChangeWay::kWatch:
      return "watch";
    case ChangeWay::kDigest:
      return "digest";
    case ChangeWay::kCopy:
      return "copy";
    case ChangeWay::kTimer:
      return "timer";
  }
  return "unknown";
}

std::string_view SourceOf(const ChangeOrigin& origin) {
  return origin.peer ? "peer" : "store";
}

/// The event of a view's line, and its own fields.
struct ViewLine {
  std::string_view event;
  LineFields fields;
};

ViewLine LineOf(const core::ViewChange& change) {
  return std::visit(
      Overloaded{
          [](const core::ConfigurationInForce& in_force) {
            return ViewLine{
                "configuration-in-force",
                {{"version", in_force.version}, {"routes", in_force.routes}}};
          },
          [](const core::ConfigurationRefused& refused) {
            return ViewLine{
                "configuration-older",
                {{"version", refused.version}, {"in_force", refused.in_force}}};
          },
          [](const core::ItemUnreadable& unreadable) {
            return ViewLine{
                "item-unreadable",
                {{"key", unreadable.key}, {"why", unreadable.fault}}};
          },
          [](const core::TargetChange& target) {
            ViewLine line{"target",
                          {{"target", target.name},
                           {"service", target.service},
                           {"address", target.address.ToString()},
                           {"phase", core::Word(target.phase)}}};
            if (target.started_at) {
              line.fields["started_unix_ms"] = target.started_at->count();
            }
            if (target.replaced) {
              line.fields["replaced_by"] = target.replaced_by;
            }
            return line;
          },
          [](const core::RegionUnknown& unknown) {
            return ViewLine{"region-unknown", {{"unknown", unknown.domain}}};
          },
          [](const core::EvacuationChange& evacuation) {
            ViewLine line{evacuation.in_force ? "evacuation-in-force"
                                              : "evacuation-lifted",
                          {{"evacuated", evacuation.domain},
                           {"targets", evacuation.targets}}};
            if (evacuation.in_force) {
              line.fields["published"] = evacuation.revision.value;
            }
            return line;
          }},
      change);
}

/// Names the target of a flow that is reset, and what showed its end.
void AddEvidence(LineFields& fields, const DecisionTarget& target,
                 std::chrono::milliseconds now) {
  fields["target"] = target.entry.name;
  fields["phase"] = core::Word(target.entry.phase);
  if (target.entry.phase == core::TargetPhase::kGone) {
    fields["replaced"] = target.entry.replaced;
    fields["gone_age_ms"] = (now - target.entry.gone_at).count();
  }
  if (target.signs.answered_at) {
    fields["answered_age_ms"] = (now - *target.signs.answered_at).count();
  }
  if (target.signs.probe) {
    fields["probe"] = core::Word(*target.signs.probe);
    fields["probe_age_ms"] = (now - target.signs.probed_at).count();
  }
}

/// Names what shows whether the view is newer than the flow.
void AddHistory(LineFields& fields, const DecisionInputs& inputs) {
  if (inputs.flow_seen) {
    fields["flow_seen_ms"] = inputs.flow_seen->count();
  }
  if (inputs.route_withdrawn) {
    fields["route_withdrawn_ms"] = inputs.route_withdrawn->count();
  }
}

/// Resets of open flows have a budget of their own: in the rush of new flows
/// after a common end of targets, their lines would be left out.
LineKind KindOf(const core::FlowPacket& packet,
                const core::SteeringAction& action) {
  const bool resets_open =
      std::holds_alternative<core::Refuse>(action) && !packet.flags.syn;
  return resets_open ? LineKind::kReset : LineKind::kFlow;
}

}  // namespace

void FrontLog::OnDecision(const core::FlowPacket& packet,
                          const core::SteeringAction& action,
                          const std::optional<DecisionTarget>& target,
                          const DecisionInputs& inputs,
                          std::chrono::milliseconds now) {
  LineFields fields{{"flow", packet.flow.ToString()}};
  std::string_view event;
  if (const auto* sent = std::get_if<core::SendToTarget>(&action)) {
    event = "placed";
    fields["reason"] = Word(sent->reason);
    fields["target"] = target->entry.name;
    fields["domain"] = target->entry.published.domain;
    fields["repeats"] = packet.repeats;
  } else if (const auto* refused = std::get_if<core::Refuse>(&action)) {
    event = "refused";
    fields["reason"] = Word(refused->reason);
    fields["opening"] = packet.flags.syn;
    fields["word"] = packet.word.value;
    AddHistory(fields, inputs);
    if (refused->reason == core::RefusalReason::kOverloaded) {
      fields["repeats"] = packet.repeats;
      fields["waiting"] = inputs.waiting;
    }
    if (target) {
      AddEvidence(fields, *target, now);
    }
  } else if (std::holds_alternative<core::HoldBack>(action)) {
    event = "held";
    fields["reason"] = "targets-busy";
    fields["repeats"] = packet.repeats;
    fields["waiting"] = inputs.waiting;
  } else {
    event = "dropped";
    fields["reason"] = Word(std::get<core::SilentDrop>(action).reason);
    fields["opening"] = packet.flags.syn;
    fields["word"] = packet.word.value;
    AddHistory(fields, inputs);
  }
  fields["configuration"] = inputs.configuration;
  fields["revision"] = inputs.revision.value;
  if (inputs.view_age) {
    fields["view_age_ms"] = inputs.view_age->count();
  }
  this->lines.Write(KindOf(packet, action), event, fields, now);
}

void FrontLog::OnViewChange(const core::ViewChange& change,
                            const ChangeOrigin& origin,
                            const DecisionInputs& inputs,
                            std::chrono::milliseconds now) {
  ViewLine line = LineOf(change);
  line.fields["source"] = SourceOf(origin);
  line.fields["way"] = Word(origin.way);
  if (origin.peer) {
    line.fields["peer"] = origin.peer->ToString();
  }
  if (origin.unconfirmed) {
    line.fields["unconfirmed_ms"] = origin.unconfirmed->count();
  }
  line.fields["revision"] = inputs.revision.value;
  if (inputs.view_age &&
      std::holds_alternative<core::EvacuationChange>(change)) {
    line.fields["view_age_ms"] = inputs.view_age->count();
  }
  this->lines.Write(LineKind::kView, line.event, line.fields, now);
}

void FrontLog::OnLateView(const core::LateView& late, common::Revision revision,
                          std::chrono::milliseconds now) {
  LineFields fields{{"view_age_ms", late.age.count()},
                    {"revision", revision.value},
                    {"highest_heard", late.highest_heard.value},
                    {"copy", Word(late.copy)},
                    {"reading", core::Word(late.reading)},
                    {"substitute_in_ms", late.substitute_in.count()}};
  if (late.last_digest_ago) {
    fields["last_digest_ms"] = late.last_digest_ago->count();
  }
  this->lines.Write(LineKind::kView, "view-late", fields, now);
}

void FrontLog::OnProbe(const std::string& target, core::ProbeOutcome outcome,
                       bool silent_now, std::chrono::milliseconds now) {
  this->lines.Write(LineKind::kView, "probe",
                    {{"target", target},
                     {"outcome", Word(outcome)},
                     {"silent_now", silent_now}},
                    now);
}

void FrontLog::OnReachability(const core::DomainLoad& load, std::uint64_t slots,
                              std::chrono::milliseconds now) {
  std::string_view event = "domain-unreachable";
  if (load.reachable) {
    event = "domain-reachable";
  }
  this->lines.Write(LineKind::kLoad, event,
                    {{"about", load.domain},
                     {"concurrency", std::round(load.concurrency * 10) / 10},
                     {"slots", slots},
                     {"age_ms", load.age.count()},
                     {"reporters", load.reporters}},
                    now);
}

void FrontLog::OnShareChange(const core::ShareChange& change,
                             std::chrono::milliseconds now) {
  const std::string_view event =
      change.over ? "domain-over-share" : "domain-below-share";
  this->lines.Write(LineKind::kLoad, event,
                    {{"about", change.domain},
                     {"service", change.service},
                     {"demand", change.demand},
                     {"concurrency", change.concurrency},
                     {"slots", change.slots},
                     {"age_ms", change.age.count()},
                     {"reporters", change.reporters}},
                    now);
}

void FrontLog::OnHealthChange(const std::string& target,
                              const core::HealthChange& change,
                              std::chrono::milliseconds now) {
  LineFields fields{{"target", target}, {"why", Word(change.why)}};
  if (change.why != core::OutlierState::kSilent) {
    const core::OutlierEvaluation& evidence = change.evidence;
    fields["requests"] = std::llround(evidence.requests);
    fields["failures"] = std::llround(evidence.failures);
    fields["mean_ms"] = std::llround(evidence.mean_ms);
    fields["median_ms"] = std::llround(evidence.median_ms);
    fields["reporters"] = evidence.reporters;
  }
  this->lines.Write(LineKind::kHealth, Word(change.event), fields, now);
}

void FrontLog::OnNote(std::string_view event, const LineFields& fields,
                      std::chrono::milliseconds now) {
  this->lines.Write(LineKind::kProcess, event, fields, now);
}

}  // namespace sassafrasdyke::front
