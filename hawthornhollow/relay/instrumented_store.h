#ifndef HAWTHORNHOLLOW_RELAY_INSTRUMENTED_STORE_H_
#define HAWTHORNHOLLOW_RELAY_INSTRUMENTED_STORE_H_

// A SharedStore that forwards to another one and records the number, results
// and durations of the calls as metrics.

#include <string>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"

namespace hawthornhollow {

template <SharedStore Store>
class InstrumentedStore {
 public:
  // `store` and `metrics` must outlive this object.
  InstrumentedStore(Store& store, RelayMetrics& metrics)
      : store_(store), metrics_(metrics) {}
  InstrumentedStore(const InstrumentedStore&) = delete;
  InstrumentedStore& operator=(const InstrumentedStore&) = delete;

  int64_t era() const { return store_.era(); }

  absl::StatusOr<StoredPage> Newest(StoreSubject subject,
                                    absl::Duration timeout) {
    return Counted("newest", subject,
                   [&] { return store_.Newest(subject, timeout); });
  }
  absl::StatusOr<StoredPage> ReadFrom(StoreSubject subject,
                                      int64_t offset,
                                      absl::Duration timeout) {
    return Counted("read", subject,
                   [&] { return store_.ReadFrom(subject, offset, timeout); });
  }
  absl::StatusOr<int64_t> AppendAt(StoreSubject subject,
                                   const std::string& key,
                                   const std::string& value,
                                   int64_t at,
                                   absl::Duration timeout) {
    return Counted("put", subject, [&] {
      return store_.AppendAt(subject, key, value, at, timeout);
    });
  }

  absl::Status AppendNext(StoreSubject subject,
                          const std::string& key,
                          const std::string& value,
                          const WriterPosition& position,
                          absl::Duration timeout) {
    return Counted("put", subject, [&] {
      return store_.AppendNext(subject, key, value, position, timeout);
    });
  }

 private:
  static const absl::Status& StatusOf(const absl::Status& status) {
    return status;
  }
  template <typename T>
  static const absl::Status& StatusOf(const absl::StatusOr<T>& result) {
    return result.status();
  }

  template <typename Call>
  auto Counted(std::string_view name, StoreSubject subject, Call call) {
    const absl::Time start_time = SteadyNow();
    auto result = call();
    metrics_.OnStoreCall(name, subject, StatusOf(result),
                         SteadyNow() - start_time);
    return result;
  }

  Store& store_;
  RelayMetrics& metrics_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_INSTRUMENTED_STORE_H_
