/// Fuzzes the readers of settings and published documents, as texts of the
/// platform and as entries of a peer.
#include <string>
#include <string_view>

#include "config/configuration_reader.h"
#include "config/document_splitter.h"
#include "config/settings.h"
#include "fuzz_input.h"

namespace sassafrasdyke::config {
namespace {

/// The way by entries, which instances take, and the way by the whole text,
/// which `check` takes, must agree.
void CheckTexts(std::string_view text) {
  using core::DocumentKind;
  const auto configuration = SplitDocument(DocumentKind::kConfiguration, text);
  const bool by_entries =
      configuration &&
      ConfigurationReader().ReadConfiguration(*configuration).has_value();
  const auto by_text = ReadConfigurationText(text);
  fuzz::Require(by_entries == by_text.has_value());
  fuzz::Require(by_text.has_value() || !by_text.error().empty());
  const auto list = SplitDocument(DocumentKind::kInstances, text);
  const bool list_by_entries =
      list && ConfigurationReader().ReadInstances(*list).has_value();
  fuzz::Require(list_by_entries == ReadInstancesText(text).has_value());
  const auto settings = ReadSettings(text);
  fuzz::Require(settings.has_value() || !settings.error().empty());
}

/// Lines of the text as the paths and bodies of a peer's entries in turn.
void CheckEntries(std::string_view text) {
  core::Document document;
  document.revision = {1};
  std::string path;
  bool at_path = true;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string line(text.substr(0, end));
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
    if (at_path) {
      path = line;
    } else {
      document.entries.push_back({path, line});
    }
    at_path = !at_path;
  }
  const auto configuration = ConfigurationReader().ReadConfiguration(document);
  fuzz::Require(configuration.has_value() || !configuration.error().empty());
  const auto instances = ConfigurationReader().ReadInstances(document);
  fuzz::Require(instances.has_value() || !instances.error().empty());
}

}  // namespace
}  // namespace sassafrasdyke::config

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text = sassafrasdyke::fuzz::Text(data, size);
  sassafrasdyke::config::CheckTexts(text);
  sassafrasdyke::config::CheckEntries(text);
  return 0;
}
