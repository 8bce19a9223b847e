// Decides what a call of the backend server came to.
//
// NotRun is said only when the HTTP client could make no connection, so that no
// byte of the request left this process. A plain service's call that was sent
// and not answered whole is Unknown, since its effect may have happened. An
// engine's call has no effect but its answer, so a broken answer is
// BackendFailed and may be tried again; without even a head its usage cannot be
// told, and it is Unknown, which charges the reservation.

#include "hawthornhollow/gate/run_outcome.h"

namespace hawthornhollow {
namespace {

constexpr int32_t kTooManyRequests = 429;
constexpr int32_t kFirstServerError = 500;

RunEnd End(const CallFacts& facts, fb::EndKind kind, std::string detail) {
  RunEnd end;
  end.kind = kind;
  end.prompt_tokens = facts.prompt_tokens;
  end.output_tokens = facts.output_tokens;
  end.detail = std::move(detail);
  return end;
}

RunEnd EndWithoutUsage(fb::EndKind kind, std::string detail) {
  return End(CallFacts(), kind, std::move(detail));
}

RunEnd DecideService(const CallFacts& facts, const absl::Status& status) {
  if (status.ok()) {
    return EndWithoutUsage(fb::EndKind::Completed, "");
  }
  return EndWithoutUsage(fb::EndKind::Unknown, status.ToString());
}

RunEnd DecideEngine(const CallFacts& facts, const absl::Status& status) {
  if (IsEngineRefusal(facts.status_code)) {
    return EndWithoutUsage(
        fb::EndKind::BackendFailed,
        "backend status " + std::to_string(facts.status_code));
  }
  if (facts.stopped) {
    return End(facts, fb::EndKind::Cancelled, "");
  }
  if (facts.over_limit) {
    return End(facts, fb::EndKind::BackendFailed, "output limit exceeded");
  }
  if (status.ok() && facts.answer_complete) {
    return End(facts, fb::EndKind::Completed, "");
  }
  if (status.ok()) {
    return End(facts, fb::EndKind::BackendFailed, "answer ended early");
  }
  const bool answered = facts.status_code != 0;
  return End(facts,
             answered ? fb::EndKind::BackendFailed : fb::EndKind::Unknown,
             status.ToString());
}

}  // namespace

bool IsEngineRefusal(int32_t status_code) {
  return status_code == kTooManyRequests || status_code >= kFirstServerError;
}

RunEnd DecideEnd(const CallFacts& facts, const absl::Status& status) {
  if (absl::IsUnavailable(status) && facts.status_code == 0) {
    return EndWithoutUsage(fb::EndKind::NotRun, status.ToString());
  }
  return facts.idempotent ? DecideEngine(facts, status)
                          : DecideService(facts, status);
}

}  // namespace hawthornhollow
