#ifndef TESTING_SOAK_PROMISES_H_
#define TESTING_SOAK_PROMISES_H_

// What callers and servers saw of one run, and what of it breaks a promise.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hawthornhollow::soak {

// One request as its caller saw it.
struct Seen {
  std::string id;
  std::string path;
  std::string workspace;
  int status = 0;      // 0: no answer, or none that could be read
  bool whole = false;  // the answer came to its end
  std::string body;    // what came of it
  std::string answered_id;
  bool sealed = false;  // bears a server's proof
};

// What each request's tokens are, and each workspace's total at the end.
struct Prices {
  int64_t prompt = 0;
  int64_t event = 0;
  std::map<std::string, int64_t> totals;
};

inline constexpr char kOrderPath[] = "/order/a";
inline constexpr char kStreamPath[] = "/stream/a";

// A line for each broken promise. `runs`: how often each request ran, over all
// servers.
std::vector<std::string> BrokenPromises(const std::vector<Seen>& seen,
                                        const std::map<std::string, int>& runs,
                                        const Prices& prices);

}  // namespace hawthornhollow::soak

#endif  // TESTING_SOAK_PROMISES_H_
