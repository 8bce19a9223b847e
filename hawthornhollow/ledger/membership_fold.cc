// The state machine of the "members" stream, and the rules for when the grants
// of a suspected router can be given to others.
//
// A gate is the proxy in front of one backend server. A gate seals a router
// incarnation when it fences it off: it refuses all its requests from then on.
//
// A router incarnation R may be paused for any length of time and, when it
// resumes, act as if it still held its grants. The requests that it then sends
// must be paid from R's account or be refused. R reaches backend servers only
// through gates, so R's account may be closed once no gate lets through any
// more of R's requests. The argument, for a RouterSuspect of R at offset S:
//
// 1. A gate serves only after it has read back its own GateOpen from the log,
//    and it refuses every router that its fold does not show as open. A gate
//    that opened after S has therefore read S and refuses R. The same holds for
//    a gate whose fold has removed R, because IsOpen is false for an unknown
//    incarnation.
// 2. All gates that opened before S are in the fold: a gate whose GateOpen has
//    not been applied has not served. Each of them is in one of three states:
//    - It sealed R. It refuses R permanently, and it read back its bills from
//      the ledger streams before it appended GateSealed. So the bills come
//      before any AccountClosed that relies on the seal.
//    - It is closed. It read back its bills and no longer serves any router.
//    - It is lost: a newer incarnation of the same gate opened. It will not
//      seal R, and some of its bills may be missing.
//    IsSealingComplete(R) holds when each of them is in one of these states.
// 3. A lost gate G may have let through requests of R that no process has
//    billed, and may still do so if G is only paused. R reserved tokens for
//    each of them in its account beforehand. If R has not settled G, closing
//    R's account charges all its remaining tokens and so covers all these
//    requests. The new incarnation of the gate cancels the requests that it
//    finds on the backend server, so they end as well.
// 4. GateSettled of (R, G) is R's own statement that it has read back from the
//    ledger streams the bills of all requests that it sent through G, and that
//    it sends no more through G. It counts only once G is lost, because R could
//    send more requests before.
// 5. A gate that was lost before R opened can't have requests of R: R sends
//    requests only after it has read back its own RouterOpen, and only to gates
//    that its fold shows as neither closed nor lost.
//
// A suspicion is final. RouterAlive of a suspect is rejected; a router that
// reads that it is suspected opens a new incarnation. IsSealingComplete never
// becomes false again, and once it holds, no further unsettled lost gate
// appears: S determines which gates count, and once a gate has ended it stays
// so.
//
// RouterClosed ends an incarnation, so that the fold may remove it. The router
// writes it itself after it has returned all its grants and has no request
// running. For a suspect, the process that closed its accounts in every shard
// writes it.
//
// A GateOpen that is applied late, after a newer incarnation of the same gate
// has opened, marks the newer incarnation as lost. The newer incarnation reads
// this, stops serving and opens again. The requests that it let through until
// then are treated like those of any lost gate, which is safe.
//
// "Before" and "after" refer to offsets: the records of one batch share an
// offset and are read together.
//
// Limits: kMaxEnded closed routers, closed gates and lost gates. The one that
// ended first is removed first, but never a lost gate that some router which
// isn't closed could have reached and that has neither sealed nor been settled
// by that router. Suspects are kept until they are closed.

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
  auto verdicts = ApplyBatch(
      offset, batch, &sequences_,
      [this](const RecordBody& body, const RecordPosition& position) {
        return std::visit(
            [this, &position](const auto& record) {
              if constexpr (requires { this->Decide(record, position); })
                return this->Decide(record, position);
              else
                return RejectedForStream();
            },
            body);
      });
  RemoveOldestEnded();
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

bool MembershipFold::IsUnsettledLostGate(const Router& router,
                                         const Gate& gate) {
  return gate.lost && CouldReach(router, gate) &&
         !router.sealed_by.contains(gate.incarnation) &&
         !router.settled_gates.contains(gate.incarnation);
}

bool MembershipFold::IsSealingComplete(std::string_view router) const {
  const Router* found = Find(routers_, router);
  if (found == nullptr || found->state == RouterState::kOpen)
    return false;
  return std::all_of(gates_.begin(), gates_.end(), [&](const auto& entry) {
    const Gate& gate = entry.second;
    return IsEnded(gate) || !CouldReach(*found, gate) ||
           found->sealed_by.contains(gate.incarnation);
  });
}

bool MembershipFold::HasUnsettledLostGate(std::string_view router) const {
  const Router* found = Find(routers_, router);
  if (found == nullptr)
    return false;
  return std::any_of(gates_.begin(), gates_.end(), [&](const auto& entry) {
    return IsUnsettledLostGate(*found, entry.second);
  });
}

