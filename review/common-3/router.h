#ifndef REVIEW_COMMON_3_ROUTER_H_
#define REVIEW_COMMON_3_ROUTER_H_

// The program of an entry VM as a process, with the command and the settings of
// the deploy file, and the record that a case leaves.

#include <sys/types.h>

#include <fstream>
#include <mutex>
#include <string>

#include "review/common-3/http.h"

namespace review {

// Lines with the time since the start, in record.txt and on standard output.
class Record {
 public:
  explicit Record(const std::string& file) : file_(file) {}
  // `line` goes to the file only if it is a detail.
  void Write(const std::string& line, bool is_detail = false);
  double Seconds() const;

 private:
  const Clock::time_point begin_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

// Whether the case is to be run with its disruption (TROUBLE=0: without).
bool HasTrouble();

struct RouterSettings {
  std::string node;
  std::string zone;
  int store_port = 0;
  int memory_mb = 110;
};

class Router {
 public:
  explicit Router(RouterSettings settings);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  ~Router();

  void Start();
  // Ends the process at once, as a loss of power does.
  void Kill();
  void Terminate() const;
  // Whether the process has ended; its exit status is then in `status`.
  bool HasEnded(int* status);

  const std::string& node() const { return settings_.node; }
  int callers() const { return callers_; }
  bool IsReady() const;
  bool AwaitReady(Milliseconds timeout) const;
  // The process's memory now; -1 if it has ended.
  long ResidentKilobytes() const;

 private:
  const RouterSettings settings_;
  const std::string folder_;
  const int callers_ = FreePort();
  const int readiness_ = FreePort();
  const int control_ = FreePort();
  const int metrics_ = FreePort();
  pid_t pid_ = 0;
};

}  // namespace review

#endif  // REVIEW_COMMON_3_ROUTER_H_
