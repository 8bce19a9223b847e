// The end of a run is NotRun only if the HTTP client could not connect, so that
// no byte of the request left this process. A call of a plain service that was
// sent but not answered completely is Unknown, since its effect may have
// happened. A call of an engine has no effect other than its answer, so an
// incomplete answer is BackendFailed and the request may be retried. If not
// even the status of the answer was received, the engine's token usage cannot
// be known; the end is then Unknown, for which the whole reservation is
// charged.

#include "hawthornhollow/gate/run_outcome.h"

namespace hawthornhollow {
namespace {

constexpr int32_t kTooManyRequests = 429;
constexpr int32_t kFirstServerError = 500;

RunEnd End(const CallObservations& observations,
           fb::EndKind kind,
           std::string detail) {
  RunEnd end;
  end.kind = kind;
  end.prompt_tokens = observations.prompt_tokens;
  end.output_tokens = observations.output_tokens;
  end.detail = std::move(detail);
  return end;
}

RunEnd EndWithoutUsage(fb::EndKind kind, std::string detail) {
  return End(CallObservations(), kind, std::move(detail));
}

RunEnd ClassifyServiceEnd(const CallObservations& observations,
                          const absl::Status& status) {
  if (status.ok()) {
    return EndWithoutUsage(fb::EndKind::Completed, "");
  }
  return EndWithoutUsage(fb::EndKind::Unknown, status.ToString());
}

RunEnd ClassifyEngineEnd(const CallObservations& observations,
                         const absl::Status& status) {
  if (IsEngineRefusal(observations.status_code)) {
    return EndWithoutUsage(
        fb::EndKind::BackendFailed,
        "backend status " + std::to_string(observations.status_code));
  }
  if (observations.stopped) {
    return End(observations, fb::EndKind::Cancelled, "");
  }
  if (observations.output_limit_exceeded) {
    return End(observations, fb::EndKind::BackendFailed,
               "output limit exceeded");
  }
  if (status.ok() && observations.answer_complete) {
    return End(observations, fb::EndKind::Completed, "");
  }
  if (status.ok()) {
    return End(observations, fb::EndKind::BackendFailed, "answer ended early");
  }
  const bool answered = observations.status_code != 0;
  return End(observations,
             answered ? fb::EndKind::BackendFailed : fb::EndKind::Unknown,
             status.ToString());
}

}  // namespace

bool IsEngineRefusal(int32_t status_code) {
  return status_code == kTooManyRequests || status_code >= kFirstServerError;
}

RunEnd ClassifyRunEnd(const CallObservations& observations,
                      const absl::Status& status) {
  if (absl::IsUnavailable(status) && observations.status_code == 0) {
    return EndWithoutUsage(fb::EndKind::NotRun, status.ToString());
  }
  return observations.idempotent ? ClassifyEngineEnd(observations, status)
                                 : ClassifyServiceEnd(observations, status);
}

}  // namespace hawthornhollow
