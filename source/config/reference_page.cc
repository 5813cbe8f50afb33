#include "config/reference_page.h"

#include <string_view>
#include <vector>

#include "config/front_settings.h"
#include "config/published_keys.h"
#include "config/settings.h"

namespace sassafrasdyke::config {
namespace {

constexpr std::string_view kIntroduction =
    "# Reference of all keys\n"
    "\n"
    "Made from the tables that the readers use; a test compares the two. Texts "
    "are JSON\nwith comments. NAME stands for a name that an operator "
    "chooses. A key is required,\noptional, or adjustable: optional, and an "
    "exception may set it with a reason.\n";

std::string_view Word(KeyUse use) {
  switch (use) {
    case KeyUse::kRequired:
      return "required";
    case KeyUse::kOptional:
      return "optional";
    case KeyUse::kAdjustable:
      break;
  }
  return "adjustable";
}

std::string Row(const KeyReference& reference) {
  const FormatReference& format = reference.format;
  std::string row = "| `" + reference.path + "` | " + format.type;
  if (!format.range.empty()) {
    row += ": " + format.range;
  }
  if (!format.unit.empty()) {
    row += " " + format.unit;
  }
  row.append(" | ").append(Word(reference.use)).append(" | ");
  if (!reference.default_value.empty()) {
    row += "`" + reference.default_value + "`";
  }
  return row + " | " + reference.doc + " |\n";
}

std::string Section(std::string_view title,
                    const std::vector<KeyReference>& references) {
  std::string section = "\n## ";
  section.append(title).append("\n\n");
  section +=
      "| key | value | use | default | meaning |\n|---|---|---|---|---|\n";
  for (const KeyReference& reference : references) {
    section += Row(reference);
  }
  return section;
}

}  // namespace

std::string ReferencePage() {
  std::string page(kIntroduction);
  page += Section("Settings of one process", SettingsReference());
  page +=
      Section("Settings of one process of `front`", FrontSettingsReference());
  page += Section("Published configuration", ConfigurationReference());
  page += Section("Published instance list", InstancesReference());
  return page;
}

}  // namespace sassafrasdyke::config
