#ifndef HAWTHORNHOLLOW_SCHEDULING_BACKLOG_HISTOGRAM_H_
#define HAWTHORNHOLLOW_SCHEDULING_BACKLOG_HISTOGRAM_H_

// Internal to the scheduling library.

#include <array>
#include <cstdint>

namespace hawthornhollow {

// A histogram of the backlogs of many flows, in tokens, with one bucket per
// power of two. It estimates in constant time how many tokens of other flows a
// fair scheduler serves before a given flow.
class BacklogHistogram {
 public:
  void Add(int64_t tokens);
  void Remove(int64_t tokens);
  // An upper estimate of the sum of min(backlog, limit) over all flows except
  // one whose backlog is `except`; 0 excludes no flow. Only the flows in the
  // same bucket as `limit` make it exceed the exact sum.
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
