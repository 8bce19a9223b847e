#ifndef HAWTHORNHOLLOW_RELAY_EVACUATED_DOMAINS_H_
#define HAWTHORNHOLLOW_RELAY_EVACUATED_DOMAINS_H_

// Which failure domains the operator has evacuated: nothing more is sent to
// their servers. Has no I/O and no clock.
//
// Input are complete reads of the operator's records, by this router (OnRead)
// or by another one (OnReport). A router that cannot read the store keeps the
// last known state.
//
//   EvacuatedDomains domains(options);
//   for (const DomainChange& change : domains.OnRead(read, now))
//     Log(change);
//   placement.SetEvacuatedDomains(domains.evacuated());
//   ... at domains.next_change(), OnTime() ...

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/relay/shared_store.h"

namespace hawthornhollow {

struct EvacuatedDomainsOptions {
  // After the store came back from an older copy, the operator has this long to
  // delete again what was deleted before.
  absl::Duration operator_time = absl::Seconds(10);
};

// The operator's records, as this router read them.
struct EvacuationRead {
  StorePosition position;  // up to where they were read
  // Domain -> offset of its newest record: those that have one, and those whose
  // record was deleted, as far as it is known.
  std::map<std::string, int64_t> present;
  std::map<std::string, int64_t> deleted;
  friend auto operator<=>(const EvacuationRead&,
                          const EvacuationRead&) = default;
};

// The newest record of one domain in the store of one era.
struct EvacuationRecord {
  static constexpr int64_t kNone = -1;

  int64_t era = 0;
  int64_t offset = 0;
  bool is_evacuated = false;  // false: the record was deleted
  // The earliest era in which it may have been written; `era` if it is
  // certainly not of the older copy.
  int64_t written_since = 0;
  // The domain's newest record when the log was read up to `read_before`,
  // before this record was there. 0: no such read is known.
  int64_t previous_offset = kNone;
  int64_t read_before = 0;
  friend auto operator<=>(const EvacuationRecord&,
                          const EvacuationRecord&) = default;
};

// What a router knows of one domain.
struct DomainEvacuation {
  std::string domain;
  // The newest record known of the eras before, and of the present one.
  std::optional<EvacuationRecord> before;
  std::optional<EvacuationRecord> current;
  friend auto operator<=>(const DomainEvacuation&,
                          const DomainEvacuation&) = default;
};

// What a router tells another one.
struct EvacuationReport {
  StorePosition position;  // up to where the records were read
  // Upper bound on the end of the copy that the era began with: where the first
  // known read in the era ended.
  int64_t first_end = 0;
  absl::Time era_began;  // when that was, at the latest
  absl::Time read_at;    // when `position` was read
  std::vector<DomainEvacuation> domains;
  friend auto operator<=>(const EvacuationReport&,
                          const EvacuationReport&) = default;
};

// A domain was evacuated, or its evacuation has ended.
struct DomainChange {
  std::string domain;
  bool is_evacuated = false;
  // Of the record that says so.
  StorePosition position;
  friend auto operator<=>(const DomainChange&, const DomainChange&) = default;
};

class EvacuatedDomains {
 public:
  // Bounds memory. Of more domains, those in no evacuation are forgotten.
  static constexpr size_t kMaxDomains = 1024;

  explicit EvacuatedDomains(const EvacuatedDomainsOptions& options)
      : options_(options) {}

  // Each returns what has changed. A read or report that is older than what is
  // known of the same era changes nothing of it.
  std::vector<DomainChange> OnRead(const EvacuationRead& read, absl::Time now);
  std::vector<DomainChange> OnReport(const EvacuationReport& report,
                                     absl::Time now);
  std::vector<DomainChange> OnTime(absl::Time now) { return Refresh(now); }
  // When OnTime() may have something to change; infinite if never.
  absl::Time next_change() const { return next_change_; }

  const std::set<std::string>& evacuated() const { return evacuated_; }
  // For other routers; nullopt if nothing was read yet.
  std::optional<EvacuationReport> Report() const;

 private:
  struct State {
    std::optional<EvacuationRecord> before;
    std::optional<EvacuationRecord> current;
  };

  // The record that decides about the domain; null if there is none.
  const EvacuationRecord* Deciding(const State& state, absl::Time now) const;
  // Whether the domain has an evacuation that was known to be deleted, and that
  // may be there as a part of the older copy only.
  static bool IsDeletedBefore(const State& state);
  void BeginEra(int64_t era,
                absl::Time began,
                int64_t first_end,
                absl::Time now);
  void SetCurrent(State* state, EvacuationRecord record) const;
  void SetRead(State* state,
               int64_t offset,
               bool is_evacuated,
               int64_t written_since = 0);
  // A later read, up to `position`, has no record of the domain: if it had one
  // in this era, it was deleted since, at an offset that is not known.
  void SetMissing(State* state, const StorePosition& position);
  static void MergeBefore(State* state, const EvacuationRecord& record);
  std::vector<DomainChange> Refresh(absl::Time now);
  void Trim();

  const EvacuatedDomainsOptions options_;
  std::optional<StorePosition> position_;
  int64_t first_end_ = 0;
  absl::Time era_began_ = absl::InfiniteFuture();
  absl::Time read_at_ = absl::InfinitePast();
  std::map<std::string, State> domains_;
  std::set<std::string> evacuated_;
  absl::Time next_change_ = absl::InfiniteFuture();
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_EVACUATED_DOMAINS_H_
