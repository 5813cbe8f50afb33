#include "config/json_text.h"

#include <unordered_set>
#include <utility>
#include <vector>

namespace sassafrasdyke::config {
namespace {

constexpr std::size_t kQuotedLimit = 64;
constexpr std::size_t kSyntaxMessageLimit = 200;

/// Watches the parser's events for what its result can't show any more: keys
/// that stood twice, and values that were too deep to keep.
class DocumentWatcher {
 public:
  DocumentWatcher(std::string root, core::DocumentFaults& faults)
      : root(std::move(root)), faults(faults) {}

  /// Returns whether the parser shall keep the value.
  bool OnEvent(int depth, Json::parse_event_t event, const Json& parsed) {
    const auto level = static_cast<std::size_t>(depth);
    switch (event) {
      case Json::parse_event_t::object_start:
        this->scopes.resize(level + 1);
        this->scopes.emplace_back();
        return this->CheckDepth(level);
      case Json::parse_event_t::array_start:
        return this->CheckDepth(level);
      case Json::parse_event_t::key:
        this->OnKey(level, parsed.get_ref<const std::string&>());
        return true;
      default:
        return true;
    }
  }

 private:
  /// The object that is being read at one depth.
  struct Scope {
    std::unordered_set<std::string> keys;
    std::string current;
  };

  // A text of a megabyte of "[" nests so deep that code which walks it by
  // recursion overruns its stack: one would see every instance that read the
  // revision die at once. What is deeper than any real document isn't kept.
  bool CheckDepth(std::size_t level) {
    if (level < kDepthLimit) {
      return true;
    }
    if (!this->too_deep) {
      this->too_deep = true;
      this->faults.push_back({this->root, "is nested too deep"});
    }
    return false;
  }

  // The parser keeps the last of two equal keys. An operator who copies a
  // target's block and forgets its name would lose the first one without a
  // word.
  void OnKey(std::size_t level, const std::string& key) {
    this->scopes.resize(level + 1);
    Scope& scope = this->scopes[level];
    scope.current = key;
    if (!scope.keys.insert(key).second) {
      this->faults.push_back({this->Path(), "stands twice in its object"});
    }
  }

  std::string Path() const {
    std::string path = this->root;
    for (const Scope& scope : this->scopes) {
      if (!scope.keys.empty()) {
        path = ChildPath(path, scope.current);
      }
    }
    return path;
  }

  std::string root;
  core::DocumentFaults& faults;
  std::vector<Scope> scopes;
  bool too_deep{false};
};

std::string SyntaxMessage(const std::string& what) {
  // The library's messages start with "[json.exception...] ".
  const std::size_t end = what.find("] ");
  const std::string message =
      end == std::string::npos ? what : what.substr(end + 2);
  return "is not JSON: " + message.substr(0, kSyntaxMessageLimit);
}

}  // namespace

tl::expected<Json, core::DocumentFaults> ParseJson(std::string_view text,
                                                   const std::string& root) {
  core::DocumentFaults faults;
  DocumentWatcher watcher(root, faults);
  const auto on_event = [&watcher](int depth, Json::parse_event_t event,
                                   const Json& parsed) {
    return watcher.OnEvent(depth, event, parsed);
  };
  try {
    Json json = Json::parse(text, on_event, /*allow_exceptions=*/true,
                            /*ignore_comments=*/true);
    if (faults.empty()) {
      return json;
    }
  } catch (const Json::exception& error) {
    faults.push_back({root, SyntaxMessage(error.what())});
  }
  return tl::unexpected(std::move(faults));
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
