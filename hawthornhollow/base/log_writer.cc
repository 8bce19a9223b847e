#include <unistd.h>

#include <cerrno>
#include <thread>
#include <utility>

#include "hawthornhollow/base/log_writer_internal.h"

namespace hawthornhollow {
namespace {

// Whether all was written. An error other than an interruption means that
// nobody will read: the lines count as dropped.
bool WriteAll(int file_descriptor, std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = write(file_descriptor, text.data(), text.size());
    if (written < 0 && errno == EINTR)
      continue;
    if (written <= 0)
      return false;
    text.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

int64_t CountLines(std::string_view text) {
  int64_t lines = 0;
  for (const char c : text)
    lines += c == '\n' ? 1 : 0;
  return lines;
}

}  // namespace

LogWriter::LogWriter(Options options) : options_(std::move(options)) {}

LogWriter* LogWriter::Create(Options options) {
  return new LogWriter(std::move(options));
}

void LogWriter::Push(std::string_view line) {
  const std::lock_guard lock(mutex_);
  if (waiting_.size() + line.size() > options_.max_bytes) {
    ++dropped_;
    return;
  }
  waiting_.append(line);
  if (!std::exchange(begun_, true))
    std::thread([this] { Run(); }).detach();
  filled_.notify_one();
}

bool LogWriter::Flush(absl::Duration timeout) {
  std::unique_lock lock(mutex_);
  return emptied_.wait_for(lock, absl::ToChronoMilliseconds(timeout),
                           [this] { return waiting_.empty() && !writing_; });
}

int64_t LogWriter::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

void LogWriter::Run() {
  while (true) {
    const std::string lines = Take();
    if (WriteAll(options_.file_descriptor, lines)) {
      TellDropped();
      continue;
    }
    const std::lock_guard lock(mutex_);
    dropped_ += CountLines(lines);
  }
}

std::string LogWriter::Take() {
  std::unique_lock lock(mutex_);
  writing_ = false;
  if (waiting_.empty())
    emptied_.notify_all();
  filled_.wait(lock, [this] { return !waiting_.empty(); });
  writing_ = true;
  return std::exchange(waiting_, {});
}

void LogWriter::TellDropped() {
  int64_t untold = 0;
  {
    const std::lock_guard lock(mutex_);
    untold = dropped_ - std::exchange(told_, dropped_);
  }
  if (untold > 0 && options_.on_dropped)
    options_.on_dropped(untold);
}

}  // namespace hawthornhollow
