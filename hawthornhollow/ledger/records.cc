// Encoding and decoding of batches. Encoding uses the FlatBuffers object API.
// Decoding verifies the bytes before it reads them, and returns an error for
// batches that no writer of the fleet produces: without a writer, with a record
// without a body, with an unknown outcome or with too many records.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"
#include "flatbuffers/flatbuffers.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/wire/records_generated.h"

namespace hawthornhollow {
namespace {

constexpr flatbuffers::uoffset_t kMaxDepth = 16;
// Covers the batch, its records, their bodies and the changed files of
// publishes.
constexpr flatbuffers::uoffset_t kMaxTables = 4 * kMaxBatchRecords;

fb::PublishT ToTable(const PublishRecord& record) {
  fb::PublishT table;
  table.id = record.id;
  table.operator_name = record.operator_name;
  table.base_version = record.base_version;
  for (const FileChange& change : record.changes) {
    auto row = std::make_unique<fb::FileChangeT>();
    row->file = change.file;
    row->text = change.text.value_or("");
    row->removed = !change.text.has_value();
    table.changes.push_back(std::move(row));
  }
  return table;
}

PublishRecord FromTable(const fb::PublishT& table) {
  PublishRecord record{table.id, table.operator_name, table.base_version, {}};
  for (const auto& row : table.changes) {
    FileChange change{row->file, std::nullopt};
    if (!row->removed)
      change.text = row->text;
    record.changes.push_back(std::move(change));
  }
  return record;
}

fb::RouterOpenT ToTable(const RouterOpenRecord& record) {
  fb::RouterOpenT table;
  table.incarnation = record.incarnation;
  table.name = record.name;
  table.failure_domain = record.failure_domain;
  return table;
}

RouterOpenRecord FromTable(const fb::RouterOpenT& table) {
  return {table.incarnation, table.name, table.failure_domain};
}

fb::RouterAliveT ToTable(const RouterAliveRecord& record) {
  fb::RouterAliveT table;
  table.incarnation = record.incarnation;
  return table;
}

RouterAliveRecord FromTable(const fb::RouterAliveT& table) {
  return {table.incarnation};
}

fb::RouterClosedT ToTable(const RouterClosedRecord& record) {
  fb::RouterClosedT table;
  table.incarnation = record.incarnation;
  return table;
}

RouterClosedRecord FromTable(const fb::RouterClosedT& table) {
  return {table.incarnation};
}

fb::RouterSuspectT ToTable(const RouterSuspectRecord& record) {
  fb::RouterSuspectT table;
  table.incarnation = record.incarnation;
  table.reason = record.reason;
  return table;
}

RouterSuspectRecord FromTable(const fb::RouterSuspectT& table) {
  return {table.incarnation, table.reason};
}

fb::GateOpenT ToTable(const GateOpenRecord& record) {
  fb::GateOpenT table;
  table.gate = record.gate;
  table.incarnation = record.incarnation;
  table.server = record.server;
  return table;
}

GateOpenRecord FromTable(const fb::GateOpenT& table) {
  return {table.gate, table.incarnation, table.server};
}

fb::GateClosedT ToTable(const GateClosedRecord& record) {
  fb::GateClosedT table;
  table.incarnation = record.incarnation;
  return table;
}

GateClosedRecord FromTable(const fb::GateClosedT& table) {
  return {table.incarnation};
}

fb::GateSealedT ToTable(const GateSealedRecord& record) {
  fb::GateSealedT table;
  table.incarnation = record.incarnation;
  table.router = record.router;
  return table;
}

GateSealedRecord FromTable(const fb::GateSealedT& table) {
  return {table.incarnation, table.router};
}

fb::GateSettledT ToTable(const GateSettledRecord& record) {
  fb::GateSettledT table;
  table.router = record.router;
  table.gate_incarnation = record.gate_incarnation;
  return table;
}

GateSettledRecord FromTable(const fb::GateSettledT& table) {
  return {table.router, table.gate_incarnation};
}

fb::BudgetVotedT ToTable(const BudgetVotedRecord& record) {
  fb::BudgetVotedT table;
  table.budget = record.budget;
  table.tokens = record.tokens;
  table.config_version = record.config_version;
  return table;
}

BudgetVotedRecord FromTable(const fb::BudgetVotedT& table) {
  return {table.budget, table.tokens, table.config_version};
}

fb::GrantRequestT ToTable(const GrantRequestRecord& record) {
  fb::GrantRequestT table;
  table.budget = record.budget;
  table.incarnation = record.incarnation;
  table.tokens = record.tokens;
  table.minimum = record.minimum;
  return table;
}

GrantRequestRecord FromTable(const fb::GrantRequestT& table) {
  return {table.budget, table.incarnation, table.tokens, table.minimum};
}

fb::GrantReturnT ToTable(const GrantReturnRecord& record) {
  fb::GrantReturnT table;
  table.budget = record.budget;
  table.incarnation = record.incarnation;
  table.tokens = record.tokens;
  return table;
}

GrantReturnRecord FromTable(const fb::GrantReturnT& table) {
  return {table.budget, table.incarnation, table.tokens};
}

fb::ClaimT ToTable(const ClaimRecord& record) {
  fb::ClaimT table;
  table.request = record.request;
  table.budget = record.budget;
  table.incarnation = record.incarnation;
  table.gate_incarnation = record.gate_incarnation;
  table.server = record.server;
  return table;
}

ClaimRecord FromTable(const fb::ClaimT& table) {
  return {table.request, table.budget, table.incarnation,
          table.gate_incarnation, table.server};
}

fb::ClaimReleasedT ToTable(const ClaimReleasedRecord& record) {
  fb::ClaimReleasedT table;
  table.request = record.request;
  table.incarnation = record.incarnation;
  table.claim = record.claim;
  return table;
}

ClaimReleasedRecord FromTable(const fb::ClaimReleasedT& table) {
  return {table.request, table.incarnation, table.claim};
}

fb::BillT ToTable(const BillRecord& record) {
  fb::BillT table;
  table.request = record.request;
  table.budget = record.budget;
  table.caller = record.caller;
  table.incarnation = record.incarnation;
  table.server = record.server;
  table.witness = record.witness;
  table.prompt_tokens = record.prompt_tokens;
  table.output_tokens = record.output_tokens;
  table.charged_tokens = record.charged_tokens;
  table.outcome = static_cast<fb::Outcome>(record.outcome);
  return table;
}

BillRecord FromTable(const fb::BillT& table) {
  return {table.request,        table.budget,
          table.caller,         table.incarnation,
          table.server,         table.witness,
          table.prompt_tokens,  table.output_tokens,
          table.charged_tokens, static_cast<Outcome>(table.outcome)};
}

fb::AccountClosedT ToTable(const AccountClosedRecord& record) {
  fb::AccountClosedT table;
  table.incarnation = record.incarnation;
  table.charge_remainder = record.charge_remainder;
  return table;
}

AccountClosedRecord FromTable(const fb::AccountClosedT& table) {
  return {table.incarnation, table.charge_remainder};
}

fb::CheckpointT ToTable(const CheckpointRecord& record) {
  fb::CheckpointT table;
  table.offset = record.offset;
  table.state.assign(record.state.begin(), record.state.end());
  return table;
}

CheckpointRecord FromTable(const fb::CheckpointT& table) {
  return {table.offset, std::string(table.state.begin(), table.state.end())};
}

absl::Status Invalid(std::string_view detail) {
  return ErrorAt(absl::StatusCode::kDataLoss, "ledger.decode", "", detail);
}

bool IsKnownOutcome(fb::Outcome outcome) {
  return outcome >= fb::Outcome::MIN && outcome <= fb::Outcome::MAX;
}

absl::StatusOr<RecordBody> DecodeBody(const fb::BodyUnion& body) {
  switch (body.type) {
    case fb::Body::Publish:
      return FromTable(*body.AsPublish());
    case fb::Body::RouterOpen:
      return FromTable(*body.AsRouterOpen());
    case fb::Body::RouterAlive:
      return FromTable(*body.AsRouterAlive());
    case fb::Body::RouterClosed:
      return FromTable(*body.AsRouterClosed());
    case fb::Body::RouterSuspect:
      return FromTable(*body.AsRouterSuspect());
    case fb::Body::GateOpen:
      return FromTable(*body.AsGateOpen());
    case fb::Body::GateClosed:
      return FromTable(*body.AsGateClosed());
    case fb::Body::GateSealed:
      return FromTable(*body.AsGateSealed());
    case fb::Body::GateSettled:
      return FromTable(*body.AsGateSettled());
    case fb::Body::BudgetVoted:
      return FromTable(*body.AsBudgetVoted());
    case fb::Body::GrantRequest:
      return FromTable(*body.AsGrantRequest());
    case fb::Body::GrantReturn:
      return FromTable(*body.AsGrantReturn());
    case fb::Body::Claim:
      return FromTable(*body.AsClaim());
    case fb::Body::ClaimReleased:
      return FromTable(*body.AsClaimReleased());
    case fb::Body::Bill:
      if (!IsKnownOutcome(body.AsBill()->outcome))
        return Invalid("bill has an unknown outcome");
      return FromTable(*body.AsBill());
    case fb::Body::AccountClosed:
      return FromTable(*body.AsAccountClosed());
    case fb::Body::Checkpoint:
      return FromTable(*body.AsCheckpoint());
    case fb::Body::NONE:
      break;
  }
  return Invalid(
      absl::StrCat("unknown record type ", static_cast<int>(body.type)));
}

// Checks what the FlatBuffers verifier does not: a union may have a type but no
// value.
absl::Status CheckRecord(const fb::Record& record) {
  if (record.body() == nullptr)
    return Invalid("record has no body");
  return absl::OkStatus();
}

absl::Status CheckBatch(const fb::Batch& batch) {
  if (batch.writer() == nullptr || batch.writer()->size() == 0)
    return Invalid("batch has no writer");
  if (batch.writer()->size() > kMaxWriterBytes)
    return Invalid("writer's name is too long");
  if (batch.records() == nullptr)
    return absl::OkStatus();
  if (batch.records()->size() > kMaxBatchRecords)
    return Invalid("batch has too many records");
  for (const fb::Record* record : *batch.records()) {
    absl::Status status = CheckRecord(*record);
    if (!status.ok())
      return status;
  }
  return absl::OkStatus();
}

}  // namespace

std::string EncodeBatch(const Batch& batch) {
  fb::BatchT table;
  table.writer = batch.writer;
  table.records.reserve(batch.records.size());
  for (const Record& record : batch.records) {
    auto row = std::make_unique<fb::RecordT>();
    row->sequence = record.sequence;
    row->time_ms = record.time_ms;
    std::visit([&row](const auto& body) { row->body.Set(ToTable(body)); },
               record.body);
    table.records.push_back(std::move(row));
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::Batch::Pack(builder, &table));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

absl::StatusOr<Batch> DecodeBatch(std::string_view bytes) {
  if (bytes.size() > kMaxBatchBytes)
    return Invalid("batch is too large");
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size(), kMaxDepth, kMaxTables);
  if (!fb::VerifyBatchBuffer(verifier))
    return Invalid("bytes are not a valid batch");
  const fb::Batch* root = fb::GetBatch(bytes.data());
  absl::Status status = CheckBatch(*root);
  if (!status.ok())
    return status;
  const std::unique_ptr<fb::BatchT> table(root->UnPack());
  Batch batch{table->writer, {}};
  batch.records.reserve(table->records.size());
  for (const auto& row : table->records) {
    absl::StatusOr<RecordBody> body = DecodeBody(row->body);
    if (!body.ok())
      return body.status();
    batch.records.push_back(
        Record{row->sequence, row->time_ms, *std::move(body)});
  }
  return batch;
}

}  // namespace hawthornhollow
