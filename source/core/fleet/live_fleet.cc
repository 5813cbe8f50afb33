#include "core/fleet/live_fleet.h"

#include <algorithm>

namespace sassafrasdyke::core {

LiveFleet::LiveFleet(const SelfIdentity& self, const DocumentReader& reader,
                     std::uint64_t /*seed*/)
    : self(self), documents(reader) {}

void LiveFleet::OnPlatformDocument(const Document& document,
                                   std::chrono::milliseconds /*now*/,
                                   FleetOutbox& outbox) {
  const OfferOutcome outcome =
      this->documents.Offer(document, common::InstanceId{}, outbox);
  if (outcome == OfferOutcome::kAccepted &&
      document.kind == DocumentKind::kInstances) {
    outbox.view = this->View();
  }
}

void LiveFleet::OnPlatformAnswer(bool /*reached*/,
                                 std::chrono::milliseconds /*now*/,
                                 FleetOutbox& /*outbox*/) {}

void LiveFleet::OnPeerMessage(common::InstanceId /*from*/,
                              const PeerMessage& /*message*/,
                              std::chrono::milliseconds /*now*/,
                              FleetOutbox& /*outbox*/) {}

void LiveFleet::OnTargetProbed(common::TargetId target, TargetHealth health,
                               std::chrono::milliseconds /*now*/,
                               FleetOutbox& outbox) {
  outbox.health.push_back({target, health, 1, this->self.id});
}

void LiveFleet::OnTick(std::chrono::milliseconds /*now*/,
                       FleetOutbox& /*outbox*/) {}

void LiveFleet::OnLeave(std::chrono::milliseconds /*now*/,
                        FleetOutbox& outbox) {
  this->leaving = true;
  outbox.view = this->View();
}

bool LiveFleet::WatchesPlatform() const { return true; }

const InstanceList& LiveFleet::Instances() const {
  return this->documents.Instances();
}

FleetStatus LiveFleet::Status() const {
  FleetStatus status;
  status.configuration =
      this->documents.Store(DocumentKind::kConfiguration).Digest();
  status.instances = this->documents.Store(DocumentKind::kInstances).Digest();
  status.reader = true;
  status.documents_refused = this->documents.RefusedCount();
  return status;
}

FleetView LiveFleet::View() const {
  FleetView view;
  view.self = this->self.id;
  view.domain = this->self.domain;
  view.leaving = this->leaving;
  for (const Instance& instance : this->documents.Instances().instances) {
    const bool leaves = instance.state == InstanceState::kLeaving ||
                        (this->leaving && instance.id == this->self.id);
    view.instances.push_back(
        {instance.id, instance.domain, instance.incarnation, instance.tunnel,
         leaves ? InstanceUse::kLeaving : InstanceUse::kOwner});
  }
  return view;
}

std::unique_ptr<Fleet> MakeFleet(const SelfIdentity& self,
                                 const DocumentReader& reader,
                                 std::uint64_t seed) {
  return std::make_unique<LiveFleet>(self, reader, seed);
}

}  // namespace sassafrasdyke::core
