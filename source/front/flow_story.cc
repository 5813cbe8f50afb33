#include "front/flow_story.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

namespace sassafrasdyke::front {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// What an instance believed or lost this long before the flow's first line and
/// after its last one may have caused it: a lease of a target's entry lapses
/// within four seconds.
constexpr milliseconds kAround{4000};

/// One line of the log.
struct LogLine {
  milliseconds time{0};
  std::string instance;
  std::string channel;
  std::string event;
  std::string reason;
  std::string target;
  Json fields;
};

std::string TextOf(const Json& json, const char* name) {
  const auto found = json.find(name);
  return found != json.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

std::optional<LogLine> ReadLine(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("time_ms") ||
      !json["time_ms"].is_number_integer()) {
    return std::nullopt;
  }
  LogLine line{milliseconds(json["time_ms"].get<std::int64_t>()),
               TextOf(json, "instance"),
               TextOf(json, "channel"),
               TextOf(json, "event"),
               TextOf(json, "reason"),
               TextOf(json, "target"),
               {}};
  if (line.event.empty()) {
    return std::nullopt;
  }
  line.fields = std::move(json);
  return line;
}

/// What a decision means for the client, and why it was made.
struct Meaning {
  std::string_view event;
  std::string_view reason;
  std::string_view sentence;
};

constexpr std::array kMeanings{
    Meaning{"placed", "local",
            "Its SYN went to a target of the client's own failure domain."},
    Meaning{"placed", "spilled",
            "Its SYN went to another failure domain, as too few targets of the "
            "own could serve."},
    Meaning{"placed", "relieved",
            "Its SYN went to another failure domain, as the own targets had "
            "enough to do."},
    Meaning{"placed", "shared",
            "Its SYN went to another failure domain, as the callers of the own "
            "needed more than its share."},
    Meaning{"placed", "evacuated",
            "Its SYN went to another failure domain, as the operator had "
            "evacuated the own."},
    Meaning{"placed", "suspected-only",
            "Every target had lately left SYNs unanswered; it went to the one "
            "whose failure was longest ago."},
    Meaning{"placed", "repeated",
            "The client repeated its SYN, so it had got no answer yet."},
    Meaning{"placed", "retried-elsewhere",
            "Its first target left the SYN unanswered; the copy went to "
            "another one."},
    Meaning{"held", "targets-busy",
            "Its SYN waited, as the targets had more requests than they answer "
            "in time."},
    Meaning{"refused", "no-route",
            "It was refused: no route was published at its address. Nothing "
            "has run."},
    Meaning{"refused", "no-target",
            "It was refused: no target of the route's services took new flows. "
            "Nothing has run."},
    Meaning{"refused", "evacuated",
            "It was refused: the targets that take new flows were all in "
            "evacuated failure domains. Nothing has run."},
    Meaning{"refused", "target-gone",
            "It was cut: its target had ended. A request on it may have run."},
    Meaning{"refused", "target-silent",
            "It was cut: its target took no connections while others did. A "
            "request on it may have run."},
    Meaning{"refused", "overloaded",
            "It was refused: no target could have served its SYN before its "
            "client gave up. Nothing has run."},
    Meaning{"dropped", "no-view",
            "Its packet was dropped: the instance knew nothing yet."},
    Meaning{"dropped", "stale-view",
            "Its packet was dropped: the instance's view was too old, or the "
            "store had returned too lately, to refuse it."},
    Meaning{"dropped", "unknown-target",
            "Its packet was dropped: it names a target that the instance "
            "didn't know."},
    Meaning{"dropped", "targets-cold",
            "Its SYN was dropped: all targets were warming up and had as many "
            "new flows as they bear."},
    Meaning{"dropped", "other-service",
            "Its packet was dropped: it names a target of a service that the "
            "route never used."},
    Meaning{"dropped", "outdated",
            "Its SYN was dropped: it came before the process stood still."},
    Meaning{"dropped", "not-a-clients",
            "Its packet was dropped: only targets send such."},
};

std::string MeaningOf(const LogLine& line) {
  const auto found = std::ranges::find_if(kMeanings, [&](const Meaning& known) {
    return known.event == line.event && known.reason == line.reason;
  });
  return found != kMeanings.end()
             ? std::string(found->sentence)
             : "The last decision was '" + line.event + "', '" + line.reason +
                   "', for which this release has no sentence.";
}

/// The fields that decided, in the order of their importance.
constexpr std::array kInputs{"reason",
                             "target",
                             "repeats",
                             "phase",
                             "evacuated",
                             "targets",
                             "published",
                             "replaced",
                             "gone_age_ms",
                             "answered_age_ms",
                             "probe",
                             "outcome",
                             "silent_now",
                             "probe_age_ms",
                             "flow_seen_ms",
                             "route_withdrawn_ms",
                             "why",
                             "for_ms",
                             "version",
                             "configuration",
                             "revision",
                             "view_age_ms",
                             "source",
                             "way",
                             "peer",
                             "unconfirmed_ms",
                             "last_digest_ms",
                             "highest_heard",
                             "copy",
                             "reading",
                             "substitute_in_ms",
                             "waiting",
                             "about",
                             "service",
                             "demand",
                             "slots",
                             "age_ms",
                             "reporters"};

std::string Describe(const LogLine& line) {
  std::string text = line.event;
  for (const char* const name : kInputs) {
    const auto found = line.fields.find(name);
    if (found != line.fields.end()) {
      text += std::string(" ") + name + "=" +
              (found->is_string() ? found->get<std::string>() : found->dump());
    }
  }
  return text;
}

/// Whether the line may explain a decision about a flow that `targets` got.
bool MayExplain(const LogLine& line, const std::set<std::string>& targets) {
  if (line.channel == "process" || line.event == "lines-left-out" ||
      line.event == "configuration-in-force" ||
      line.event == "evacuation-in-force" ||
      line.event == "evacuation-lifted" || line.event == "view-late" ||
      line.event == "domain-over-share" || line.event == "domain-below-share") {
    return true;
  }
  return line.channel == "view" && targets.contains(line.target);
}

std::string Conclude(const std::vector<LogLine>& decisions) {
  if (decisions.empty()) {
    return "No instance wrote a line about this flow: its packets reached none "
           "that lived and had room in its log. Look for lines 'started' "
           "without a 'stopped' before them, and 'lines-left-out'.";
  }
  const LogLine& last = decisions.back();
  std::string text = MeaningOf(last);
  const bool only_placed =
      std::ranges::all_of(decisions, [](const LogLine& line) {
        return line.event == "placed" || line.event == "held";
      });
  if (only_placed && decisions.size() > 1) {
    text += " Its SYN was sent on " +
            std::to_string(
                std::ranges::count(decisions, "placed", &LogLine::event)) +
            " times; the lines of its targets say whether they lived.";
  } else if (only_placed) {
    text +=
        " Packets of an established flow write no line: what failed later "
        "failed at the target or on the way.";
  }
  return text;
}

}  // namespace

