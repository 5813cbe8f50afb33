/// Keeps the newest revision of one document and a bounded history of changed
/// paths, from which deltas for peers are made.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "core/messages.h"

namespace sassafrasdyke::core {

/// Why a delta can't be applied.
enum class DeltaRefusal : std::uint8_t {
  kOlder,        ///< Its result is no newer than the current revision.
  kWrongBase,    ///< Its base isn't the current revision.
  kWrongDigest,  ///< Its result differs from the sender's document.
};

/// The answer to a peer's request.
using DocumentAnswer = std::variant<DocumentDelta, DocumentCopy>;

/// Bounds of the history.
struct HistoryLimits {
  std::size_t revisions{64};  ///< Steps kept.
  std::size_t paths{4096};    ///< Changed paths kept over all steps.
};

/// One document. Revisions only grow.
class DocumentStore {
 public:
  explicit DocumentStore(DocumentKind kind, HistoryLimits limits = {});

  const Document& Current() const { return this->current; }
  const DocumentDigest& Digest() const { return this->digest; }

  /// The document that results from `delta`; the store doesn't change.
  tl::expected<Document, DeltaRefusal> Apply(const DocumentDelta& delta) const;

  /// Stores `document` and records which paths changed. Its entries must be
  /// sorted by path and its revision greater than the current one.
  void Replace(Document document);

  /// The shortest answer that brings a peer with `have` to the current
  /// revision: a delta if the history reaches back to `have` and the delta is
  /// smaller than the document, else a copy.
  DocumentAnswer AnswerFor(const DocumentDigest& have) const;

  /// Bytes of all paths and bodies.
  std::size_t Bytes() const { return this->bytes; }

 private:
  /// The change from one revision to the next one stored.
  struct Step {
    DocumentDigest from;
    std::vector<std::string> changed;  ///< Paths set or removed.
  };

  void Remember(Step step);
  DocumentDelta DeltaOver(std::size_t first_step) const;
  DocumentCopy Copy() const;

  HistoryLimits limits;
  Document current;
  DocumentDigest digest;
  std::deque<Step> history;  ///< Oldest first, without gaps.
  std::size_t paths_kept{0};
  std::size_t bytes{0};
};

/// Paths whose entries differ between two sorted lists, sorted.
std::vector<std::string> ChangedPaths(const std::vector<DocumentEntry>& before,
                                      const std::vector<DocumentEntry>& after);

/// True when `entries` are sorted by path without duplicates.
bool SortedByPath(const std::vector<DocumentEntry>& entries);

}  // namespace sassafrasdyke::core
