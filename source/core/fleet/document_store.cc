#include "core/fleet/document_store.h"

#include <algorithm>
#include <utility>

#include "core/fleet/document_digest.h"

namespace sassafrasdyke::core {
namespace {

bool PathLess(const DocumentEntry& entry, const std::string& path) {
  return entry.path < path;
}

const DocumentEntry* Find(const std::vector<DocumentEntry>& entries,
                          const std::string& path) {
  const auto found =
      std::lower_bound(entries.begin(), entries.end(), path, PathLess);
  return found != entries.end() && found->path == path ? &*found : nullptr;
}

std::size_t BytesOf(const DocumentEntry& entry) {
  return entry.path.size() + entry.body.size();
}

std::size_t BytesOf(const std::vector<DocumentEntry>& entries) {
  std::size_t bytes = 0;
  for (const DocumentEntry& entry : entries) {
    bytes += BytesOf(entry);
  }
  return bytes;
}

std::size_t BytesOf(const DocumentDelta& delta) {
  std::size_t bytes = BytesOf(delta.changed);
  for (const std::string& path : delta.removed) {
    bytes += path.size();
  }
  return bytes;
}

void SetEntry(std::vector<DocumentEntry>& entries, const DocumentEntry& entry) {
  const auto place =
      std::lower_bound(entries.begin(), entries.end(), entry.path, PathLess);
  if (place != entries.end() && place->path == entry.path) {
    place->body = entry.body;
  } else {
    entries.insert(place, entry);
  }
}

void RemoveEntry(std::vector<DocumentEntry>& entries, const std::string& path) {
  const auto place =
      std::lower_bound(entries.begin(), entries.end(), path, PathLess);
  if (place != entries.end() && place->path == path) {
    entries.erase(place);
  }
}

}  // namespace

DocumentStore::DocumentStore(DocumentKind kind, HistoryLimits limits)
    : limits(limits) {
  this->current.kind = kind;
  this->digest.kind = kind;
}

tl::expected<Document, DeltaRefusal> DocumentStore::Apply(
    const DocumentDelta& delta) const {
  if (delta.to.value <= this->current.revision.value) {
    return tl::unexpected(DeltaRefusal::kOlder);
  }
  if (delta.from != this->current.revision) {
    return tl::unexpected(DeltaRefusal::kWrongBase);
  }
  Document next = this->current;
  next.revision = delta.to;
  for (const std::string& path : delta.removed) {
    RemoveEntry(next.entries, path);
  }
  for (const DocumentEntry& entry : delta.changed) {
    SetEntry(next.entries, entry);
  }
  // Two instances with different content under one revision would place flows
  // differently, unnoticed, until some later change repairs it. The digest
  // detects this at once, and a whole copy repairs it.
  if (DigestOfEntries(next.entries) != delta.digest) {
    return tl::unexpected(DeltaRefusal::kWrongDigest);
  }
  return next;
}

void DocumentStore::Replace(Document document) {
  if (this->current.revision.value != 0) {
    this->Remember(
        {this->digest, ChangedPaths(this->current.entries, document.entries)});
  }
  this->current = std::move(document);
  this->digest.revision = this->current.revision;
  this->digest.digest = DigestOfEntries(this->current.entries);
  this->bytes = BytesOf(this->current.entries);
}

void DocumentStore::Remember(Step step) {
  this->paths_kept += step.changed.size();
  this->history.push_back(std::move(step));
  // Without a bound, a service that republishes everything once a second would
  // exhaust the memory of every instance within a day.
  while (!this->history.empty() &&
         (this->history.size() > this->limits.revisions ||
          this->paths_kept > this->limits.paths)) {
    this->paths_kept -= this->history.front().changed.size();
    this->history.pop_front();
  }
}

DocumentAnswer DocumentStore::AnswerFor(const DocumentDigest& have) const {
  for (std::size_t step = 0; step < this->history.size(); ++step) {
    if (!(this->history[step].from == have)) {
      continue;
    }
    DocumentDelta delta = this->DeltaOver(step);
    if (BytesOf(delta) < this->bytes) {
      return delta;
    }
    break;
  }
  return this->Copy();
}

DocumentDelta DocumentStore::DeltaOver(std::size_t first_step) const {
  std::vector<std::string> paths;
  for (std::size_t step = first_step; step < this->history.size(); ++step) {
    const std::vector<std::string>& changed = this->history[step].changed;
    paths.insert(paths.end(), changed.begin(), changed.end());
  }
  std::sort(paths.begin(), paths.end());
  paths.erase(std::unique(paths.begin(), paths.end()), paths.end());

  DocumentDelta delta;
  delta.kind = this->current.kind;
  delta.from = this->history[first_step].from.revision;
  delta.to = this->current.revision;
  delta.digest = this->digest.digest;
  for (std::string& path : paths) {
    if (const DocumentEntry* entry = Find(this->current.entries, path)) {
      delta.changed.push_back(*entry);
    } else {
      delta.removed.push_back(std::move(path));
    }
  }
  return delta;
}

DocumentCopy DocumentStore::Copy() const {
  return {this->current, this->digest.digest};
}

std::vector<std::string> ChangedPaths(const std::vector<DocumentEntry>& before,
                                      const std::vector<DocumentEntry>& after) {
  std::vector<std::string> paths;
  auto old_entry = before.begin();
  auto new_entry = after.begin();
  while (old_entry != before.end() || new_entry != after.end()) {
    const bool removed =
        new_entry == after.end() ||
        (old_entry != before.end() && old_entry->path < new_entry->path);
    const bool added = !removed && (old_entry == before.end() ||
                                    new_entry->path < old_entry->path);
    if (removed) {
      paths.push_back(old_entry->path);
    } else if (added || old_entry->body != new_entry->body) {
      paths.push_back(new_entry->path);
    }
    old_entry += added ? 0 : 1;
    new_entry += removed ? 0 : 1;
  }
  return paths;
}

bool SortedByPath(const std::vector<DocumentEntry>& entries) {
  const auto unsorted = [](const DocumentEntry& left,
                           const DocumentEntry& right) {
    return left.path >= right.path;
  };
  return std::adjacent_find(entries.begin(), entries.end(), unsorted) ==
         entries.end();
}

}  // namespace sassafrasdyke::core
