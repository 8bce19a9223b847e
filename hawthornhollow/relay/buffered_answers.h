#ifndef HAWTHORNHOLLOW_RELAY_BUFFERED_ANSWERS_H_
#define HAWTHORNHOLLOW_RELAY_BUFFERED_ANSWERS_H_

// Bounds the memory of answers that are read whole before they are passed on.
// When all together are over the bound, the largest fails: a faulty server's
// large answers must not fail the small ones of sound servers.
//
//   BufferedAnswers answers(max_bytes);
//   BufferedAnswers::Entry entry(answers, [&] { exchange.Cancel(); });
//   body.append(piece);
//   if (!entry.Grow(piece.size()) || entry.is_cancelled())
//     Fail();
//
// Used by the fibers of one thread.

#include <cstddef>
#include <functional>
#include <set>

namespace hawthornhollow {

class BufferedAnswers {
 public:
  // One answer in progress. Its bytes are released with it.
  class Entry {
   public:
    // `cancel` ends the answer's reading; called at most once, by another one's
    // Grow().
    Entry(BufferedAnswers& answers, std::function<void()> cancel);
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;
    ~Entry();

    // Counts bytes of this answer. Returns false if the bound is passed and no
    // other answer is larger.
    bool Grow(size_t bytes);
    // Whether it was ended since it was the largest.
    bool is_cancelled() const { return is_cancelled_; }

   private:
    friend class BufferedAnswers;
    BufferedAnswers& answers_;
    const std::function<void()> cancel_;
    size_t bytes_ = 0;
    bool is_cancelled_ = false;
  };

  explicit BufferedAnswers(size_t max_bytes) : max_bytes_(max_bytes) {}
  BufferedAnswers(const BufferedAnswers&) = delete;
  BufferedAnswers& operator=(const BufferedAnswers&) = delete;

  // Of all answers in progress but those that were cancelled.
  size_t bytes() const { return bytes_; }

 private:
  Entry* Largest() const;

  const size_t max_bytes_;
  size_t bytes_ = 0;
  std::set<Entry*> entries_;  // but those that were cancelled
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_BUFFERED_ANSWERS_H_
