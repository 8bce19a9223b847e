#ifndef TESTING_FRAME_RECORDER_H_
#define TESTING_FRAME_RECORDER_H_

// Relays between routers and side processes that record the frames they carry.
//
//   auto recorder = FrameRecorder::Create();
//   auto relay = (*recorder)->Relay("engine-1", gate);  // routers connect here
//   std::string frames = (*recorder)->TakeText();

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/runtime/runtime.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {

struct RecordedFrame {
  // Incarnation of the router, from its Hello; name of the server.
  std::string router;
  std::string server;
  bool to_gate = false;
  fb::FrameT frame;
};

// A frame is recorded before it is passed on, so that no answer to it is
// recorded earlier. Frames that belong to no request and come at any time
// (heartbeats, load reports, "not ready") are left out. Thread-safe.
class FrameRecorder {
 public:
  static absl::StatusOr<std::unique_ptr<FrameRecorder>> Create();
  FrameRecorder(const FrameRecorder&) = delete;
  FrameRecorder& operator=(const FrameRecorder&) = delete;
  ~FrameRecorder();

  // The address at which routers reach `gate`, the side process of `server`.
  absl::StatusOr<Endpoint> Relay(const std::string& server,
                                 const Endpoint& gate);

  // Waits for a frame of this kind among those not yet taken.
  bool WaitFor(fb::FrameBody kind, absl::Duration timeout);

  // What was recorded since the last call, grouped by link, one frame a line.
  // An answer's bytes are shown whole: where they are cut into Data frames
  // depends on timing.
  std::string TakeText();

 private:
  struct Link;
  explicit FrameRecorder(std::unique_ptr<Runtime> runtime);
  void Serve(const std::string& server,
             const Endpoint& gate,
             std::unique_ptr<TcpStream> from_router);
  void Pump(Link& link, bool to_gate);
  void Record(Link& link, bool to_gate, fb::FrameT frame);

  std::mutex mutex_;
  std::vector<RecordedFrame> frames_;
  // Destroyed before what its fibers use, and after the listeners.
  std::unique_ptr<Runtime> runtime_;
  std::vector<std::unique_ptr<TcpListener>> listeners_;
};

}  // namespace hawthornhollow

#endif  // TESTING_FRAME_RECORDER_H_
