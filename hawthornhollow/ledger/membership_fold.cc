// The fold of the "members" stream, and when a suspected router's grants may
// be given to others.
//
// A router incarnation R may be paused for any length of time and wake up
// believing that it still holds its grants. What it dispatches then must be
// paid from R's account, or be refused. R reaches backend servers through
// gates only, so R's account may be closed once no gate lets through any more
// of its work. The argument, for a RouterSuspect of R at offset S:
//
// 1. A gate serves only after it has read back its own GateOpen, and refuses
//    every router that its fold does not show as open. A gate that opened after
//    S has therefore read S and refuses R. So does a gate for which R was
//    dropped from the fold, as IsOpen is false for an unknown incarnation.
// 2. The gates that opened before S are all in the fold: one whose GateOpen has
//    not been applied has not served. Each of them either
//    - sealed R: it refuses R for ever, and read back its bills from the
//      ledger streams before it appended GateSealed, so that they stand before
//      any AccountClosed that rests on the seal;
//    - closed: it read back its bills and serves nobody any more; or
//    - is lost: a newer incarnation of the same gate name opened, so it will
//      not seal R and its bills may be missing.
//    SealingComplete(R) holds when each is one of the three.
// 3. A lost gate G may have let through work of R that nobody billed, and may,
//    if it is only paused, still do so. Each such dispatch was reserved by R in
//    R's account before. If R is still unsettled with G, closing charges R's
//    whole remainder, and so covers every one of them. The new incarnation of
//    the gate cancels what it finds on the backend server, so the work itself
//    ends as well.
// 4. GateSettled of (R, G) is R's own word that all that it sent through G has
//    been billed, read back from the ledger streams, and that it sends nothing
//    more through G. It counts only once G is lost; before, R might send again.
// 5. A gate that was lost before R opened cannot have R's work: R dispatches
//    only after it has read back its RouterOpen, and only to gates that its
//    fold shows as neither closed nor lost.
//
// Suspicion is final. RouterAlive of a suspect is void; a router that reads its
// own suspicion opens a new incarnation. SealingComplete never goes back to
// false, and once it holds no new unsettled loss appears: the gates that count
// are fixed by S, and each of their endings is final.
//
// RouterClosed ends an incarnation: written by itself after it has returned
// everything and no dispatch is left, or for a suspect by whoever closed its
// accounts in every shard, so that the fold may drop it.
//
// A GateOpen that lands late, after a newer incarnation of the same gate
// opened, marks the newer one as lost. That one reads it, stops serving, and
// opens again; what it let through meanwhile counts as lost, which is safe.
//
// Before and after are by offset: the records of one batch are read together.
//
// Bounds: kMaxEnded closed routers, closed gates and lost gates. The oldest is
// dropped first, but never a lost gate that an unclosed router could have
// reached and has neither sealed nor settled. Suspects stay until closed.

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/ledger/apply.h"
#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {
namespace {

using Router = MembershipFold::Router;
using Gate = MembershipFold::Gate;

template <typename T>
const T* Find(const std::map<std::string, T>& map, std::string_view key) {
  const auto it = map.find(std::string(key));
  return it == map.end() ? nullptr : &it->second;
}

template <typename T>
T* FindMutable(std::map<std::string, T>& map, const std::string& key) {
  const auto it = map.find(key);
  return it == map.end() ? nullptr : &it->second;
}

bool IsEnded(const Gate& gate) {
  return gate.closed || gate.lost;
}

}  // namespace

std::vector<Verdict> MembershipFold::Apply(int64_t offset, const Batch& batch) {
  if (offset <= applied_offset_)
    return {};
  applied_offset_ = offset;
  auto verdicts =
      ApplyBatch(offset, batch, &sequences_,
                 [this](const RecordBody& body, const RecordPosition& at) {
                   return std::visit(
                       [this, &at](const auto& record) {
                         if constexpr (requires { this->Decide(record, at); })
                           return this->Decide(record, at);
                         else
                           return VoidForStream();
                       },
                       body);
                 });
  DropOldest();
  return verdicts;
}

