// Two sums are kept while deciding: what is held now, by which grants are made,
// and what will be held once the refused and evicted requests have left. The
// second one keeps two waiting requests from evicting for the same need, and
// tells who need not be refused.
//
// No request waits without bound: one that finds no room in the second sum is
// refused after `max_wait`, and what the second sum counts as free is released
// by the fibers of the leaving requests, which wait for nobody.

#include "hawthornhollow/http/request_memory.h"

#include <algorithm>
#include <numeric>
#include <tuple>

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

std::vector<RequestMemory::Requests::iterator> RequestMemory::FindVictims(
    const Sums& sums,
    const Request& request,
    absl::Time now) {
  std::vector<Requests::iterator> stalled;
  for (auto it = requests_.begin(); it != requests_.end(); ++it) {
    const Request& other = it->second;
    if (!other.is_waiting && !other.is_complete && !other.is_leaving &&
        other.held > 0 && now - other.progress_at >= options_.stall_time)
      stalled.push_back(it);
  }
  std::stable_sort(stalled.begin(), stalled.end(),
                   [](const auto& left, const auto& right) {
                     return left->second.held > right->second.held;
                   });
  Sums left = sums;
  std::vector<Requests::iterator> victims;
  for (const auto& candidate : stalled) {
    Subtract(&left, candidate->second.client, candidate->second.held);
    victims.push_back(candidate);
    if (Fits(left, request, request.wanted))
      return victims;
  }
  return {};
}

RequestMemory::Decisions RequestMemory::Decide(absl::Time now) {
  Decisions decisions;
  if (waiting_ == 0)
    return decisions;
  const std::vector<Requests::iterator> waiting = WaitingFromSmallest();
  Sums later = used_;
  for (const auto& [id, request] : requests_) {
    if (request.is_leaving)
      Subtract(&later, request.client, request.held);
  }
  // Those that find no room even when the leaving ones have left.
  std::vector<Requests::iterator> without_room;
  for (const auto& it : waiting) {
    Request& request = it->second;
    if (!Fits(later, request, request.wanted)) {
      for (const auto& victim : FindVictims(later, request, now)) {
        victim->second.is_leaving = true;
        Subtract(&later, victim->second.client, victim->second.held);
        decisions.evicted.push_back(victim->first);
      }
    }
    if (!Fits(later, request, request.wanted)) {
      without_room.push_back(it);
      continue;
    }
    Replace(&later, request, request.wanted);
    if (!Fits(used_, request, request.wanted))
      continue;
    Grant(&request, now);
    decisions.granted.push_back(it->first);
  }
  while (!without_room.empty()) {
    const auto largest = without_room.back();
    without_room.pop_back();
    Request& request = largest->second;
    if (Fits(later, request, request.wanted)) {
      Replace(&later, request, request.wanted);
      continue;
    }
    if (now - request.waits_since < options_.max_wait)
      continue;
    request.is_waiting = false;
    --waiting_;
    request.is_leaving = true;
    Subtract(&later, request.client, request.held);
    decisions.refused.push_back(largest->first);
    // Room for the smallest first.
    std::erase_if(without_room, [&](const auto& it) {
      const bool fits = Fits(later, it->second, it->second.wanted);
      if (fits)
        Replace(&later, it->second, it->second.wanted);
      return fits;
    });
  }
  return decisions;
}

}  // namespace hawthornhollow
