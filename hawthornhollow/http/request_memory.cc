// Two sums are kept while deciding: what is held now, by which grants are made,
// and what will be held once the refused and evicted requests have left. The
// second one keeps two waiting requests from evicting for the same need, and
// tells who need not be refused.
//
// With n requests a decision takes n log n steps, and one look at the stalled
// ones for each size class and client: it is made whenever a request ends.
//
// No request waits without bound: one that finds no room in the second sum is
// refused after `max_wait`, and what the second sum counts as free is released
// by the fibers of the leaving requests, which wait for nobody.

#include "hawthornhollow/http/request_memory.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace hawthornhollow {

RequestMemory::RequestMemory(const RequestMemoryOptions& options)
    : options_(options) {
  const auto part = [&](double share) {
    const double bytes = share * static_cast<double>(options.total_bytes);
    return std::max(static_cast<size_t>(bytes), options.largest_request_bytes);
  };
  client_cap_ = part(options.client_share);
  caps_[kTiny] = std::max(options.total_bytes, options.largest_request_bytes);
  caps_[kSmall] = part(options.small_share);
  caps_[kLarge] = part(options.large_share);
}

size_t RequestMemory::Sums::Total() const {
  return std::accumulate(of_class.begin(), of_class.end(), size_t{0});
}

RequestMemory::SizeClass RequestMemory::ClassOf(size_t bytes) const {
  if (bytes <= options_.tiny_bytes)
    return kTiny;
  return bytes <= options_.small_bytes ? kSmall : kLarge;
}

void RequestMemory::Add(Sums* sums,
                        const std::string& client,
                        size_t bytes) const {
  const SizeClass size_class = ClassOf(bytes);
  sums->of_class[size_class] += bytes;
  if (size_class == kLarge)
    sums->large_of_client[client] += bytes;
}

void RequestMemory::Subtract(Sums* sums,
                             const std::string& client,
                             size_t bytes) const {
  const SizeClass size_class = ClassOf(bytes);
  sums->of_class[size_class] -= bytes;
  if (size_class != kLarge)
    return;
  const auto found = sums->large_of_client.find(client);
  found->second -= bytes;
  if (found->second == 0)
    sums->large_of_client.erase(found);
}

bool RequestMemory::Fits(const Sums& sums,
                         const Request& request,
                         size_t bytes) const {
  // What the request holds now is replaced.
  std::array<size_t, kClasses> others = sums.of_class;
  others[ClassOf(request.held)] -= request.held;
  const size_t size_class = ClassOf(bytes);
  size_t of_this_and_larger = bytes;
  for (size_t i = kClasses; i-- > 0;) {
    of_this_and_larger += others[i];
    if (i <= size_class && of_this_and_larger > caps_[i])
      return false;
  }
  if (size_class != kLarge)
    return true;
  const auto found = sums.large_of_client.find(request.client);
  size_t of_client = found == sums.large_of_client.end() ? 0 : found->second;
  if (ClassOf(request.held) == kLarge)
    of_client -= request.held;
  return of_client + bytes <= client_cap_;
}

void RequestMemory::Replace(Sums* sums,
                            const Request& request,
                            size_t bytes) const {
  Subtract(sums, request.client, request.held);
  Add(sums, request.client, bytes);
}

RequestMemory::Id RequestMemory::Begin(const std::string& client,
                                       absl::Time now) {
  requests_[next_] = {.client = client, .progress_at = now};
  return next_++;
}

bool RequestMemory::Resize(Id id, size_t bytes, absl::Time now) {
  Request& request = requests_.at(id);
  const bool is_overtaking =
      waiting_ > 0 && bytes > request.held &&
      std::any_of(requests_.begin(), requests_.end(), [&](const auto& other) {
        return other.second.is_waiting && other.second.wanted <= bytes;
      });
  if (bytes <= request.held ||
      (!is_overtaking && Fits(used_, request, bytes))) {
    Replace(&used_, request, bytes);
    request.held = bytes;
    return true;
  }
  request.is_waiting = true;
  ++waiting_;
  request.wanted = bytes;
  request.waits_since = now;
  return false;
}

void RequestMemory::OnArrived(Id id, size_t bytes, absl::Time now) {
  Request& request = requests_.at(id);
  request.arrived += bytes;
  if (request.arrived < options_.stall_bytes)
    return;
  request.arrived = 0;
  request.progress_at = now;
}

void RequestMemory::Complete(Id id) {
  requests_.at(id).is_complete = true;
}

void RequestMemory::End(Id id) {
  const auto found = requests_.find(id);
  Subtract(&used_, found->second.client, found->second.held);
  waiting_ -= found->second.is_waiting ? 1 : 0;
  requests_.erase(found);
}

