#ifndef HAWTHORNHOLLOW_RELAY_LOAD_CODEC_INTERNAL_H_
#define HAWTHORNHOLLOW_RELAY_LOAD_CODEC_INTERNAL_H_

// Conversions between the messages of load coordinators and their types.
// Private to peer_calls.cc and peer_service.cc. `peer` stands in errors.

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "hawthornhollow/relay/load_messages.h"

namespace hawthornhollow {

inline constexpr char kPlacementTarget[] = "/server-load/placement";
inline constexpr char kLoadReportTarget[] = "/server-load/report";

std::string EncodeQuestion(const PlacementQuestion& question);
absl::StatusOr<PlacementQuestion> DecodeQuestion(std::string_view bytes,
                                                 std::string_view peer);

std::string EncodePlacementReply(const PlacementReply& reply);
absl::StatusOr<PlacementReply> DecodePlacementReply(std::string_view bytes,
                                                    std::string_view peer);

std::string EncodeReport(const LoadReport& report);
absl::StatusOr<LoadReport> DecodeReport(std::string_view bytes,
                                        std::string_view peer);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_LOAD_CODEC_INTERNAL_H_
