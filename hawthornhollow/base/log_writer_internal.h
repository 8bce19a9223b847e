#ifndef HAWTHORNHOLLOW_BASE_LOG_WRITER_INTERNAL_H_
#define HAWTHORNHOLLOW_BASE_LOG_WRITER_INTERNAL_H_

// Log lines between those who write them and one thread that hands them to the
// system. A reader that has stopped reading blocks that thread and nobody else:
// lines beyond a bound are dropped and counted. Private to base.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace hawthornhollow {

class LogWriter {
 public:
  struct Options {
    int file_descriptor = 1;
    // Bytes of lines that wait; more than a second's worth at full rate.
    size_t max_bytes = 256 * 1024;
    // Runs on the writing thread once lines go out again after some were
    // dropped. May call Push.
    std::function<void(int64_t lines)> on_dropped;
  };

  // Never destroyed: its thread, begun with the first line, may be blocked in
  // the system for good.
  static LogWriter* Create(Options options);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Takes one line with its end, or drops it; never blocks on the reader.
  void Push(std::string_view line);
  // Waits until all lines are written; false after `timeout`.
  bool Flush(absl::Duration timeout);
  // Lines dropped since the start.
  int64_t dropped() const;

 private:
  explicit LogWriter(Options options);
  ~LogWriter() = default;
  void Run();
  // Waits for lines and takes them all.
  std::string Take();
  void TellDropped();

  const Options options_;
  mutable std::mutex mutex_;
  std::condition_variable filled_;
  std::condition_variable emptied_;
  std::string waiting_;
  bool begun_ = false;
  bool writing_ = false;
  int64_t dropped_ = 0;
  int64_t told_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_BASE_LOG_WRITER_INTERNAL_H_
