/// The fleet of this product: documents, members and lease of one instance.
#pragma once

#include "core/fleet/documents_in_force.h"
#include "core/fleet/fleet.h"

namespace sassafrasdyke::core {

/// See `Fleet`.
class LiveFleet final : public Fleet {
 public:
  LiveFleet(const SelfIdentity& self, const DocumentReader& reader,
            std::uint64_t seed);

  void OnPlatformDocument(const Document& document,
                          std::chrono::milliseconds now,
                          FleetOutbox& outbox) override;
  void OnPlatformAnswer(bool reached, std::chrono::milliseconds now,
                        FleetOutbox& outbox) override;
  void OnPeerMessage(common::InstanceId from, const PeerMessage& message,
                     std::chrono::milliseconds now,
                     FleetOutbox& outbox) override;
  void OnTargetProbed(common::TargetId target, TargetHealth health,
                      std::chrono::milliseconds now,
                      FleetOutbox& outbox) override;
  void OnTick(std::chrono::milliseconds now, FleetOutbox& outbox) override;
  void OnLeave(std::chrono::milliseconds now, FleetOutbox& outbox) override;
  bool WatchesPlatform() const override;
  const InstanceList& Instances() const override;
  FleetStatus Status() const override;

 private:
  FleetView View() const;

  SelfIdentity self;
  DocumentsInForce documents;
  bool leaving{false};
};

}  // namespace sassafrasdyke::core
