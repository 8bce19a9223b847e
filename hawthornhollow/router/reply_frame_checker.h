#ifndef HAWTHORNHOLLOW_ROUTER_REPLY_FRAME_CHECKER_H_
#define HAWTHORNHOLLOW_ROUTER_REPLY_FRAME_CHECKER_H_

// Checks that the frames of one reply arrive in order and complete.
//
// A frame belongs to the reply if its request key matches. It is accepted if
// its sequence is the next one. Frames with an earlier sequence are repeats
// after a re-attachment and are dropped. A later sequence means that frames are
// missing, and the link has to attach again from next_sequence(). The reply is
// complete only when an End frame of kind Completed has arrived whose length
// and checksum match the accepted bytes. Frames after the end are dropped.

#include <cstdint>
#include <string>
#include <string_view>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {

enum class FrameDisposition {
  kDeliver,  // pass the frame on to the caller
  kDrop,     // belongs to another reply, or was accepted before
  kGap,      // frames are missing: attach again from next_sequence()
  kCorrupt,  // the length or checksum in the End does not match
};

class ReplyFrameChecker {
 public:
  explicit ReplyFrameChecker(std::string request);

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

#endif  // HAWTHORNHOLLOW_ROUTER_REPLY_FRAME_CHECKER_H_
