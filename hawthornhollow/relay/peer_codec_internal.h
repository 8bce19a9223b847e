#ifndef HAWTHORNHOLLOW_RELAY_PEER_CODEC_INTERNAL_H_
#define HAWTHORNHOLLOW_RELAY_PEER_CODEC_INTERNAL_H_

// Targets of the calls between routers, and conversions between their messages
// and the types of the relay. Private to peer_calls.cc and peer_service.cc.

#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "hawthornhollow/relay/peer_messages_generated.h"
#include "hawthornhollow/relay/peer_service.h"

namespace hawthornhollow {

inline constexpr char kTransferTarget[] = "/transfer";
inline constexpr char kReturnTarget[] = "/return";
inline constexpr char kTimeTarget[] = "/time-of-day";
inline constexpr char kConfigurationTarget[] = "/configuration";
inline constexpr char kServersTarget[] = "/servers";
inline constexpr char kCrashTarget[] = "/server-crash";
inline constexpr char kSoundTarget[] = "/sound-parts";
inline constexpr char kQuarantineTarget[] = "/quarantine";
inline constexpr char kPermitTarget[] = "/server-permit";
inline constexpr char kLimitsTarget[] = "/server-limits";
inline constexpr char kEvacuationsTarget[] = "/evacuations";
inline constexpr char kVersionParameter[] = "version";
inline constexpr char kEraParameter[] = "era";
inline constexpr char kOffsetParameter[] = "after";
inline constexpr absl::Duration kPeerCallTimeout = absl::Milliseconds(150);
inline constexpr int kNoContent = 204;

fb::StoredRecordT EncodeRecord(const StoredValue& stored);
StoredValue DecodeRecord(const fb::StoredRecordT& record);

// Steady times are not comparable between VMs.
fb::QuarantineRecordT EncodePart(const QuarantinedPart& part);
QuarantinedPart DecodePart(const fb::QuarantineRecordT& record);

// Steady times are not comparable between VMs. `asked` is when the question was
// sent, `peer` stands in errors.
fb::EvacuationReportT EncodeEvacuations(const EvacuationReport& report);
absl::StatusOr<EvacuationReport> DecodeEvacuations(std::string_view bytes,
                                                   absl::Time asked,
                                                   std::string_view peer);

// Steady times are not comparable between VMs. `peer` stands in errors.
fb::ServerLimitT EncodeLimit(const ServerLimitStatement& statement);
absl::StatusOr<ServerLimitStatement> DecodeLimit(const fb::ServerLimitT& limit,
                                                 std::string_view peer);
fb::ServerLimitListT EncodeLimits(
    const std::vector<ServerLimitStatement>& statements);
absl::StatusOr<std::vector<ServerLimitStatement>> DecodeLimits(
    std::string_view bytes,
    std::string_view peer);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_PEER_CODEC_INTERNAL_H_
