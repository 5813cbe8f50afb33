#include "config/json_text.h"

#include <unordered_set>
#include <utility>
#include <vector>

namespace sassafrasdyke::config {
namespace {

constexpr std::size_t kQuotedLimit = 64;
constexpr std::size_t kSyntaxMessageLimit = 200;

std::string SyntaxMessage(const std::string& what) {
  // The library's messages start with "[json.exception...] ".
  const std::size_t end = what.find("] ");
  const std::string message =
      end == std::string::npos ? what : what.substr(end + 2);
  return "is not JSON: " + message.substr(0, kSyntaxMessageLimit);
}

/// Reads a text without keeping it, for what the parsed value can't show any
/// more: keys that stand twice, and nesting too deep to keep.
class ShapeChecker final : public nlohmann::json_sax<Json> {
 public:
  ShapeChecker(std::string root, core::DocumentFaults& faults)
      : root(std::move(root)), faults(faults) {}

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }

  bool start_object(std::size_t /*members*/) override {
    return this->Enter({});
  }
  bool end_object() override { return this->Leave(); }
  bool start_array(std::size_t /*members*/) override { return this->Enter({}); }
  bool end_array() override { return this->Leave(); }

  // The parser keeps the last of two equal keys. An operator who copies a
  // target's block and forgets its name would lose the first one without a
  // word.
  bool key(string_t& name) override {
    Scope& scope = this->scopes.back();
    scope.current = name;
    if (!scope.keys.insert(name).second) {
      this->faults.push_back({this->Path(), "stands twice in its object"});
    }
    return true;
  }

  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& error) override {
    this->faults.push_back({this->root, SyntaxMessage(error.what())});
    return false;
  }

 private:
  /// An object or array that is being read.
  struct Scope {
    std::unordered_set<std::string> keys;
    std::string current;  ///< Empty in an array.
  };

  // A text of a megabyte of "[" nests so deep that code which walks it by
  // recursion overruns its stack: one would see every instance that read the
  // revision die at once.
  bool Enter(Scope scope) {
    if (this->scopes.size() == kDepthLimit) {
      this->faults.push_back({this->Path(), "is nested too deep"});
      return false;
    }
    this->scopes.push_back(std::move(scope));
    return true;
  }

  bool Leave() {
    this->scopes.pop_back();
    return true;
  }

  std::string Path() const {
    std::string path = this->root;
    for (const Scope& scope : this->scopes) {
      if (!scope.current.empty()) {
        path = ChildPath(path, scope.current);
      }
    }
    return path;
  }

  std::string root;
  core::DocumentFaults& faults;
  std::vector<Scope> scopes;
};

}  // namespace

tl::expected<Json, core::DocumentFaults> ParseJson(std::string_view text,
                                                   const std::string& root) {
  constexpr bool kStrict = true;
  constexpr bool kIgnoreComments = true;
  core::DocumentFaults faults;
  ShapeChecker checker(root, faults);
  Json::sax_parse(text, &checker, Json::input_format_t::json, kStrict,
                  kIgnoreComments);
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  // The first reading found no fault, so the second one doesn't throw.
  return Json::parse(text, nullptr, /*allow_exceptions=*/false,
                     kIgnoreComments);
}

std::string ChildPath(const std::string& path, std::string_view key) {
  std::string child = path + "/";
  for (const char letter : key) {
    if (letter == '~') {
      child += "~0";
    } else if (letter == '/') {
      child += "~1";
    } else {
      child += letter;
    }
  }
  return child;
}

std::string Quoted(std::string_view text) {
  std::string quoted = "\"";
  for (const char letter : text.substr(0, kQuotedLimit)) {
    const bool printable = letter >= ' ' && letter <= '~' && letter != '"';
    quoted += printable ? letter : '?';
  }
  return quoted + (text.size() > kQuotedLimit ? "...\"" : "\"");
}

}  // namespace sassafrasdyke::config