bool MembershipFold::IsSuspect(std::string_view router) const {
  const Router* found = Find(routers_, router);
  return found != nullptr && found->state == RouterState::kSuspect;
}

bool MembershipFold::IsOpen(std::string_view router) const {
  const Router* found = Find(routers_, router);
  return found != nullptr && found->state == RouterState::kOpen;
}

bool MembershipFold::CouldReach(const Router& router, const Gate& gate) {
  if (IsEnded(gate) && gate.ended_offset < router.opened_offset)
    return false;
  const bool suspected = router.suspect_offset >= 0;
  return !suspected || gate.opened_offset < router.suspect_offset;
}

bool MembershipFold::IsUnsettledLoss(const Router& router, const Gate& gate) {
  return gate.lost && CouldReach(router, gate) &&
         !router.sealed_by.contains(gate.incarnation) &&
         !router.settled_gates.contains(gate.incarnation);
}

bool MembershipFold::SealingComplete(std::string_view router) const {
  const Router* found = Find(routers_, router);
  if (found == nullptr || found->state == RouterState::kOpen)
    return false;
  return std::all_of(gates_.begin(), gates_.end(), [&](const auto& entry) {
    const Gate& gate = entry.second;
    return IsEnded(gate) || !CouldReach(*found, gate) ||
           found->sealed_by.contains(gate.incarnation);
  });
}

bool MembershipFold::HasUnsettledLoss(std::string_view router) const {
  const Router* found = Find(routers_, router);
  if (found == nullptr)
    return false;
  return std::any_of(gates_.begin(), gates_.end(), [&](const auto& entry) {
    return IsUnsettledLoss(*found, entry.second);
  });
}

Ruling MembershipFold::Decide(const RouterOpenRecord& open,
                              const RecordPosition& at) {
  if (open.incarnation.empty())
    return Void("no incarnation named");
  if (routers_.contains(open.incarnation))
    return Repeat("opened already");
  Router router;
  router.incarnation = open.incarnation;
  router.name = open.name;
  router.failure_domain = open.failure_domain;
  router.opened_offset = at.offset;
  router.last_alive_offset = at.offset;
  routers_.emplace(open.incarnation, std::move(router));
  return Accepted();
}

Ruling MembershipFold::Decide(const RouterAliveRecord& alive,
                              const RecordPosition& at) {
  Router* router = FindMutable(routers_, alive.incarnation);
  if (router == nullptr)
    return Void("unknown router");
  if (router->state != RouterState::kOpen)
    return Void(router->state == RouterState::kSuspect ? "suspect" : "closed");
  router->last_alive_offset = at.offset;
  return Accepted();
}

Ruling MembershipFold::Decide(const RouterClosedRecord& closed,
                              const RecordPosition& at) {
  Router* router = FindMutable(routers_, closed.incarnation);
  if (router == nullptr)
    return Void("unknown router");
  if (router->state == RouterState::kClosed)
    return Repeat("closed already");
  router->state = RouterState::kClosed;
  router->closed_offset = at.offset;
  return Accepted();
}

Ruling MembershipFold::Decide(const RouterSuspectRecord& suspect,
                              const RecordPosition& at) {
  Router* router = FindMutable(routers_, suspect.incarnation);
  if (router == nullptr)
    return Void("unknown router");
  if (router->state == RouterState::kSuspect)
    return Repeat("suspect already");
  if (router->state == RouterState::kClosed)
    return Void("closed");
  router->state = RouterState::kSuspect;
  router->suspect_offset = at.offset;
  return Accepted();
}

Ruling MembershipFold::Decide(const GateOpenRecord& open,
                              const RecordPosition& at) {
  if (open.incarnation.empty() || open.gate.empty())
    return Void("no gate named");
  if (gates_.contains(open.incarnation))
    return Repeat("opened already");
  LoseGate(open.gate, at.offset);
  Gate gate{open.gate, open.incarnation, open.server};
  gate.opened_offset = at.offset;
  gates_.emplace(open.incarnation, std::move(gate));
  return Accepted();
}

