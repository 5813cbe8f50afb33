/// A stand-in for the platform's service: publishes the two documents, can be
/// read and watched only, and fails in the ways it fails.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/address.h"
#include "common/ids.h"
#include "core/messages.h"
#include "rig/http_server.h"

namespace sassafrasdyke::rig {

/// How the platform treats the readers of one failure domain.
enum class PlatformMode {
  kUp,
  kDown,   ///< Hangs up on everybody.
  kSlow,   ///< Answers late.
  kStale,  ///< Never shows anything newer than it had when it became stale.
  kOlder,  ///< Answers plain reads with the revision before the newest.
};

/// The published documents and their revisions; one door for each failure
/// domain, so that each can fail by itself.
class Platform {
 public:
  /// Publishes `document` as the next revision, which it returns.
  std::uint64_t Publish(core::DocumentKind kind,
                        nlohmann::ordered_json document);
  /// Opens the door that the instances of `domain` use.
  void Open(common::DomainId domain, const common::Endpoint& listen);
  void SetMode(common::DomainId domain, PlatformMode mode,
               std::chrono::milliseconds delay);
  /// Requests so far, a held watch as one.
  std::uint64_t Calls() const;

 private:
  using Revisions = std::vector<std::string>;  ///< Revision 1 first.

  /// One failure domain's view of the platform.
  class Door final : public HttpHandler {
   public:
    Door(Platform& platform, const common::Endpoint& listen);
    HttpReply OnRequest(const HttpRequest& request,
                        std::chrono::milliseconds held) override;
    void SetMode(PlatformMode mode, std::chrono::milliseconds delay);
    std::uint64_t Calls() const { return this->server.Requests(); }

   private:
    std::size_t Newest(core::DocumentKind kind, bool watch) const;

    Platform& platform;
    PlatformMode mode{PlatformMode::kUp};
    std::chrono::milliseconds delay{0};
    std::array<std::size_t, 2> stale_at{};
    HttpServer server;
  };

  Revisions& Of(core::DocumentKind kind) {
    return this->documents[static_cast<std::size_t>(kind)];
  }

  std::array<Revisions, 2> documents;
  std::map<common::DomainId, std::unique_ptr<Door>> doors;
};

}  // namespace sassafrasdyke::rig
