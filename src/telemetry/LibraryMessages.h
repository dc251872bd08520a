#ifndef BORAGERIDGE_TELEMETRY_LIBRARYMESSAGES_H
#define BORAGERIDGE_TELEMETRY_LIBRARYMESSAGES_H

#include "telemetry/Log.h"

namespace borageridge::telemetry {

/// Writes the messages of gRPC and Protocol Buffers to a log while it lives,
/// instead of as plain text to standard error. Others can cause such messages,
/// for example by a bad handshake, so that only a few a second are written; the
/// next line tells how many were left out. At most one per process; the log
/// must outlive it and all use of the libraries.
class LibraryMessages {
public:
  /// Lines a second.
  static constexpr std::uint64_t MaxPerSecond = 10;

  explicit LibraryMessages(Log &Target);
  ~LibraryMessages();
  LibraryMessages(const LibraryMessages &) = delete;
  LibraryMessages &operator=(const LibraryMessages &) = delete;
};

} // namespace borageridge::telemetry

#endif // BORAGERIDGE_TELEMETRY_LIBRARYMESSAGES_H
