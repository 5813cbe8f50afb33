/// Puts documents in force: only ever newer ones, and only valid ones.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/configuration.h"
#include "core/fleet/document_store.h"
#include "core/fleet/fleet.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// What became of an offered document.
enum class OfferOutcome : std::uint8_t {
  kAccepted,
  kOlder,     ///< Not newer than the one in force; ignored.
  kRefused,   ///< Invalid, refused whole and said in the decision log.
  kMismatch,  ///< Its text isn't what its digest or order promises.
};

/// Both documents of one instance, as text and as typed values.
class DocumentsInForce {
 public:
  /// `reader` must outlive it.
  explicit DocumentsInForce(const DocumentReader& reader);

  /// Offers a document whose text came from `from` (0 for the platform).
  /// Decisions, and the new configuration, go to `outbox`.
  OfferOutcome Offer(Document document, common::InstanceId from,
                     FleetOutbox& outbox);

  /// True when this very document was refused; asking for it again is useless.
  bool Refused(const DocumentDigest& digest) const;

  const DocumentStore& Store(DocumentKind kind) const;
  const Configuration& ConfigurationInForce() const;
  const InstanceList& Instances() const { return this->instances; }
  /// True once both documents are here.
  bool Complete() const;
  std::uint64_t RefusedCount() const { return this->refused_count; }
  /// The last refused document of each kind.
  const std::vector<DocumentRefused>& Refusals() const {
    return this->refusals;
  }
  /// What both documents are, for telling peers.
  std::vector<DocumentDigest> Digests() const;

 private:
  DocumentFaults Read(const Document& document, FleetOutbox& outbox);
  void Refuse(const Document& document, DocumentFaults faults,
              FleetOutbox& outbox);

  const DocumentReader& reader;
  std::array<DocumentStore, 2> stores;
  std::array<DocumentDigest, 2> last_refused;
  std::shared_ptr<const Configuration> configuration;
  InstanceList instances;
  std::uint64_t refused_count{0};
  std::vector<DocumentRefused> refusals;
};

}  // namespace sassafrasdyke::core
