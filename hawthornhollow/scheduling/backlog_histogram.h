#ifndef HAWTHORNHOLLOW_SCHEDULING_BACKLOG_HISTOGRAM_H_
#define HAWTHORNHOLLOW_SCHEDULING_BACKLOG_HISTOGRAM_H_

// Internal to the scheduling library.

#include <array>
#include <cstdint>

namespace hawthornhollow {

// Backlogs of many flows, by powers of two, so that the work that a fair
// scheduler does before a given flow's turn is found in constant time.
class BacklogHistogram {
 public:
  void Add(int64_t tokens);
  void Remove(int64_t tokens);
  // The sum over all flows, but one of backlog `except` (0: no exception), of
  // min(backlog, limit). Never below the true sum; above it by at most the
  // flows that share a power of two with `limit`.
  int64_t SumOfMin(int64_t limit, int64_t except) const;

 private:
  struct Bucket {
    int64_t flows = 0;
    int64_t tokens = 0;
  };
  static constexpr int kBuckets = 64;
  std::array<Bucket, kBuckets> buckets_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_SCHEDULING_BACKLOG_HISTOGRAM_H_
