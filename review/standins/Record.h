#ifndef BORAGERIDGE_REVIEW_RECORD_H
#define BORAGERIDGE_REVIEW_RECORD_H

#include "Net.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// The file that says what was sent, answered and run, with the time in
/// milliseconds since the start.
class Record {
public:
  explicit Record(const std::string &Path) : Out(Path) {}

  void write(const std::string &Text) {
    const auto Elapsed =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - Start);
    const std::lock_guard Guard(Lock);
    Out << Elapsed.count() << ' ' << Text << '\n' << std::flush;
  }

private:
  std::mutex Lock;
  std::ofstream Out;
  const Clock::time_point Start = Clock::now();
};

} // namespace review

#endif // BORAGERIDGE_REVIEW_RECORD_H
