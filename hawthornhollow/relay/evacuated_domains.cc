// Workload: the operator evacuates a domain of servers before maintenance or in
// an incident, with one record, and deletes it afterwards. Meanwhile routers
// lose the store, are killed, and the store comes back from a copy some seconds
// old, without the record, or with one that had been deleted. Sending to an
// evacuated domain is worse than sparing a domain for a while longer, so what
// cannot be told apart counts as evacuated.
//
// Within an era the log only grows, so a complete read at a later position
// replaces an earlier one. A domain whose record was present and is missing in
// a later read of the era was deleted.
//
// Between eras: the log of a later era has a common prefix with that of an
// earlier one, the copy, and then records of its own. So a record at a higher
// offset is the later one: either it is of the prefix, and then it follows the
// other one there, or it was written after the restore. A record at a lower
// offset is the later one only if it was written after the restore. That is
// certain if it lies beyond the first read of the era by any router
// (`written_since`); else it is taken for one of the copy:
//
//   known before   in the copy     in effect
//   evacuated      missing         evacuated: the record was lost
//   evacuated      evacuated       evacuated, until it is deleted in this era
//   evacuated      older deletion  evacuated: a later record was lost
//   deleted        evacuated       not for `operator_time`: the deletion was
//                                  lost; then evacuated
//   deleted        missing         not evacuated
//
// A record at a lower offset, where an earlier era had no record of the domain,
// is not of the copy either (`read_before`).
//
// The time for each call is linear in the number of domains, of which a
// deployment has a few.

#include "hawthornhollow/relay/evacuated_domains.h"

#include <algorithm>
#include <utility>

