// Checkpoints of MembershipFold.

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/ledger/state.h"

namespace hawthornhollow {
namespace {

std::unique_ptr<fb::RouterRowT> PackRouter(
    const MembershipFold::Router& router) {
  auto row = std::make_unique<fb::RouterRowT>();
  row->incarnation = router.incarnation;
  row->name = router.name;
  row->failure_domain = router.failure_domain;
  row->state = static_cast<int8_t>(router.state);
  row->opened_offset = router.opened_offset;
  row->suspect_offset = router.suspect_offset;
  row->last_alive_offset = router.last_alive_offset;
  row->closed_offset = router.closed_offset;
  row->sealed_by.assign(router.sealed_by.begin(), router.sealed_by.end());
  row->settled_gates.assign(router.settled_gates.begin(),
                            router.settled_gates.end());
  return row;
}

MembershipFold::Router UnpackRouter(const fb::RouterRowT& row) {
  MembershipFold::Router router;
  router.incarnation = row.incarnation;
  router.name = row.name;
  router.failure_domain = row.failure_domain;
  router.state = static_cast<RouterState>(row.state);
  router.opened_offset = row.opened_offset;
  router.suspect_offset = row.suspect_offset;
  router.last_alive_offset = row.last_alive_offset;
  router.closed_offset = row.closed_offset;
  router.sealed_by.insert(row.sealed_by.begin(), row.sealed_by.end());
  router.settled_gates.insert(row.settled_gates.begin(),
                              row.settled_gates.end());
  return router;
}

std::unique_ptr<fb::GateRowT> PackGate(const MembershipFold::Gate& gate) {
  auto row = std::make_unique<fb::GateRowT>();
  row->gate = gate.gate;
  row->incarnation = gate.incarnation;
  row->server = gate.server;
  row->opened_offset = gate.opened_offset;
  row->closed = gate.closed;
  row->lost = gate.lost;
  row->ended_offset = gate.ended_offset;
  return row;
}

bool IsKnownState(int8_t state) {
  return state >= static_cast<int8_t>(RouterState::kOpen) &&
         state <= static_cast<int8_t>(RouterState::kClosed);
}

}  // namespace

std::string MembershipFold::Serialize() const {
  fb::MembershipStateT state;
  state.applied_offset = applied_offset_;
  for (const auto& [incarnation, router] : routers_)
    state.routers.push_back(PackRouter(router));
  for (const auto& [incarnation, gate] : gates_)
    state.gates.push_back(PackGate(gate));
  state.writers = PackWriters(sequences_);
  return PackState(state);
}

absl::StatusOr<MembershipFold> MembershipFold::Restore(std::string_view bytes) {
  auto state = UnpackState<fb::MembershipStateT>(bytes);
  if (!state.ok())
    return state.status();
  const fb::MembershipStateT& from = **state;
  MembershipFold fold;
  fold.applied_offset_ = from.applied_offset;
  for (const auto& row : from.routers) {
    if (!IsKnownState(row->state)) {
      return ErrorAt(absl::StatusCode::kDataLoss, "ledger.restore", "",
                     "unknown router state");
    }
    fold.routers_.emplace(row->incarnation, UnpackRouter(*row));
  }
  for (const auto& row : from.gates) {
    fold.gates_.emplace(
        row->incarnation,
        Gate{row->gate, row->incarnation, row->server, row->opened_offset,
             row->closed, row->lost, row->ended_offset});
  }
  fold.sequences_ = UnpackWriters(from.writers);
  return fold;
}

}  // namespace hawthornhollow
