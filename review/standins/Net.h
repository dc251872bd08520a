#ifndef BORAGERIDGE_REVIEW_NET_H
#define BORAGERIDGE_REVIEW_NET_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Owns a connected or listening socket. Blocking, for use by one thread.
class Socket {
public:
  explicit Socket(int Descriptor = -1) : Fd(Descriptor) {}
  Socket(Socket &&Other) noexcept;
  Socket &operator=(Socket &&Other) noexcept;
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  ~Socket();

  bool isOpen() const { return Fd >= 0; }
  int descriptor() const { return Fd; }
  void close();
  bool send(std::string_view Bytes) const;
  /// A line without CR LF; none once the peer has closed the connection or
  /// Limit has passed.
  std::optional<std::string> readLine(Milliseconds Limit);
  std::optional<std::string> readBytes(std::size_t Size, Milliseconds Limit);

private:
  bool fill(Milliseconds Limit);

  int Fd;
  std::string Buffer;
};

/// Listens on Ip; port 0 selects a free one. Returns the port.
std::uint16_t listenOn(const std::string &Ip, std::uint16_t Port,
                       std::function<void(Socket)> Serve);
/// A port that is free on Ip now.
std::uint16_t freePort(const std::string &Ip);
/// Returns a closed socket if the connection fails.
Socket connectTo(const std::string &Ip, std::uint16_t Port);
/// Status of a GET request; 0 if there is no answer.
int httpStatus(const std::string &Ip, std::uint16_t Port,
               const std::string &Path);

struct HttpRequest {
  std::string Method;
  std::string Target;
  std::string Body;
  std::string Holder;
  std::string Token;
};
std::optional<HttpRequest> readRequest(Socket &From);
bool sendResponse(const Socket &To, int Status, const std::string &Body);

/// Value of a parameter of the query in Target, with percent codes decoded.
std::string queryValue(const std::string &Target, const std::string &Name);
std::string encodeBase64(std::string_view Text);

} // namespace review

#endif // BORAGERIDGE_REVIEW_NET_H
