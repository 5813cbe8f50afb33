#include "core/fleet/documents_in_force.h"

#include <utility>

#include "core/fleet/document_digest.h"

namespace sassafrasdyke::core {
namespace {

std::size_t IndexOf(DocumentKind kind) {
  return kind == DocumentKind::kConfiguration ? 0 : 1;
}

}  // namespace

DocumentsInForce::DocumentsInForce(const DocumentReader& reader)
    : reader(reader),
      stores{DocumentStore(DocumentKind::kConfiguration),
             DocumentStore(DocumentKind::kInstances)},
      configuration(std::make_shared<const Configuration>()) {}

OfferOutcome DocumentsInForce::Offer(Document document, common::InstanceId from,
                                     FleetOutbox& outbox) {
  DocumentStore& store = this->stores[IndexOf(document.kind)];
  // After a failover, the platform's service and lagging peers may serve old
  // revisions. Accepting one would bring back targets that operators removed.
  if (document.revision.value <= store.Current().revision.value) {
    return OfferOutcome::kOlder;
  }
  if (!SortedByPath(document.entries)) {
    return OfferOutcome::kMismatch;
  }
  if (DocumentFaults faults = this->Read(document, outbox); !faults.empty()) {
    this->Refuse(document, std::move(faults), outbox);
    return OfferOutcome::kRefused;
  }
  outbox.decisions.emplace_back(
      DocumentAccepted{document.kind, document.revision, from});
  store.Replace(std::move(document));
  return OfferOutcome::kAccepted;
}

DocumentFaults DocumentsInForce::Read(const Document& document,
                                      FleetOutbox& outbox) {
  if (document.kind == DocumentKind::kConfiguration) {
    auto read = this->reader.ReadConfiguration(document);
    if (!read) {
      return std::move(read.error());
    }
    if (this->configuration->revision.value != 0) {
      DocumentFaults faults =
          this->reader.CheckChange(*this->configuration, *read);
      if (!faults.empty()) {
        return faults;
      }
    }
    this->configuration =
        std::make_shared<const Configuration>(std::move(*read));
    outbox.configuration = this->configuration;
    return {};
  }
  auto read = this->reader.ReadInstances(document);
  if (!read) {
    return std::move(read.error());
  }
  this->instances = std::move(*read);
  return {};
}

void DocumentsInForce::Refuse(const Document& document, DocumentFaults faults,
                              FleetOutbox& outbox) {
  const DocumentDigest digest{document.kind, document.revision,
                              DigestOfEntries(document.entries)};
  // A reader fetches the same invalid document at each poll; logging it once
  // for each revision keeps the log readable.
  if (this->Refused(digest)) {
    return;
  }
  this->last_refused[IndexOf(document.kind)] = digest;
  ++this->refused_count;
  std::erase_if(this->refusals, [&document](const DocumentRefused& refused) {
    return refused.kind == document.kind;
  });
  this->refusals.push_back(
      {document.kind, document.revision, std::move(faults)});
  outbox.decisions.emplace_back(this->refusals.back());
}

bool DocumentsInForce::Refused(const DocumentDigest& digest) const {
  return digest.revision.value != 0 &&
         this->last_refused[IndexOf(digest.kind)] == digest;
}

const DocumentStore& DocumentsInForce::Store(DocumentKind kind) const {
  return this->stores[IndexOf(kind)];
}

const Configuration& DocumentsInForce::ConfigurationInForce() const {
  return *this->configuration;
}

std::vector<DocumentDigest> DocumentsInForce::Digests() const {
  return {this->stores[0].Digest(), this->stores[1].Digest()};
}

bool DocumentsInForce::Complete() const {
  return this->stores[0].Current().revision.value != 0 &&
         this->stores[1].Current().revision.value != 0;
}

}  // namespace sassafrasdyke::core
