/// Holds the documents in force; only newer, valid documents replace them.
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

/// The result of offering a document.
enum class OfferOutcome : std::uint8_t {
  kAccepted,
  kOlder,     ///< Not newer than the one in force; ignored.
  kRefused,   ///< Invalid; refused as a whole and written to the decision log.
  kMismatch,  ///< Its entries aren't sorted by path or repeat a path.
};

/// Both documents of one instance, as text and as parsed values.
class DocumentsInForce {
 public:
  /// `reader` must outlive it.
  explicit DocumentsInForce(const DocumentReader& reader);

  /// Puts `document`, received from `from` (0 for the platform), in force if it
  /// is newer and valid. Adds the decision and a new configuration to `outbox`.
  OfferOutcome Offer(Document document, common::InstanceId from,
                     FleetOutbox& outbox);

  /// True when this revision with this content was the last one refused, so
  /// that requesting it again is useless.
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
  /// The digests of both documents, as sent to peers.
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
