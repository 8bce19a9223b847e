#ifndef HAWTHORNHOLLOW_BASE_LOG_STREAM_INTERNAL_H_
#define HAWTHORNHOLLOW_BASE_LOG_STREAM_INTERNAL_H_

// Where easylogging++ writes. Private to base.

#include <iosfwd>

namespace hawthornhollow {

std::ostream& LogStream();

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_BASE_LOG_STREAM_INTERNAL_H_
