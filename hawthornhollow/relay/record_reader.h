#ifndef HAWTHORNHOLLOW_RELAY_RECORD_READER_H_
#define HAWTHORNHOLLOW_RELAY_RECORD_READER_H_

// Reads one subject of the store: the records since the last read; or the
// newest record of every key, if some records were deleted meanwhile, the store
// came back from an older copy, or the last read is so long ago that reading
// the records one by one would take longer.

#include <algorithm>
#include <utility>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

template <SharedStore Store>
class RecordReader {
 public:
  // `store` must outlive the reader. If the last read is longer ago than
  // `max_catch_up`, the newest records are read instead of all records since.
  RecordReader(Store& store, StoreSubject subject, absl::Duration max_catch_up)
      : store_(store), subject_(subject), max_catch_up_(max_catch_up) {}

  struct ReadResult {
    StoredPage page;
    bool is_snapshot = false;  // holds the newest record of every key
  };
  // After an error the next call reads the same records and newer ones.
  absl::StatusOr<ReadResult> Read(absl::Duration timeout) {
    if (store_.era() > position_.era || SteadyNow() - read_at_ > max_catch_up_)
      return ReadAll(timeout);
    auto page = store_.ReadFrom(subject_, position_.offset, timeout);
    if (page.status().code() == absl::StatusCode::kOutOfRange)
      return ReadAll(timeout);
    if (!page.ok())
      return page.status();
    return RecordRead({.page = *std::move(page)});
  }
  absl::StatusOr<ReadResult> ReadAll(absl::Duration timeout) {
    auto page = store_.Newest(subject_, timeout);
    if (!page.ok())
      return page.status();
    return RecordRead({.page = *std::move(page), .is_snapshot = true});
  }

  // Up to where records were read.
  const StorePosition& position() const { return position_; }
  // Skips records up to the offset `end`, which the caller itself put.
  void SetEnd(int64_t end) { position_.offset = end; }
  // Skips records up to `position`, which another reader read at `read_at`. It
  // must not be before position().
  void SkipTo(const StorePosition& position, absl::Time read_at) {
    position_ = position;
    read_at_ = std::max(read_at_, read_at);
  }

 private:
  absl::StatusOr<ReadResult> RecordRead(ReadResult result) {
    const int64_t era = store_.era();
    // Another reader is further, and SkipTo() has been called since.
    const bool is_old = era < position_.era;
    const bool is_cut = era > position_.era && !result.is_snapshot;
    if (is_old || is_cut) {
      return ErrorAt(absl::StatusCode::kAborted, "store.read", NameOf(subject_),
                     "the page is of another era");
    }
    // SkipTo() has been called since the read began.
    if (era == position_.era && result.page.end < position_.offset) {
      LogEvent("store.read_behind", LogSeverity::kWarning)
          .Add("subject", NameOf(subject_))
          .Add("end", result.page.end)
          .Add("known_end", position_.offset);
      return ReadResult{.page = {.end = position_.offset}};
    }
    position_ = {.era = era, .offset = result.page.end};
    read_at_ = SteadyNow();
    return result;
  }

  Store& store_;
  const StoreSubject subject_;
  const absl::Duration max_catch_up_;
  StorePosition position_;
  absl::Time read_at_ = absl::InfinitePast();
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RECORD_READER_H_
