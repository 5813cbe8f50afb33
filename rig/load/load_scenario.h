/// A deployment with its callers and troubles, for the load model of `front`.
/// Read from JSON with comments, or drawn at random.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace sassafrasdyke::rig {

/// One failure domain.
struct LoadDomain {
  std::size_t instances{3};
  std::size_t targets{5};
  double requests_per_s{100};
};

/// What callers ask and how targets work.
struct LoadService {
  std::uint32_t slots{2};   ///< Requests that a target works on at once.
  std::size_t queue{8};     ///< Requests that wait there; more are turned away.
  double work_ms{30};       ///< Mean; the work is log-normal.
  double work_spread{0.5};  ///< Sigma of its logarithm.
  std::chrono::milliseconds objective{150};
  std::chrono::milliseconds deadline{2500};
};

/// What goes wrong.
enum class LoadTrouble : std::uint8_t {
  kNone,
  kOutage,  ///< All instances are off for a while and know nothing afterwards.
  kJoin,    ///< Part of the targets is published only then.
  kLeave,   ///< Part of the targets drains.
  kSlow,    ///< Part of the targets takes `factor` times as long for a while.
  kDie,     ///< Part of the targets ends without a word.
  /// The domain is evacuated for a while; its targets are cold after it,
  /// and take `factor` times as long until they are warm.
  kEvacuate,
  /// No packet passes between the domain and the others for a while.
  kCut,
  kUneven,  ///< The domain's callers request `factor` times as much for a
            ///< while.
  kMove,    ///< Part of the domain's callers enter at the next one for a while.
  /// All domains get `factor` times as much for a while, half of it from one
  /// caller in twenty.
  kHeavy,
  // Part of the targets fail for a while; `part` of their requests,
  kHang,    ///< hang: they are never answered;
  kReject,  ///< are rejected at once;
  kReset,   ///< have their flows reset at once.
};

/// The scenario's word for a trouble.
std::string_view Word(LoadTrouble trouble);

/// One trouble of the played time.
struct LoadEvent {
  LoadTrouble trouble{LoadTrouble::kNone};
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds lasts{0};
  double share{0.3};  ///< Part of the targets, or of the callers that move.
  double factor{4};
  /// New flows that a cold target bears in a second; 0: no limit is published.
  double warmup_rate{0};
  std::size_t domain{0};  ///< Of a trouble that concerns one domain.
  double part{1};         ///< Of the requests at a failing target.
};

/// Everything that a play depends on, besides the policy.
struct LoadScenario {
  std::string name;
  std::uint64_t seed{1};
  std::chrono::milliseconds length{8000};  ///< Callers ask for this long.
  std::chrono::milliseconds client_delay{3};
  std::chrono::milliseconds domain_delay{3};  ///< Between domains, one way.
  std::vector<LoadDomain> domains;
  LoadService service;
  std::vector<LoadEvent> events;
  /// Callers of each domain; 0: each request has a caller of its own.
  std::uint32_t callers{0};
  /// Whether instances probe targets that seem silent; off in the deployments
  /// that were drawn before the model had probes.
  bool probes{false};
  double long_flows{0};  ///< Part of the callers that keep their flows open.

  bool Has(LoadTrouble trouble) const;
  /// Whether no packet passes between the two domains.
  bool IsCut(std::size_t one, std::size_t other,
             std::chrono::microseconds at) const;
};

/// Reads one scenario; the error says which key is wrong.
tl::expected<LoadScenario, std::string> ReadLoadScenario(
    const std::string& text);
/// A deployment that nobody has shown us: one to five domains, loads of a fifth
/// to one and a half of what the targets can do. The same seed draws the same.
LoadScenario DrawLoadScenario(std::uint64_t seed);
/// A deployment whose capacity is short only in places: two or three of all
/// troubles, one of uneven demand, callers with several requests.
LoadScenario DrawHardLoadScenario(std::uint64_t seed);
/// The trouble of this word; nothing if there is none.
std::optional<LoadTrouble> TroubleOf(std::string_view word);
/// One line for a person.
std::string Describe(const LoadScenario& scenario);

}  // namespace sassafrasdyke::rig
