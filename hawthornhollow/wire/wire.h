#ifndef HAWTHORNHOLLOW_WIRE_WIRE_H_
#define HAWTHORNHOLLOW_WIRE_WIRE_H_

// Frames between the system's processes, and the link that carries them.
//
//   auto link = FrameLink::Create(std::move(stream), options);
//   (*link)->Send(MakeFrame(fb::PingT{}));
//   absl::Status end = (*link)->Run([&](fb::FrameT frame) { ... });
//
// A frame travels as a 4-byte little-endian length and one FlatBuffers Frame
// (wire/frames.fbs). The object API's types (fb::DispatchT and so on) are the
// typed messages.

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/runtime/runtime.h"
#include "hawthornhollow/wire/frames_generated.h"

namespace hawthornhollow {

// Raised when frames change their meaning.
inline constexpr int32_t kFrameProtocol = 1;

// Wraps a message such as fb::PingT.
template <typename MessageT>
fb::FrameT MakeFrame(MessageT message) {
  fb::FrameT frame;
  frame.body.Set(std::move(message));
  return frame;
}

// One Frame's bytes, without the length.
std::string EncodeFrame(const fb::FrameT& frame);
// DATA_LOSS if the bytes are not one valid frame with a body.
absl::StatusOr<fb::FrameT> DecodeFrame(std::string_view bytes);

struct FrameLinkOptions {
  size_t max_frame_bytes = 8 * 1024 * 1024;
  // Frames waiting to be written; Send fails beyond it.
  size_t max_queued_bytes = 64 * 1024 * 1024;
  absl::Duration heartbeat = absl::Milliseconds(500);
  // Without a frame for this long the link is given up.
  absl::Duration silence = absl::Milliseconds(2500);
  absl::Duration write_timeout = absl::Seconds(5);
};

// One connection between two processes, multiplexed by request key. Sends
// heartbeats and answers them; a peer that falls silent ends Run.
class FrameLink : public std::enable_shared_from_this<FrameLink> {
 public:
  using Handler = std::function<void(fb::FrameT)>;

  static std::shared_ptr<FrameLink> Create(std::unique_ptr<TcpStream> stream,
                                           const FrameLinkOptions& options);
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;
  ~FrameLink();

  // Queues a frame for writing. Callable from any runtime thread. UNAVAILABLE
  // once the link has ended; RESOURCE_EXHAUSTED if too much is queued.
  absl::Status Send(const fb::FrameT& frame);

  // Reads until the link ends, on a fiber of the stream's thread; hands every
  // frame but heartbeats to `handler`. Returns why it ended.
  absl::Status Run(const Handler& handler);

  // Ends the link. Callable from any thread.
  void Close();
  bool closed() const;
  const Endpoint& peer() const;

 private:
  class Impl;
  explicit FrameLink(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_WIRE_WIRE_H_
