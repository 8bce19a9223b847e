#ifndef HAWTHORNHOLLOW_RELAY_RECORD_READER_H_
#define HAWTHORNHOLLOW_RELAY_RECORD_READER_H_

// Reads one subject of the store: the records since the last read; or the
// newest record of every key, if some records were deleted meanwhile or the
// last read is so long ago that reading the records one by one would take
// longer.

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
    if (SteadyNow() - read_at_ > max_catch_up_)
      return ReadAll(timeout);
    auto page = store_.ReadFrom(subject_, end_, timeout);
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

  // The offset up to which records were read.
  int64_t end() const { return end_; }
  // Skips records up to `end`, which the caller itself put.
  void SetEnd(int64_t end) { end_ = end; }
  // Skips records up to `end`, which another reader read at `read_at`. It must
  // not be before end().
  void SkipTo(int64_t end, absl::Time read_at) {
    end_ = end;
    read_at_ = std::max(read_at_, read_at);
  }

 private:
  ReadResult RecordRead(ReadResult result) {
    // SkipTo() has been called since the read began.
    if (result.page.end < end_) {
      LogEvent("store.read_behind", LogSeverity::kWarning)
          .Add("subject", NameOf(subject_))
          .Add("end", result.page.end)
          .Add("known_end", end_);
      return {.page = {.end = end_}};
    }
    end_ = result.page.end;
    read_at_ = SteadyNow();
    return result;
  }

  Store& store_;
  const StoreSubject subject_;
  const absl::Duration max_catch_up_;
  int64_t end_ = 0;
  absl::Time read_at_ = absl::InfinitePast();
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RECORD_READER_H_