namespace hawthornhollow {
namespace {

bool IsSame(const EvacuationRecord& a, const EvacuationRecord& b) {
  return a.era == b.era && a.offset == b.offset &&
         a.is_evacuated == b.is_evacuated;
}

// Whether `record`, of a later era than `known`, was certainly written after
// the era of `known`.
bool IsAfterEra(const EvacuationRecord& record, const EvacuationRecord& known) {
  // The earlier era had no record of the domain there.
  const bool was_absent = known.previous_offset < record.offset &&
                          record.offset < known.read_before;
  // With another content, the offset was given out again.
  const bool is_other = record.offset == known.offset &&
                        record.is_evacuated != known.is_evacuated;
  return record.written_since > known.era || was_absent || is_other;
}

// Whether `a` is a later record of the domain than `b`.
bool IsLater(const EvacuationRecord& a, const EvacuationRecord& b) {
  if (a.era < b.era)
    return b.offset < a.offset && !IsAfterEra(b, a);
  if (a.era == b.era)
    return a.offset > b.offset;
  return a.offset > b.offset || IsAfterEra(a, b);
}

// Notes in `record`, which is later than `known` or the same one, since when it
// may have been written. Routers that know neither record can tell the order of
// others by that.
void NoteOrder(const EvacuationRecord& known, EvacuationRecord* record) {
  record->written_since = std::max(record->written_since, known.written_since);
  if (record->era > known.era && IsAfterEra(*record, known))
    record->written_since = std::max(record->written_since, known.era + 1);
}

}  // namespace

bool EvacuatedDomains::IsDeletedBefore(const State& state) {
  if (!state.before.has_value() || !state.current.has_value())
    return false;
  return !state.before->is_evacuated && state.current->is_evacuated &&
         !IsLater(*state.current, *state.before);
}

const EvacuationRecord* EvacuatedDomains::Deciding(const State& state,
                                                   absl::Time now) const {
  if (!state.before.has_value())
    return state.current.has_value() ? &*state.current : nullptr;
  if (!state.current.has_value())
    return &*state.before;
  if (IsDeletedBefore(state)) {
    return now < era_began_ + options_.operator_time ? &*state.before
                                                     : &*state.current;
  }
  return state.current->is_evacuated || IsLater(*state.current, *state.before)
             ? &*state.current
             : &*state.before;
}

void EvacuatedDomains::BeginEra(int64_t era,
                                absl::Time began,
                                int64_t first_end,
                                absl::Time now) {
  for (auto& [domain, state] : domains_) {
    const EvacuationRecord* record = Deciding(state, now);
    // A record of the copy must not stand for a later one that was lost.
    const bool is_same = record != nullptr && state.before.has_value() &&
                         state.before->is_evacuated == record->is_evacuated;
    if (record != nullptr && (!is_same || IsLater(*record, *state.before)))
      state.before = EvacuationRecord(*record);
    state.current.reset();
  }
  position_ = {.era = era, .offset = 0};
  first_end_ = first_end;
  era_began_ = began;
}

void EvacuatedDomains::SetCurrent(State* state, EvacuationRecord record) const {
  const std::optional<EvacuationRecord>& known = state->current;
  if (record.offset >= first_end_)
    record.written_since = record.era;
  if (known.has_value() && record.offset >= known->offset)
    NoteOrder(*known, &record);
  if (known.has_value() && IsSame(*known, record)) {
    if (known->read_before > record.read_before) {
      record.previous_offset = known->previous_offset;
      record.read_before = known->read_before;
    }
  }
  state->current = record;
}

void EvacuatedDomains::SetRead(State* state,
                               int64_t offset,
                               bool is_evacuated,
                               int64_t written_since) {
  const std::optional<EvacuationRecord>& known = state->current;
  EvacuationRecord record{.era = position_->era,
                          .offset = offset,
                          .is_evacuated = is_evacuated,
                          .written_since = written_since};
  if (!known.has_value() || known->offset != offset) {
    record.previous_offset =
        known.has_value() ? known->offset : EvacuationRecord::kNone;
    record.read_before = position_->offset;
  }
  SetCurrent(state, record);
}

void EvacuatedDomains::SetMissing(State* state, const StorePosition& position) {
  if (!state->current.has_value() || !state->current->is_evacuated)
    return;
  SetRead(state, std::max(position.offset - 1, state->current->offset + 1),
          /*is_evacuated=*/false, /*written_since=*/position.era);
}

void EvacuatedDomains::MergeBefore(State* state,
                                   const EvacuationRecord& record) {
  std::optional<EvacuationRecord>& before = state->before;
  if (!before.has_value()) {
    before = record;
    return;
  }
  const bool is_same = IsSame(record, *before);
  EvacuationRecord later = record;
  EvacuationRecord earlier = *before;
  if (is_same ? before->read_before > record.read_before
              : !IsLater(record, *before))
    std::swap(later, earlier);
  if (is_same || IsLater(later, earlier))
    NoteOrder(earlier, &later);
  before = later;
}

std::vector<DomainChange> EvacuatedDomains::OnRead(const EvacuationRead& read,
                                                   absl::Time now) {
  if (position_.has_value() && read.position < *position_)
    return Refresh(now);
  if (!position_.has_value() || read.position.era > position_->era)
    BeginEra(read.position.era, now, read.position.offset, now);
  for (const auto& [domain, offset] : read.present)
    SetRead(&domains_[domain], offset, /*is_evacuated=*/true);
  for (const auto& [domain, offset] : read.deleted) {
    State& state = domains_[domain];
    // A deletion before the record that was there is not the one that ended it.
    const bool is_earlier = state.current.has_value() &&
                            state.current->is_evacuated &&
                            offset < state.current->offset;
    if (!read.present.contains(domain) && !is_earlier)
      SetRead(&state, offset, /*is_evacuated=*/false);
  }
  for (auto& [domain, state] : domains_) {
    if (!read.present.contains(domain))
      SetMissing(&state, read.position);
  }
  position_ = read.position;
  read_at_ = now;
  return Refresh(now);
}

std::vector<DomainChange> EvacuatedDomains::OnReport(
    const EvacuationReport& report,
    absl::Time now) {
  if (!position_.has_value() || report.position.era > position_->era)
    BeginEra(report.position.era, report.era_began, report.first_end, now);
  const bool is_same_era = report.position.era == position_->era;
  const bool is_newer = is_same_era && *position_ < report.position;
  if (is_same_era) {
    first_end_ = std::min(first_end_, report.first_end);
    era_began_ = std::min(era_began_, report.era_began);
  }
  std::set<std::string> present;
  for (const DomainEvacuation& told : report.domains) {
    State& state = domains_[told.domain];
    if (told.before.has_value() && told.before->era < position_->era)
      MergeBefore(&state, *told.before);
    if (!told.current.has_value())
      continue;
    if (told.current->is_evacuated)
      present.insert(told.domain);
    const bool is_known = state.current.has_value() &&
                          state.current->offset == told.current->offset;
    if (!is_same_era)
      MergeBefore(&state, *told.current);
    else if (is_newer || is_known)
      SetCurrent(&state, *told.current);
  }
  if (is_newer) {
    for (auto& [domain, state] : domains_) {
      if (!present.contains(domain))
        SetMissing(&state, report.position);
    }
    position_ = report.position;
  }
  if (*position_ == report.position)
    read_at_ = std::max(read_at_, report.read_at);
  // A lower `first_end_` shows more records to be of this era.
  for (auto& [domain, state] : domains_) {
    if (state.current.has_value() && state.current->offset >= first_end_)
      state.current->written_since = position_->era;
  }
  return Refresh(now);
}

std::optional<EvacuationReport> EvacuatedDomains::Report() const {
  if (!position_.has_value())
    return std::nullopt;
  EvacuationReport report{.position = *position_,
                          .first_end = first_end_,
                          .era_began = era_began_,
                          .read_at = read_at_};
  for (const auto& [domain, state] : domains_) {
    report.domains.push_back(
        {.domain = domain, .before = state.before, .current = state.current});
  }
  return report;
}

std::vector<DomainChange> EvacuatedDomains::Refresh(absl::Time now) {
  std::vector<DomainChange> changes;
  next_change_ = absl::InfiniteFuture();
  for (auto& [domain, state] : domains_) {
    // Known from now on, and to the routers that are told.
    if (state.before.has_value() && state.current.has_value() &&
        IsLater(*state.current, *state.before))
      NoteOrder(*state.before, &*state.current);
    const EvacuationRecord* record = Deciding(state, now);
    if (record == nullptr)
      continue;
    const absl::Time operator_end = era_began_ + options_.operator_time;
    if (IsDeletedBefore(state) && now < operator_end)
      next_change_ = operator_end;
    const bool changed = record->is_evacuated ? evacuated_.insert(domain).second
                                              : evacuated_.erase(domain) > 0;
    if (changed) {
      changes.push_back(
          {.domain = domain,
           .is_evacuated = record->is_evacuated,
           .position = {.era = record->era, .offset = record->offset}});
    }
  }
  Trim();
  return changes;
}

void EvacuatedDomains::Trim() {
  for (auto it = domains_.begin();
       domains_.size() > kMaxDomains && it != domains_.end();)
    it = evacuated_.contains(it->first) ? std::next(it) : domains_.erase(it);
}

}  // namespace hawthornhollow