FlowStory TellFlow(std::string_view flow,
                   const std::vector<std::string>& lines) {
  FlowStory story;
  std::vector<LogLine> decisions;
  std::vector<LogLine> others;
  for (const std::string& text : lines) {
    auto line = ReadLine(text);
    if (!line) {
      story.unreadable += text.empty() ? 0 : 1;
    } else if (TextOf(line->fields, "flow") == flow) {
      decisions.push_back(std::move(*line));
    } else if (line->channel != "flow") {
      others.push_back(std::move(*line));
    }
  }
  std::ranges::stable_sort(decisions, {}, &LogLine::time);
  story.conclusion = Conclude(decisions);
  std::set<std::string> targets;
  // An instance's clock may be seconds off another's, so each is compared with
  // its own lines only.
  std::map<std::string, std::pair<milliseconds, milliseconds>> spans;
  for (const LogLine& line : decisions) {
    targets.insert(line.target);
    const auto [span, added] =
        spans.try_emplace(line.instance, line.time, line.time);
    span->second.second = std::max(span->second.second, line.time);
  }
  targets.erase("");
  std::vector<LogLine> told = std::move(decisions);
  for (LogLine& line : others) {
    const auto span = spans.find(line.instance);
    const bool near = span != spans.end() &&
                      line.time >= span->second.first - kAround &&
                      line.time <= span->second.second + kAround;
    if (near && MayExplain(line, targets)) {
      told.push_back(std::move(line));
    }
  }
  std::ranges::stable_sort(told, {}, &LogLine::time);
  for (const LogLine& line : told) {
    story.lines.push_back({line.time, line.instance, Describe(line)});
  }
  return story;
}

std::string WriteStory(const FlowStory& story) {
  std::ostringstream text;
  const milliseconds start =
      story.lines.empty() ? milliseconds{0} : story.lines.front().time;
  for (const StoryLine& line : story.lines) {
    text << "+" << (line.time - start).count() << " ms " << line.instance
         << ": " << line.what << "\n";
  }
  text << story.conclusion << "\n";
  if (story.unreadable > 0) {
    text << story.unreadable << " lines of the files are none of the log's.\n";
  }
  return text.str();
}

}  // namespace sassafrasdyke::front
