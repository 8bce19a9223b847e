#ifndef HAWTHORNHOLLOW_RELAY_SHARED_STORE_H_
#define HAWTHORNHOLLOW_RELAY_SHARED_STORE_H_

// The store of keyed records that routers share, as a concept.

#include <compare>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace hawthornhollow {

struct StoredValue {
  std::string key;
  std::string value;  // empty if the key was deleted
  int64_t offset = 0;
  friend auto operator<=>(const StoredValue&, const StoredValue&) = default;
};
struct StoredPage {
  std::vector<StoredValue> values;
  int64_t end = 0;  // offset of the next record to be written
  friend auto operator<=>(const StoredPage&, const StoredPage&) = default;
};
enum class StoreSubject {
  kConfiguration,
  kServers,
  kAuthorities,  // routers' authority records, keyed by router
  kLevels,       // routers' level records, keyed by router
  kQuarantine,   // prompt parts that crash servers, keyed by part
};

std::string_view NameOf(StoreSubject subject);

// Up to where the records of a subject were read. An offset has a meaning only
// within its era: a store that comes back from an older copy has lost records,
// and gives their offsets out again.
struct StorePosition {
  int64_t era = 0;
  int64_t offset = 0;
  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

// Position of a record among those of its writer. Sequences are consecutive
// within an epoch, and no record of an epoch is accepted once a later epoch has
// begun.
struct WriterPosition {
  std::string writer;
  int64_t epoch = 0;
  int64_t sequence = 0;
  friend auto operator<=>(const WriterPosition&,
                          const WriterPosition&) = default;
};

// A store of keyed records that survive the loss of any VM.
//
//   Newest      Returns the newest record of each key.
//   ReadFrom    Returns records from an offset on, without waiting for new
//               ones. OUT_OF_RANGE if some of them were deleted.
//   AppendAt    Appends a record if `at` is the end offset, else returns
//               FAILED_PRECONDITION. After any other error the record may have
//               been written, or may still be for a while.
//   era         The number of times that the store came back from an older
//   copy,
//               by its newest answer. All results that are OK are of this era,
//               and of the era in which their call began. After another error
//               than OUT_OF_RANGE and FAILED_PRECONDITION it may have risen.
//   AppendNext  Appends a record that directly follows its writer's last one.
//               Idempotent: repeating the last record changes nothing and
//               returns OK. FAILED_PRECONDITION if the record does not follow.
//               Other errors as for AppendAt.
template <typename T>
concept SharedStore = requires(T store, const std::string& text) {
  { store.era() } -> std::same_as<int64_t>;
  {
    store.Newest(StoreSubject::kServers, absl::Duration())
    } -> std::same_as<absl::StatusOr<StoredPage>>;
  {
    store.ReadFrom(StoreSubject::kServers, int64_t{}, absl::Duration())
    } -> std::same_as<absl::StatusOr<StoredPage>>;
  {
    store.AppendAt(StoreSubject::kAuthorities, text, text, int64_t{},
                   absl::Duration())
    } -> std::same_as<absl::StatusOr<int64_t>>;
  {
    store.AppendNext(StoreSubject::kLevels, text, text, WriterPosition(),
                     absl::Duration())
    } -> std::same_as<absl::Status>;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_SHARED_STORE_H_
