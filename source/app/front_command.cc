#include "app/front_command.h"

#include "app/file_version.h"
#include "app/text_file.h"
#include "config/front_settings.h"
#include "front/front_process.h"
#include "platform/packet_codec.h"
#include "platform/store_codec.h"

namespace sassafrasdyke::app {
namespace {

/// Reads and checks the settings; the error is ready to be written.
tl::expected<config::FrontSettings, core::DocumentFaults> ReadSettings(
    const std::string& path) {
  const auto text = ReadTextFile(path);
  if (!text) {
    return tl::unexpected(core::DocumentFaults{{"", text.error()}});
  }
  return config::ReadFrontSettings(*text);
}

}  // namespace

void FrontCommand::Declare(cxxopts::Options& options) const {
  options.custom_help("--settings FILE");
  options.add_options()("settings", "Settings of this process",
                        cxxopts::value<std::string>(), "FILE");
}

ExitCode FrontCommand::Run(const cxxopts::ParseResult& options,
                           const Streams& streams) const {
  const auto path = ValueOf(options, "settings");
  if (!path) {
    streams.err << "front needs --settings FILE\n";
    return ExitCode::kInvalid;
  }
  const auto settings = ReadSettings(*path);
  if (!settings) {
    WriteFaults(streams.err, *path, settings.error());
    return ExitCode::kInvalid;
  }
  const platform::StoreCodec publication;
  const platform::PacketCodec packets;
  FileVersion version(*path);
  const auto ended = front::RunFront(
      *settings, {publication, packets, [&] { return ReadSettings(*path); },
                  [&] { return version.Changed(); }});
  if (!ended) {
    streams.err << ended.error() << "\n";
    return ExitCode::kFailure;
  }
  return ExitCode::kSuccess;
}

}  // namespace sassafrasdyke::app