void RequestMemory::Grant(Request* request, absl::Time now) {
  Replace(&used_, *request, request->wanted);
  request->held = request->wanted;
  request->is_waiting = false;
  --waiting_;
  // Nothing was read while it waited.
  request->progress_at = now;
  request->arrived = 0;
}

std::vector<RequestMemory::Requests::iterator>
RequestMemory::WaitingFromSmallest() {
  std::vector<Requests::iterator> waiting;
  for (auto it = requests_.begin(); it != requests_.end(); ++it) {
    if (it->second.is_waiting)
      waiting.push_back(it);
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const auto& left, const auto& right) {
              return std::tuple(left->second.wanted, left->first) <
                     std::tuple(right->second.wanted, right->first);
            });
  return waiting;
}

std::vector<RequestMemory::Requests::iterator>
RequestMemory::StalledFromLargest(absl::Time now) {
  std::vector<Requests::iterator> stalled;
  for (auto it = requests_.begin(); it != requests_.end(); ++it) {
    const Request& request = it->second;
    if (!request.is_waiting && !request.is_complete && !request.is_leaving &&
        request.held > 0 && now - request.progress_at >= options_.stall_time)
      stalled.push_back(it);
  }
  std::stable_sort(stalled.begin(), stalled.end(),
                   [](const auto& left, const auto& right) {
                     return left->second.held > right->second.held;
                   });
  return stalled;
}

size_t RequestMemory::CountVictims(
    const Sums& sums,
    const std::vector<Requests::iterator>& stalled,
    const Request& request) const {
  Sums left = sums;
  for (size_t i = 0; i < stalled.size(); ++i) {
    Subtract(&left, stalled[i]->second.client, stalled[i]->second.held);
    if (Fits(left, request, request.wanted))
      return i + 1;
  }
  return 0;
}

void RequestMemory::MakeRoom(absl::Time now,
                             const std::vector<Requests::iterator>& waiting,
                             Sums* later,
                             Decisions* decisions) {
  std::vector<Requests::iterator> stalled = StalledFromLargest(now);
  // Requests of this class (and client, if large) find no room even if all
  // stalled ones leave: nor do later ones, which want more.
  std::set<std::pair<SizeClass, std::string>> hopeless;
  for (const auto& it : waiting) {
    Request& request = it->second;
    const SizeClass size_class = ClassOf(request.wanted);
    const std::pair<SizeClass, std::string> kind = {
        size_class, size_class == kLarge ? request.client : ""};
    if (!Fits(*later, request, request.wanted)) {
      const size_t victims =
          hopeless.contains(kind) ? 0 : CountVictims(*later, stalled, request);
      if (victims == 0) {
        hopeless.insert(kind);
        continue;
      }
      for (size_t i = 0; i < victims; ++i) {
        Request& victim = stalled[i]->second;
        victim.is_leaving = true;
        Subtract(later, victim.client, victim.held);
        decisions->evicted.push_back(stalled[i]->first);
      }
      stalled.erase(stalled.begin(),
                    std::next(stalled.begin(), static_cast<int64_t>(victims)));
    }
    Replace(later, request, request.wanted);
    request.has_room_later = true;
    if (!Fits(used_, request, request.wanted))
      continue;
    Grant(&request, now);
    decisions->granted.push_back(it->first);
  }
}

void RequestMemory::RefuseOverdue(absl::Time now,
                                  std::vector<Requests::iterator> without_room,
                                  Sums* later,
                                  Decisions* decisions) {
  while (!without_room.empty()) {
    const auto largest = without_room.back();
    without_room.pop_back();
    Request& request = largest->second;
    if (now - request.waits_since < options_.max_wait)
      continue;
    request.is_waiting = false;
    --waiting_;
    request.is_leaving = true;
    decisions->refused.push_back(largest->first);
    if (request.held == 0)
      continue;
    Subtract(later, request.client, request.held);
    // Room for the smallest first.
    std::erase_if(without_room, [&](const auto& it) {
      const bool fits = Fits(*later, it->second, it->second.wanted);
      if (fits)
        Replace(later, it->second, it->second.wanted);
      return fits;
    });
  }
}

RequestMemory::Decisions RequestMemory::Decide(absl::Time now) {
  Decisions decisions;
  if (waiting_ == 0)
    return decisions;
  std::vector<Requests::iterator> waiting = WaitingFromSmallest();
  Sums later = used_;
  for (const auto& [id, request] : requests_) {
    if (request.is_leaving)
      Subtract(&later, request.client, request.held);
  }
  for (const auto& it : waiting)
    it->second.has_room_later = false;
  MakeRoom(now, waiting, &later, &decisions);
  std::erase_if(waiting,
                [](const auto& it) { return it->second.has_room_later; });
  RefuseOverdue(now, std::move(waiting), &later, &decisions);
  return decisions;
}

}  // namespace hawthornhollow
