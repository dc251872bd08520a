#ifndef REVIEW_STANDINS2_NET_H
#define REVIEW_STANDINS2_NET_H

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace standins {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Writes what happens to a file, each line with the time since the start.
class Record {
public:
  explicit Record(const std::string &Path);
  void write(const std::string &Line);
  Milliseconds elapsed() const;

private:
  std::mutex Lock;
  std::ofstream Out;
  Clock::time_point Start = Clock::now();
};

/// A connected TCP socket with blocking calls. Owned by one thread at a time;
/// shutdown() may be called from any.
class Stream {
public:
  Stream() = default;
  explicit Stream(int Descriptor) : Fd(Descriptor) {}
  Stream(Stream &&Other) noexcept;
  Stream &operator=(Stream &&Other) noexcept;
  ~Stream();

  bool isOpen() const { return Fd >= 0; }
  bool send(std::string_view Bytes);
  /// Returns the next line without its terminator; none if the connection ends
  /// or Limit passes first.
  std::optional<std::string> readLine(std::optional<Milliseconds> Limit = {});
  std::optional<std::string> readBytes(std::size_t Count);
  /// Whether the other side has closed the connection.
  bool isClosedByPeer() const;
  void shutdown();
  void close();

private:
  bool fill(std::optional<Milliseconds> Limit);

  int Fd = -1;
  std::string Buffer;
};

Stream connectTo(const std::string &Ip, std::uint16_t Port);

/// Accepts connections on a loopback address until the process ends; each one
/// is handled by a thread. Port 0 selects a free port. Returns the port.
std::uint16_t serve(const std::string &Ip, std::uint16_t Port,
                    std::function<void(Stream)> Handle);

/// Returns a port that is free on the loopback address, and so are the Count
/// ports from it on.
std::uint16_t freePorts(const std::string &Ip, int Count);

struct HttpRequest {
  std::string Method;
  std::string Path;
  std::string Query;
  std::string Body;
  std::string FencingToken;
  std::string Holder;

  /// Returns the decoded value of a key of the query; empty if there is none.
  std::string parameter(const std::string &Key) const;
};
std::optional<HttpRequest> readRequest(Stream &From);
bool sendResponse(Stream &To, int Status, const std::string &Body);

std::string encodeBase64(std::string_view Bytes);

} // namespace standins

#endif // REVIEW_STANDINS2_NET_H
