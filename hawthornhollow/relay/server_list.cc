// Bounds, for a store that is back at time 0 and a first read at time r:
//
//   r + missing_entry_grace   a server is used without an entry until then
//
// Only servers whose entries were missing in that first read are kept. An entry
// that was seen after the outage and is removed later did not expire, so its
// server is dropped at once.
//
// If another router has read the entries since before this router's gap began
// and until it ended, the store was not down, and nothing is kept. If it began
// to read before this router did, the store was back by then, and the grace
// period counts from there.

#include "hawthornhollow/relay/server_list.h"

#include <algorithm>
#include <utility>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {

void ServerList::Update(const Servers& entries,
                        absl::Time now,
                        bool is_restored) {
  const bool is_gap =
      is_restored || now - reading_.last > options_.outage_after;
  const ReadingTime reading = {
      .last = now, .unbroken_since = is_gap ? now : reading_.unbroken_since};
  UpdateFromPeer(entries, reading, now);
}

void ServerList::UpdateFromPeer(const Servers& entries,
                                const ReadingTime& reading,
                                absl::Time now) {
  if (IsAfterGap(reading))
    StartGrace(reading, now);
  else if (!kept_.empty() && Adjoins(reading))
    kept_until_ = reading.unbroken_since <= gap_began_
                      ? absl::InfinitePast()
                      : std::min(kept_until_, reading.unbroken_since +
                                                  options_.missing_entry_grace);
  NoteReading(reading);
  Take(entries, now);
}

void ServerList::DropExpired(absl::Time now) {
  if (kept_.empty() || now < kept_until_)
    return;
  Servers with_entries = servers_;
  for (const auto& [key, since] : kept_)
    with_entries.erase(key);
  Take(with_entries, now);
}

bool ServerList::IsAfterGap(const ReadingTime& reading) const {
  return reading_.last != absl::InfinitePast() &&
         reading.unbroken_since > reading_.last;
}

bool ServerList::Adjoins(const ReadingTime& reading) const {
  return reading_.unbroken_since - reading.last <= options_.outage_after;
}

void ServerList::NoteReading(const ReadingTime& reading) {
  if (IsAfterGap(reading) || reading_.last == absl::InfinitePast())
    reading_.unbroken_since = reading.unbroken_since;
  else if (Adjoins(reading))
    reading_.unbroken_since =
        std::min(reading_.unbroken_since, reading.unbroken_since);
  reading_.last = std::max(reading_.last, reading.last);
}

void ServerList::StartGrace(const ReadingTime& reading, absl::Time now) {
  gap_began_ = reading_.last;
  kept_until_ = reading.unbroken_since + options_.missing_entry_grace;
  for (const auto& [key, server] : servers_)
    kept_.try_emplace(key, now);
  LogEvent("server.grace")
      .Add("unread_ms", absl::ToInt64Milliseconds(now - gap_began_))
      .Add("for_ms", absl::ToInt64Milliseconds(kept_until_ - now));
}

void ServerList::Take(const Servers& entries, absl::Time now) {
  if (kept_.empty() && entries == servers_)
    return;
  std::map<std::string, absl::Time> kept;
  Servers present = entries;
  for (const auto& [key, since] : kept_) {
    if (now >= kept_until_ || entries.contains(key))
      continue;
    const RelayServer& server = servers_.at(key);
    if (since == now)
      LogEvent("server.kept").Add("server", server.id);
    present.emplace(key, server);
    kept.emplace(key, since);
  }
  if (present != servers_) {
    LogChanges(present, now);
    servers_ = std::move(present);
    ++changes_;
  }
  kept_ = std::move(kept);
}

void ServerList::LogChanges(const Servers& present, absl::Time now) const {
  for (const auto& [key, server] : present) {
    const auto old = servers_.find(key);
    if (old != servers_.end() && old->second.leaving == server.leaving)
      continue;
    LogEvent("server.listed")
        .Add("server", server.id)
        .Add("service", server.service)
        .Add("address", server.address.ToString())
        .Add("leaving", server.leaving ? 1 : 0);
  }
  for (const auto& [key, server] : servers_) {
    if (present.contains(key))
      continue;
    const auto kept = kept_.find(key);
    LogEvent("server.gone")
        .Add("server", server.id)
        .Add("was_leaving", server.leaving ? 1 : 0)
        .Add("kept_ms", kept == kept_.end()
                            ? -1
                            : absl::ToInt64Milliseconds(now - kept->second));
  }
}

}  // namespace hawthornhollow
