#ifndef HAWTHORNHOLLOW_RELAY_SERVER_LIST_H_
#define HAWTHORNHOLLOW_RELAY_SERVER_LIST_H_

// Decides which backend servers are in use, given the entries that were read
// from the store. Has no I/O and no clock.
//
// A server is in use while it has an entry. A missing entry usually means that
// the server has left, and then it must get no more requests soon after. But
// entries also expire while the store is down, because no server can renew
// them, and come back shortly after its return. So servers whose entries are
// missing in the first read after an outage are kept for a grace period.
//
// An outage of the store is not to be confused with a fault between the store
// and this router: then nothing expires, and what is missing has left. Another
// router that went on reading tells the two apart.
//
//   ServerList list(options);
//   list.Update(entries, now);                        // read from the store
//   list.UpdateFromPeer(entries, peer_reading, now);  // read by another router
//   Use(list.servers());
//   ... at list.next_change(), Update or DropExpired ...

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

struct ServerListOptions {
  // A gap between two reads that is longer than this may be an outage of the
  // store.
  absl::Duration outage_after = absl::Milliseconds(1500);
  // How long servers without an entry are kept after an outage. Entries are
  // back about two seconds after the store.
  absl::Duration missing_entry_grace = absl::Milliseconds(2100);
};

// When a router read the entries: last, and since when without a gap longer
// than `outage_after`.
struct ReadingTime {
  absl::Time last = absl::InfinitePast();
  absl::Time unbroken_since = absl::InfiniteFuture();
  friend auto operator<=>(const ReadingTime&, const ReadingTime&) = default;
};

// What a router tells another one of the entries.
struct ServersReport {
  StorePosition position;  // up to where the entries were read
  ReadingTime reading;
  std::vector<std::string> keys;     // of all entries
  std::vector<StoredValue> records;  // those that the other one may not have
  friend auto operator<=>(const ServersReport&, const ServersReport&) = default;
};

class ServerList {
 public:
  using Servers = std::map<std::string, RelayServer>;  // keyed as the entries

  explicit ServerList(const ServerListOptions& options) : options_(options) {}

  // Takes all entries as this router read them at `now`. After the store came
  // back from an older copy, `is_restored`, entries may be missing as after an
  // outage.
  void Update(const Servers& entries, absl::Time now, bool is_restored = false);
  // Takes all entries as another router read them. They must not be older than
  // those known here.
  void UpdateFromPeer(const Servers& entries,
                      const ReadingTime& reading,
                      absl::Time now);

  // Drops kept servers whose time is up.
  void DropExpired(absl::Time now);

  // The servers in use. `changes` grows with each change of them.
  const Servers& servers() const { return servers_; }
  uint64_t changes() const { return changes_; }
  // Servers in use without an entry, and when they were first found missing.
  const std::map<std::string, absl::Time>& kept() const { return kept_; }
  // When the kept servers have to be dropped; infinite if there are none.
  absl::Time next_change() const {
    return kept_.empty() ? absl::InfiniteFuture() : kept_until_;
  }
  // When the entries known here were read, by this router or another.
  const ReadingTime& reading() const { return reading_; }

 private:
  // Whether the store may have been down between what is known here and
  // `reading`.
  bool IsAfterGap(const ReadingTime& reading) const;
  // Whether `reading` goes on until the reading known here began.
  bool Adjoins(const ReadingTime& reading) const;
  void NoteReading(const ReadingTime& reading);
  void StartGrace(const ReadingTime& reading, absl::Time now);
  void Take(const Servers& entries, absl::Time now);
  void LogChanges(const Servers& present, absl::Time now) const;

  const ServerListOptions options_;
  Servers servers_;
  uint64_t changes_ = 0;
  ReadingTime reading_;
  // The last read before the gap for which servers are kept.
  absl::Time gap_began_ = absl::InfinitePast();
  absl::Time kept_until_ = absl::InfinitePast();
  std::map<std::string, absl::Time> kept_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_SERVER_LIST_H_