RecordDecision MembershipFold::Decide(const RouterOpenRecord& open,
                                      const RecordPosition& position) {
  if (open.incarnation.empty())
    return Rejected("no incarnation named");
  if (routers_.contains(open.incarnation))
    return Duplicate("opened already");
  Router router;
  router.incarnation = open.incarnation;
  router.name = open.name;
  router.failure_domain = open.failure_domain;
  router.opened_offset = position.offset;
  router.last_alive_offset = position.offset;
  routers_.emplace(open.incarnation, std::move(router));
  return Accepted();
}

RecordDecision MembershipFold::Decide(const RouterAliveRecord& alive,
                                      const RecordPosition& position) {
  Router* router = FindMutable(routers_, alive.incarnation);
  if (router == nullptr)
    return Rejected("unknown router");
  if (router->state != RouterState::kOpen)
    return Rejected(router->state == RouterState::kSuspect ? "suspect"
                                                           : "closed");
  router->last_alive_offset = position.offset;
  return Accepted();
}

RecordDecision MembershipFold::Decide(const RouterClosedRecord& closed,
                                      const RecordPosition& position) {
  Router* router = FindMutable(routers_, closed.incarnation);
  if (router == nullptr)
    return Rejected("unknown router");
  if (router->state == RouterState::kClosed)
    return Duplicate("closed already");
  router->state = RouterState::kClosed;
  router->closed_offset = position.offset;
  return Accepted();
}

RecordDecision MembershipFold::Decide(const RouterSuspectRecord& suspect,
                                      const RecordPosition& position) {
  Router* router = FindMutable(routers_, suspect.incarnation);
  if (router == nullptr)
    return Rejected("unknown router");
  if (router->state == RouterState::kSuspect)
    return Duplicate("suspect already");
  if (router->state == RouterState::kClosed)
    return Rejected("closed");
  router->state = RouterState::kSuspect;
  router->suspect_offset = position.offset;
  return Accepted();
}

RecordDecision MembershipFold::Decide(const GateOpenRecord& open,
                                      const RecordPosition& position) {
  if (open.incarnation.empty() || open.gate.empty())
    return Rejected("no gate named");
  if (gates_.contains(open.incarnation))
    return Duplicate("opened already");
  MarkGateLost(open.gate, position.offset);
  Gate gate{open.gate, open.incarnation, open.server};
  gate.opened_offset = position.offset;
  gates_.emplace(open.incarnation, std::move(gate));
  return Accepted();
}

void MembershipFold::MarkGateLost(const std::string& gate, int64_t offset) {
  for (auto& [incarnation, other] : gates_) {
    if (other.gate != gate || IsEnded(other))
      continue;
    other.lost = true;
    other.ended_offset = offset;
  }
}

RecordDecision MembershipFold::Decide(const GateClosedRecord& closed,
                                      const RecordPosition& position) {
  Gate* gate = FindMutable(gates_, closed.incarnation);
  if (gate == nullptr)
    return Rejected("unknown gate");
  if (gate->closed)
    return Duplicate("closed already");
  if (gate->lost)
    return Rejected("lost");
  gate->closed = true;
  gate->ended_offset = position.offset;
  return Accepted();
}

RecordDecision MembershipFold::Decide(const GateSealedRecord& sealed,
                                      const RecordPosition& position) {
  const Gate* gate = Find(gates_, sealed.incarnation);
  if (gate == nullptr)
    return Rejected("unknown gate");
  if (IsEnded(*gate))
    return Rejected(gate->closed ? "gate is closed" : "gate is lost");
  Router* router = FindMutable(routers_, sealed.router);
  if (router == nullptr)
    return Rejected("unknown router");
  if (router->state != RouterState::kSuspect)
    return Rejected("router is not suspect");
  if (!router->sealed_by.insert(sealed.incarnation).second)
    return Duplicate("sealed already");
  return Accepted();
}

RecordDecision MembershipFold::Decide(const GateSettledRecord& settled,
                                      const RecordPosition& position) {
  const Gate* gate = Find(gates_, settled.gate_incarnation);
  if (gate == nullptr)
    return Rejected("unknown gate");
  if (!gate->lost)
    return Rejected("gate is not lost");
  Router* router = FindMutable(routers_, settled.router);
  if (router == nullptr)
    return Rejected("unknown router");
  if (router->state == RouterState::kClosed)
    return Rejected("closed");
  if (!router->settled_gates.insert(settled.gate_incarnation).second)
    return Duplicate("settled already");
  return Accepted();
}

bool MembershipFold::MustKeep(const Gate& gate) const {
  return std::any_of(routers_.begin(), routers_.end(), [&](const auto& entry) {
    const Router& router = entry.second;
    return router.state != RouterState::kClosed &&
           IsUnsettledLostGate(router, gate);
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

void MembershipFold::RemoveOldestEnded() {
  const size_t count = CountEnded();
  if (count <= kMaxEnded)
    return;
  // Ended incarnations by the offset at which they ended; the bool is true for
  // a gate.
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
    } else if (!MustKeep(gates_.at(incarnation))) {
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
