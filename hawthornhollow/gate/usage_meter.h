#ifndef HAWTHORNHOLLOW_GATE_USAGE_METER_H_
#define HAWTHORNHOLLOW_GATE_USAGE_METER_H_

// Reads the token usage from an engine's answer while the answer is streamed.
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

// Takes the token counts from the answer's `usage` object. Without one, counts
// each chunk that has content as one output token. Not thread-safe.
class UsageMeter {
 public:
  enum class Format {
    kEventStream,  // Server-sent events, each with one JSON chunk.
    kJson,         // One JSON object.
  };

  explicit UsageMeter(Format format) : format_(format) {}

  void Update(std::string_view bytes);
  // Call after the last Update.
  void Finish();

  // Whether the answer reached its end (the stream's [DONE] event, or a whole
  // JSON object) and was not ended early because the request was cancelled.
  bool complete() const { return complete_ && !cancelled_; }
  int64_t content_chunks() const { return content_chunks_; }
  // The value in `usage`; nullopt if there is none.
  std::optional<int64_t> prompt_tokens() const { return prompt_tokens_; }
  int64_t output_tokens() const {
    return output_tokens_.value_or(content_chunks_);
  }

 private:
  void OnLine(std::string_view line);
  void OnJson(std::string_view text);

  Format format_;
  // The incomplete last line of the stream, or the JSON answer so far.
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
