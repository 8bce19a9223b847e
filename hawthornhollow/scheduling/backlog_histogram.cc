#include "hawthornhollow/scheduling/backlog_histogram.h"

#include <algorithm>
#include <bit>

namespace hawthornhollow {
namespace {

// Bucket b counts the flows with a backlog in [2^(b-1), 2^b).
int BucketOf(int64_t tokens) {
  return std::bit_width(static_cast<uint64_t>(tokens)) % 64;
}

}  // namespace

void BacklogHistogram::Add(int64_t tokens) {
  Bucket& bucket = buckets_[BucketOf(tokens)];
  ++bucket.flows;
  bucket.tokens += tokens;
}

void BacklogHistogram::Remove(int64_t tokens) {
  Bucket& bucket = buckets_[BucketOf(tokens)];
  --bucket.flows;
  bucket.tokens -= tokens;
}

int64_t BacklogHistogram::SumOfMin(int64_t limit, int64_t except) const {
  int64_t sum = 0;
  for (int b = 0; b < kBuckets; ++b) {
    Bucket bucket = buckets_[b];
    if (except > 0 && b == BucketOf(except)) {
      --bucket.flows;
      bucket.tokens -= except;
    }
    // The first term is exact, and the smaller one, for a bucket entirely below
    // the limit; the second for a bucket entirely above it.
    sum += std::min(bucket.tokens, bucket.flows * limit);
  }
  return sum;
}

}  // namespace hawthornhollow
