// A cancelled answer's memory is released when its fiber runs next, soon after
// its bytes are counted as free. The time for a piece is linear in the number
// of answers while the bound is passed, else logarithmic.

#include "hawthornhollow/relay/buffered_answers.h"

#include <algorithm>
#include <utility>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {

BufferedAnswers::Entry::Entry(BufferedAnswers& answers,
                              std::function<void()> cancel)
    : answers_(answers), cancel_(std::move(cancel)) {
  answers_.entries_.insert(this);
}

BufferedAnswers::Entry::~Entry() {
  if (answers_.entries_.erase(this) > 0)
    answers_.bytes_ -= bytes_;
}

bool BufferedAnswers::Entry::Grow(size_t bytes) {
  if (is_cancelled_)
    return false;
  bytes_ += bytes;
  answers_.bytes_ += bytes;
  while (answers_.bytes_ > answers_.max_bytes_) {
    Entry* const largest = answers_.Largest();
    if (largest->bytes_ <= bytes_)
      return false;
    LogEvent("answers.largest_dropped", LogSeverity::kWarning)
        .Add("bytes", largest->bytes_)
        .Add("all_bytes", answers_.bytes_)
        .Add("answers", answers_.entries_.size());
    answers_.entries_.erase(largest);
    answers_.bytes_ -= largest->bytes_;
    largest->is_cancelled_ = true;
    largest->cancel_();
  }
  return true;
}

BufferedAnswers::Entry* BufferedAnswers::Largest() const {
  return *std::max_element(
      entries_.begin(), entries_.end(),
      [](const Entry* a, const Entry* b) { return a->bytes_ < b->bytes_; });
}

}  // namespace hawthornhollow
