#ifndef HAWTHORNHOLLOW_GATE_USAGE_METER_H_
#define HAWTHORNHOLLOW_GATE_USAGE_METER_H_

// Reads token usage out of an engine's answer as its bytes pass by.
//
//   UsageMeter meter(UsageMeter::Format::kEventStream);
//   meter.Update(bytes);
//   meter.Finish();
//   int64_t output = meter.output_tokens();

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornhollow {

// The engine's own `usage` is taken where it gives one. Else output tokens are
// the chunks that carried content. Not thread-safe.
class UsageMeter {
 public:
  enum class Format {
    kEventStream,  // server-sent events, one JSON chunk each
    kJson,         // one JSON object
  };

  explicit UsageMeter(Format format) : format_(format) {}

  void Update(std::string_view bytes);
  // No more bytes come.
  void Finish();

  // Whether the answer reached its end (the stream's end mark, or a JSON value)
  // and the engine did not cut it off by a cancel.
  bool complete() const { return complete_ && !cancelled_; }
  int64_t content_chunks() const { return content_chunks_; }
  // From the engine's `usage`.
  std::optional<int64_t> prompt_tokens() const { return prompt_tokens_; }
  int64_t output_tokens() const {
    return output_tokens_.value_or(content_chunks_);
  }

 private:
  void OnLine(std::string_view line);
  void OnJson(std::string_view text);

  Format format_;
  // The line in progress, or the whole JSON answer.
  std::string buffer_;
  bool overflow_ = false;
  bool complete_ = false;
  bool cancelled_ = false;
  int64_t content_chunks_ = 0;
  std::optional<int64_t> prompt_tokens_;
  std::optional<int64_t> output_tokens_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_GATE_USAGE_METER_H_
