#include "hawthornhollow/relay/peer_codec_internal.h"

#include <cmath>
#include <memory>
#include <utility>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/boot_clock.h"
#include "hawthornhollow/totals/message_bytes.h"

namespace hawthornhollow {
namespace {

std::unique_ptr<fb::EvacuationRecordT> EncodeEvacuationRecord(
    const std::optional<EvacuationRecord>& record) {
  if (!record.has_value())
    return nullptr;
  auto encoded = std::make_unique<fb::EvacuationRecordT>();
  encoded->era = record->era;
  encoded->offset = record->offset;
  encoded->evacuated = record->is_evacuated;
  encoded->written_since = record->written_since;
  encoded->previous = record->previous_offset;
  encoded->read_before = record->read_before;
  return encoded;
}

std::optional<EvacuationRecord> DecodeEvacuationRecord(
    const std::unique_ptr<fb::EvacuationRecordT>& record) {
  if (record == nullptr)
    return std::nullopt;
  return EvacuationRecord{.era = record->era,
                          .offset = record->offset,
                          .is_evacuated = record->evacuated,
                          .written_since = record->written_since,
                          .previous_offset = record->previous,
                          .read_before = record->read_before};
}

// Returns the name of the field that no router can have sent; empty if there is
// none.
std::string_view BadFieldOf(const fb::EvacuationReportT& report) {
  if (report.era < 0 || report.end < 0)
    return "era, end";
  if (report.age_us < 0 || report.era_age_us < 0)
    return "age_us, era_age_us";
  for (const auto& domain : report.domains) {
    if (domain == nullptr || domain->domain.empty())
      return "domain";
    if (domain->before != nullptr &&
        (domain->before->era >= report.era || domain->before->offset < 0))
      return "before";
    if (domain->current != nullptr &&
        (domain->current->era != report.era || domain->current->offset < 0))
      return "current";
  }
  return "";
}

}  // namespace

fb::EvacuationReportT EncodeEvacuations(const EvacuationReport& report) {
  const absl::Time now = SteadyNow();
  fb::EvacuationReportT encoded;
  encoded.era = report.position.era;
  encoded.end = report.position.offset;
  encoded.first_end = report.first_end;
  encoded.era_age_us = absl::ToInt64Microseconds(now - report.era_began);
  encoded.age_us = absl::ToInt64Microseconds(now - report.read_at);
  for (const DomainEvacuation& known : report.domains) {
    auto domain = std::make_unique<fb::DomainEvacuationT>();
    domain->domain = known.domain;
    domain->before = EncodeEvacuationRecord(known.before);
    domain->current = EncodeEvacuationRecord(known.current);
    encoded.domains.push_back(std::move(domain));
  }
  return encoded;
}

absl::StatusOr<EvacuationReport> DecodeEvacuations(std::string_view bytes,
                                                   absl::Time asked,
                                                   std::string_view peer) {
  const auto told = DecodeMessage<fb::EvacuationReport>(bytes, peer);
  if (!told.ok())
    return told.status();
  if (const std::string_view field = BadFieldOf(*told); !field.empty()) {
    return ErrorAt(absl::StatusCode::kDataLoss, "peer.evacuations", peer,
                   std::string(field) + ": cannot be so");
  }
  // The answer was made between the question and now. The read is not taken to
  // be newer than it may be, nor the era to be older.
  EvacuationReport report{
      .position = {.era = told->era, .offset = told->end},
      .first_end = told->first_end,
      .era_began = SteadyNow() - absl::Microseconds(told->era_age_us),
      .read_at = asked - absl::Microseconds(told->age_us)};
  for (const auto& domain : told->domains) {
    report.domains.push_back(
        {.domain = domain->domain,
         .before = DecodeEvacuationRecord(domain->before),
         .current = DecodeEvacuationRecord(domain->current)});
  }
  return report;
}

fb::StoredRecordT EncodeRecord(const StoredValue& stored) {
  fb::StoredRecordT record;
  record.key = stored.key;
  record.offset = stored.offset;
  record.value.assign(stored.value.begin(), stored.value.end());
  return record;
}

StoredValue DecodeRecord(const fb::StoredRecordT& record) {
  return {.key = record.key,
          .value = std::string(record.value.begin(), record.value.end()),
          .offset = record.offset};
}

fb::QuarantineRecordT EncodePart(const QuarantinedPart& part) {
  fb::QuarantineRecordT record;
  record.part = part.part;
  record.crashes = part.crashes;
  record.until_us =
      absl::ToUnixMicros(TimeOfDayNow() + (part.until - SteadyNow()));
  record.trials = part.trials;
  record.lifted = part.is_lifted;
  return record;
}

QuarantinedPart DecodePart(const fb::QuarantineRecordT& record) {
  return {.part = record.part,
          .crashes = record.crashes,
          .until = SteadyNow() +
                   (absl::FromUnixMicros(record.until_us) - TimeOfDayNow()),
          .trials = record.trials,
          .is_lifted = record.lifted};
}

namespace {

fb::ColdServerT EncodeCold(const ColdStatement& statement) {
  const absl::Time now = SteadyNow();
  fb::ColdServerT cold;
  cold.id = statement.id;
  cold.requests_per_second = statement.requests_per_second;
  cold.remaining_us = absl::ToInt64Microseconds(statement.until - now);
  cold.age_us = absl::ToInt64Microseconds(now - statement.as_of);
  return cold;
}

// The time on the way is added to both, so that no limit ends too early.
absl::StatusOr<ColdStatement> DecodeCold(const fb::ColdServerT& cold,
                                         std::string_view peer) {
  if (!std::isfinite(cold.requests_per_second) ||
      cold.requests_per_second <= 0) {
    return ErrorAt(absl::StatusCode::kInvalidArgument, "peer.cold", peer,
                   "requests_per_second: is no number above zero");
  }
  const absl::Time now = SteadyNow();
  return ColdStatement{.id = cold.id,
                       .requests_per_second = cold.requests_per_second,
                       .until = now + absl::Microseconds(cold.remaining_us),
                       .as_of = now - absl::Microseconds(cold.age_us)};
}

}  // namespace

fb::ServerLimitT EncodeLimit(const ServerLimitStatement& statement) {
  fb::ServerLimitT limit;
  limit.server = statement.server;
  limit.requests_per_second = statement.requests_per_second.value_or(0);
  limit.age_us = absl::ToInt64Microseconds(SteadyNow() - statement.as_of);
  if (statement.cold.has_value())
    limit.cold = std::make_unique<fb::ColdServerT>(EncodeCold(*statement.cold));
  return limit;
}

// The message may have been on its way for a while. A limit is taken to be as
// new as it may be, and its end as old, so that no limit ends too early.
absl::StatusOr<ServerLimitStatement> DecodeLimit(const fb::ServerLimitT& limit,
                                                 std::string_view peer) {
  if (!std::isfinite(limit.requests_per_second) ||
      limit.requests_per_second < 0) {
    return ErrorAt(absl::StatusCode::kInvalidArgument, "peer.limit", peer,
                   "requests_per_second: is no number from zero on");
  }
  ServerLimitStatement statement{
      .server = limit.server,
      .as_of = SteadyNow() - absl::Microseconds(limit.age_us)};
  if (limit.requests_per_second > 0)
    statement.requests_per_second = limit.requests_per_second;
  else
    statement.as_of -= kPeerCallTimeout;
  if (limit.cold != nullptr) {
    auto cold = DecodeCold(*limit.cold, peer);
    if (!cold.ok())
      return cold.status();
    statement.cold = *cold;
  }
  return statement;
}

fb::ServerLimitListT EncodeLimits(
    const std::vector<ServerLimitStatement>& statements) {
  fb::ServerLimitListT list;
  for (const ServerLimitStatement& statement : statements) {
    list.limits.push_back(
        std::make_unique<fb::ServerLimitT>(EncodeLimit(statement)));
  }
  return list;
}

absl::StatusOr<std::vector<ServerLimitStatement>> DecodeLimits(
    std::string_view bytes,
    std::string_view peer) {
  const auto list = DecodeMessage<fb::ServerLimitList>(bytes, peer);
  if (!list.ok())
    return list.status();
  std::vector<ServerLimitStatement> statements;
  for (const auto& limit : list->limits) {
    auto statement = DecodeLimit(*limit, peer);
    if (!statement.ok())
      return statement.status();
    statements.push_back(*std::move(statement));
  }
  return statements;
}

std::string EncodeQuarantine(const QuarantinedPart& part) {
  return EncodeMessage<fb::QuarantineRecord>(EncodePart(part));
}

absl::StatusOr<QuarantinedPart> DecodeQuarantine(const StoredValue& record) {
  const auto decoded =
      DecodeMessage<fb::QuarantineRecord>(record.value, record.key);
  if (!decoded.ok())
    return decoded.status();
  return DecodePart(*decoded);
}

}  // namespace hawthornhollow