void MembershipFold::LoseGate(const std::string& gate, int64_t offset) {
  for (auto& [incarnation, other] : gates_) {
    if (other.gate != gate || IsEnded(other))
      continue;
    other.lost = true;
    other.ended_offset = offset;
  }
}

Ruling MembershipFold::Decide(const GateClosedRecord& closed,
                              const RecordPosition& at) {
  Gate* gate = FindMutable(gates_, closed.incarnation);
  if (gate == nullptr)
    return Void("unknown gate");
  if (gate->closed)
    return Repeat("closed already");
  if (gate->lost)
    return Void("lost");
  gate->closed = true;
  gate->ended_offset = at.offset;
  return Accepted();
}

Ruling MembershipFold::Decide(const GateSealedRecord& sealed,
                              const RecordPosition& at) {
  const Gate* gate = Find(gates_, sealed.incarnation);
  if (gate == nullptr)
    return Void("unknown gate");
  if (IsEnded(*gate))
    return Void(gate->closed ? "gate is closed" : "gate is lost");
  Router* router = FindMutable(routers_, sealed.router);
  if (router == nullptr)
    return Void("unknown router");
  if (router->state != RouterState::kSuspect)
    return Void("router is not suspect");
  if (!router->sealed_by.insert(sealed.incarnation).second)
    return Repeat("sealed already");
  return Accepted();
}

Ruling MembershipFold::Decide(const GateSettledRecord& settled,
                              const RecordPosition& at) {
  const Gate* gate = Find(gates_, settled.gate_incarnation);
  if (gate == nullptr)
    return Void("unknown gate");
  if (!gate->lost)
    return Void("gate is not lost");
  Router* router = FindMutable(routers_, settled.router);
  if (router == nullptr)
    return Void("unknown router");
  if (router->state == RouterState::kClosed)
    return Void("closed");
  if (!router->settled_gates.insert(settled.gate_incarnation).second)
    return Repeat("settled already");
  return Accepted();
}

// Whether dropping the ended `gate` could hide an unsettled loss.
bool MembershipFold::IsNeeded(const Gate& gate) const {
  return std::any_of(routers_.begin(), routers_.end(), [&](const auto& entry) {
    const Router& router = entry.second;
    return router.state != RouterState::kClosed &&
           IsUnsettledLoss(router, gate);
  });
}

size_t MembershipFold::CountEnded() const {
  const auto is_closed = [](const auto& entry) {
    return entry.second.state == RouterState::kClosed;
  };
  const auto is_ended = [](const auto& entry) { return IsEnded(entry.second); };
  return std::count_if(routers_.begin(), routers_.end(), is_closed) +
         std::count_if(gates_.begin(), gates_.end(), is_ended);
}

void MembershipFold::DropOldest() {
  const size_t count = CountEnded();
  if (count <= kMaxEnded)
    return;
  // Ended incarnations by the offset of their end; true for a gate.
  std::set<std::tuple<int64_t, bool, std::string>> ended;
  for (const auto& [incarnation, router] : routers_) {
    if (router.state == RouterState::kClosed)
      ended.emplace(router.closed_offset, false, incarnation);
  }
  for (const auto& [incarnation, gate] : gates_) {
    if (IsEnded(gate))
      ended.emplace(gate.ended_offset, true, incarnation);
  }
  size_t surplus = count - kMaxEnded;
  for (const auto& [offset, is_gate, incarnation] : ended) {
    if (surplus == 0)
      return;
    if (!is_gate) {
      routers_.erase(incarnation);
      --surplus;
    } else if (!IsNeeded(gates_.at(incarnation))) {
      gates_.erase(incarnation);
      for (auto& [name, router] : routers_) {
        router.sealed_by.erase(incarnation);
        router.settled_gates.erase(incarnation);
      }
      --surplus;
    }
  }
}

}  // namespace hawthornhollow
