#include "app/explain_command.h"

#include <charconv>
#include <memory>
#include <sstream>
#include <utility>
#include <vector>

#include "app/http_get.h"
#include "app/text_file.h"
#include "config/configuration_reader.h"
#include "front/flow_story.h"
#include "observe/flow_explanation.h"

namespace sassafrasdyke::app {
namespace {

/// The files that an explanation needs, as written on the command line.
struct ExplainFiles {
  std::string configuration;
  /// Without it the owner and the standby stay unknown.
  std::optional<std::string> instances;
  std::optional<common::DomainId> domain;
};

std::optional<common::DomainId> ParseDomain(std::string_view text) {
  common::DomainId domain;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, domain.value);
  if (error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return domain;
}

/// Reads a file by a reader of `config`; writes its faults.
template <auto kRead>
auto ReadFile(const std::string& path, const Streams& streams)
    -> std::optional<std::remove_cvref_t<decltype(*kRead({}))>> {
  const auto text = ReadTextFile(path);
  if (!text) {
    streams.err << text.error() << "\n";
    return std::nullopt;
  }
  auto read = kRead(*text);
  if (!read) {
    WriteFaults(streams.err, path, read.error());
    return std::nullopt;
  }
  return std::move(*read);
}

/// The view of an instance that knows the published list and no more.
core::FleetView ViewOf(const core::InstanceList& list,
                       common::DomainId domain) {
  core::FleetView view;
  view.domain = domain;
  for (const core::Instance& instance : list.instances) {
    const bool leaving = instance.state == core::InstanceState::kLeaving;
    view.instances.push_back(
        {instance.id, instance.domain, instance.incarnation, instance.tunnel,
         leaving ? core::InstanceUse::kLeaving : core::InstanceUse::kOwner});
  }
  return view;
}

ExitCode ExplainFromFiles(const ExplainFiles& files,
                          const common::FlowKey& flow, const Streams& streams) {
  const auto configuration =
      ReadFile<&config::ReadConfigurationText>(files.configuration, streams);
  std::optional<core::InstanceList> list{std::in_place};
  if (files.instances) {
    list = ReadFile<&config::ReadInstancesText>(*files.instances, streams);
  }
  if (!configuration || !list) {
    return ExitCode::kInvalid;
  }
  const bool in_domain =
      configuration->policy.fabric_scope == core::FabricScope::kDomain;
  if (in_domain && !files.domain) {
    streams.err << "the fabric stays inside a failure domain: say which one "
                   "with --domain\n";
    return ExitCode::kInvalid;
  }
  const auto shared =
      std::make_shared<const core::Configuration>(*configuration);
  const core::FleetView view =
      ViewOf(*list, files.domain.value_or(common::DomainId{}));
  const auto explanation = observe::ExplainFlow(flow, shared, view);
  if (!explanation) {
    streams.err << explanation.error() << "\n";
    return ExitCode::kFailure;
  }
  streams.out << observe::WriteExplanation(*explanation, *shared, view);
  return ExitCode::kSuccess;
}

ExitCode ExplainLive(const std::string& address, const common::FlowKey& flow,
                     const Streams& streams) {
  const auto endpoint = common::Endpoint::Parse(address);
  if (!endpoint) {
    streams.err << "--live is not an address and port: " << address << "\n";
    return ExitCode::kInvalid;
  }
  const auto answer = HttpGet(*endpoint, "/explain", {"flow", flow.ToString()});
  if (!answer) {
    streams.err << answer.error() << "\n";
    return ExitCode::kFailure;
  }
  streams.out << *answer;
  return ExitCode::kSuccess;
}

/// Tells the flow's story from logs of `front`. `flow` stays text: it is looked
/// for as the log writes it.
ExitCode ExplainFromLogs(const std::vector<std::string>& files,
                         const std::string& flow, const Streams& streams) {
  std::vector<std::string> lines;
  for (const std::string& file : files) {
    const auto text = ReadTextFile(file);
    if (!text) {
      streams.err << text.error() << "\n";
      return ExitCode::kInvalid;
    }
    std::istringstream all(*text);
    for (std::string line; std::getline(all, line);) {
      lines.push_back(std::move(line));
    }
  }
  const front::FlowStory story = front::TellFlow(flow, lines);
  streams.out << front::WriteStory(story);
  return story.lines.empty() ? ExitCode::kFailure : ExitCode::kSuccess;
}

}  // namespace

void ExplainCommand::Declare(cxxopts::Options& options) const {
  options.custom_help(
      "--flow FLOW (--logs FILE,... | --live ADDRESS | --configuration FILE "
      "[--instances FILE] [--domain ID])");
  options.add_options()("flow", "The flow, as 'SRC:PORT->DST:PORT'",
                        cxxopts::value<std::string>(), "FLOW")(
      "logs",
      "Logs of `front`, of any instances; tells what became of the flow",
      cxxopts::value<std::vector<std::string>>(), "FILE,...")(
      "live", "Ask the instance whose metrics port is at this address",
      cxxopts::value<std::string>(),
      "ADDRESS")("configuration", "Configuration of the fleet, as published",
                 cxxopts::value<std::string>(), "FILE")(
      "instances", "Instance list, as published; names owner and standby",
      cxxopts::value<std::string>(),
      "FILE")("domain", "Failure domain whose fabric has the packet",
              cxxopts::value<std::string>(), "ID");
}

ExitCode ExplainCommand::Run(const cxxopts::ParseResult& options,
                             const Streams& streams) const {
  const auto text = ValueOf(options, "flow");
  const auto live = ValueOf(options, "live");
  const auto configuration = ValueOf(options, "configuration");
  const auto instances = ValueOf(options, "instances");
  const bool from_files = configuration.has_value();
  const bool from_logs = options.count("logs") > 0;
  const int sources =
      (live ? 1 : 0) + (from_files ? 1 : 0) + (from_logs ? 1 : 0);
  const bool mixed = instances && !from_files;
  if (!text || sources != 1 || mixed) {
    streams.err << "explain needs --flow, and either --logs, --live or "
                   "--configuration with --instances if there is a list\n";
    return ExitCode::kInvalid;
  }
  const auto flow = observe::ParseFlow(*text);
  if (!flow) {
    streams.err << "--flow is not of the form 'SRC:PORT->DST:PORT': " << *text
                << "\n";
    return ExitCode::kInvalid;
  }
  if (from_logs) {
    return ExplainFromLogs(options["logs"].as<std::vector<std::string>>(),
                           flow->ToString(), streams);
  }
  if (live) {
    return ExplainLive(*live, *flow, streams);
  }
  ExplainFiles files{*configuration, instances, std::nullopt};
  if (const auto domain = ValueOf(options, "domain")) {
    files.domain = ParseDomain(*domain);
    if (!files.domain) {
      streams.err << "--domain is not the number of a failure domain: "
                  << *domain << "\n";
      return ExitCode::kInvalid;
    }
  }
  return ExplainFromFiles(files, *flow, streams);
}

}  // namespace sassafrasdyke::app
