#include "hawthornhollow/relay/load_codec_internal.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/peer_messages_generated.h"
#include "hawthornhollow/totals/message_bytes.h"

namespace hawthornhollow {
namespace {

// Far above any number of tokens or microseconds in a message, and far enough
// below the largest integer that sums do not overflow.
constexpr int64_t kMaxNumber = 1'000'000'000'000;

// Checks the numbers of a message, and keeps the first error.
class NumberCheck {
 public:
  explicit NumberCheck(std::string_view peer) : peer_(peer) {}

  int64_t Whole(std::string_view field, int64_t value) {
    if ((value < 0 || value > kMaxNumber) && status_.ok()) {
      status_ = ErrorAt(absl::StatusCode::kInvalidArgument, "peer.load", peer_,
                        std::string(field) + ": is negative or too large");
    }
    return value;
  }
  absl::Duration Microseconds(std::string_view field, int64_t value) {
    return absl::Microseconds(Whole(field, value));
  }
  void Require(std::string_view field, bool is_present) {
    if (!is_present && status_.ok()) {
      status_ = ErrorAt(absl::StatusCode::kInvalidArgument, "peer.load", peer_,
                        std::string(field) + ": is missing");
    }
  }
  const absl::Status& status() const { return status_; }

 private:
  const std::string_view peer_;
  absl::Status status_;
};

// Callers name numbers of tokens, and a server that has no room may never
// begin. No message is rejected for that.
int64_t EncodeWhole(int64_t value) {
  return std::clamp<int64_t>(value, 0, kMaxNumber);
}
int64_t EncodeTime(absl::Duration time) {
  return EncodeWhole(absl::ToInt64Microseconds(time));
}

fb::PlacementNeedsT EncodeNeeds(const PlacementRequest& request) {
  fb::PlacementNeedsT needs;
  needs.request = request.id;
  needs.service = request.service;
  for (const PromptPart& part : request.prompt) {
    auto record = std::make_unique<fb::PromptPartRecordT>();
    record->id = part.id;
    record->tokens = EncodeWhole(part.tokens);
    needs.prompt.push_back(std::move(record));
  }
  needs.prompt_tokens = EncodeWhole(request.prompt_tokens);
  needs.max_output_tokens = EncodeWhole(request.max_output_tokens);
  needs.urgency = EncodeWhole(request.urgency);
  needs.latency_target_us = EncodeTime(request.latency_target);
  needs.time_left_us = EncodeTime(request.time_left);
  return needs;
}

PlacementRequest DecodeNeeds(const std::unique_ptr<fb::PlacementNeedsT>& needs,
                             NumberCheck* check) {
  check->Require("needs", needs != nullptr);
  if (needs == nullptr)
    return {};
  PlacementRequest request{
      .id = needs->request,
      .service = needs->service,
      .prompt_tokens = check->Whole("prompt_tokens", needs->prompt_tokens),
      .max_output_tokens =
          check->Whole("max_output_tokens", needs->max_output_tokens),
      .urgency = check->Whole("urgency", needs->urgency),
      .latency_target =
          check->Microseconds("latency_target_us", needs->latency_target_us),
      .time_left = check->Microseconds("time_left_us", needs->time_left_us)};
  for (const auto& part : needs->prompt) {
    request.prompt.push_back(
        {.id = part->id, .tokens = check->Whole("prompt", part->tokens)});
  }
  return request;
}

using ProgressRecords =
    std::vector<std::unique_ptr<fb::PlacementProgressRecordT>>;

ProgressRecords EncodeProgress(const std::vector<PlacementProgress>& progress) {
  ProgressRecords records;
  for (const PlacementProgress& entry : progress) {
    auto record = std::make_unique<fb::PlacementProgressRecordT>();
    record->server = entry.server;
    record->request = entry.request;
    record->is_end = entry.event == PlacementEvent::kEnded;
    record->took_us = EncodeTime(entry.took);
    records.push_back(std::move(record));
  }
  return records;
}

std::vector<PlacementProgress> DecodeProgress(const ProgressRecords& records,
                                              NumberCheck* check) {
  std::vector<PlacementProgress> progress;
  for (const auto& record : records) {
    progress.push_back(
        {.server = record->server,
         .request = record->request,
         .event = record->is_end ? PlacementEvent::kEnded
                                 : PlacementEvent::kFirstToken,
         .took = check->Microseconds("took_us", record->took_us)});
  }
  return progress;
}

}  // namespace

std::string EncodeQuestion(const PlacementQuestion& question) {
  fb::PlacementWantedT wanted;
  wanted.router = question.router;
  wanted.needs =
      std::make_unique<fb::PlacementNeedsT>(EncodeNeeds(question.request));
  wanted.servers = question.servers;
  wanted.place_within_us = question.place_within < absl::ZeroDuration()
                               ? -1
                               : EncodeTime(question.place_within);
  wanted.progress = EncodeProgress(question.progress);
  return EncodeMessage<fb::PlacementWanted>(wanted);
}

absl::StatusOr<PlacementQuestion> DecodeQuestion(std::string_view bytes,
                                                 std::string_view peer) {
  const auto wanted = DecodeMessage<fb::PlacementWanted>(bytes, peer);
  if (!wanted.ok())
    return wanted.status();
  NumberCheck check(peer);
  PlacementQuestion question{
      .router = wanted->router,
      .request = DecodeNeeds(wanted->needs, &check),
      .servers = wanted->servers,
      .place_within = wanted->place_within_us < 0 ? PlacementQuestion::kBidOnly
                      : wanted->place_within_us >= kMaxNumber
                          ? absl::InfiniteDuration()
                          : absl::Microseconds(wanted->place_within_us),
      .progress = DecodeProgress(wanted->progress, &check)};
  if (!check.status().ok())
    return check.status();
  return question;
}

std::string EncodePlacementReply(const PlacementReply& reply) {
  fb::PlacementAnswerT answer;
  answer.placed = reply.placed;
  for (const PlacementBid& bid : reply.bids) {
    auto record = std::make_unique<fb::PlacementBidRecordT>();
    record->server = bid.server;
    record->has_room = bid.has_room;
    record->first_token_us = EncodeTime(bid.first_token);
    record->delay_to_others_us = EncodeTime(bid.delay_to_others);
    record->uncached_tokens = EncodeWhole(bid.uncached_tokens);
    record->requests = EncodeWhole(bid.requests);
    record->queued_tokens = EncodeWhole(bid.queued_tokens);
    answer.bids.push_back(std::move(record));
  }
  return EncodeMessage<fb::PlacementAnswer>(answer);
}

absl::StatusOr<PlacementReply> DecodePlacementReply(std::string_view bytes,
                                                    std::string_view peer) {
  const auto answer = DecodeMessage<fb::PlacementAnswer>(bytes, peer);
  if (!answer.ok())
    return answer.status();
  NumberCheck check(peer);
  PlacementReply reply{.placed = answer->placed};
  for (const auto& record : answer->bids) {
    reply.bids.push_back(
        {.server = record->server,
         .has_room = record->has_room,
         .first_token =
             check.Microseconds("first_token_us", record->first_token_us),
         .delay_to_others = check.Microseconds("delay_to_others_us",
                                               record->delay_to_others_us),
         .uncached_tokens =
             check.Whole("uncached_tokens", record->uncached_tokens),
         .requests = check.Whole("requests", record->requests),
         .queued_tokens = check.Whole("queued_tokens", record->queued_tokens)});
  }
  if (!check.status().ok())
    return check.status();
  return reply;
}

std::string EncodeReport(const LoadReport& report) {
  fb::LoadReportT message;
  message.router = report.router;
  for (const PlacementNotice& notice : report.notices) {
    auto record = std::make_unique<fb::PlacementNoticeRecordT>();
    record->server = notice.server;
    record->needs =
        std::make_unique<fb::PlacementNeedsT>(EncodeNeeds(notice.request));
    message.notices.push_back(std::move(record));
  }
  message.progress = EncodeProgress(report.progress);
  return EncodeMessage<fb::LoadReport>(message);
}

absl::StatusOr<LoadReport> DecodeReport(std::string_view bytes,
                                        std::string_view peer) {
  const auto message = DecodeMessage<fb::LoadReport>(bytes, peer);
  if (!message.ok())
    return message.status();
  NumberCheck check(peer);
  LoadReport report{.router = message->router};
  for (const auto& record : message->notices) {
    report.notices.push_back({.server = record->server,
                              .request = DecodeNeeds(record->needs, &check)});
  }
  report.progress = DecodeProgress(message->progress, &check);
  if (!check.status().ok())
    return check.status();
  return report;
}

}  // namespace hawthornhollow
