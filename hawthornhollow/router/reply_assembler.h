#ifndef HAWTHORNHOLLOW_ROUTER_REPLY_ASSEMBLER_H_
#define HAWTHORNHOLLOW_ROUTER_REPLY_ASSEMBLER_H_

// Puts the frames of one answer in order and lets none through that is not its
// own.
//
// A frame belongs to the answer if its request key matches; it is new if its
// sequence is the next one. Earlier sequences are repeats after a re-attachment
// and are dropped; a later one means that frames were lost, and the caller has
// to attach again from next_sequence(). The answer is whole only when an End of
// kind Completed has come whose length and checksum are those of the bytes let
// through. Frames after the end are dropped.

#include <cstdint>
#include <string>
#include <string_view>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {

enum class FrameDisposition {
  kDeliver,  // hand the frame to the caller
  kDrop,     // not this answer's, or seen before
  kGap,      // frames are missing: attach again from next_sequence()
  kCorrupt,  // the end's length or checksum does not match
};

class ReplyAssembler {
 public:
  explicit ReplyAssembler(std::string request);

  FrameDisposition OnHead(const fb::HeadT& head);
  FrameDisposition OnData(const fb::DataT& data);
  FrameDisposition OnEnd(const fb::EndT& end);

  int64_t next_sequence() const { return next_sequence_; }
  int64_t bytes() const { return bytes_; }
  bool has_head() const { return has_head_; }
  bool ended() const { return ended_; }

 private:
  std::string request_;
  int64_t next_sequence_ = 0;
  int64_t bytes_ = 0;
  bool has_head_ = false;
  bool ended_ = false;
  StableHasher hasher_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_REPLY_ASSEMBLER_H_
