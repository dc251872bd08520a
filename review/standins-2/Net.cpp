#include "Net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <strings.h>
#include <thread>
#include <utility>

namespace standins {
namespace {

sockaddr_in addressOf(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Result.sin_addr);
  return Result;
}

int listenOn(const std::string &Ip, std::uint16_t Port) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = addressOf(Ip, Port);
  if (bind(Fd, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)) !=
          0 ||
      listen(Fd, 512) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

std::uint16_t portOf(int Fd) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

} // namespace

Record::Record(const std::string &Path) : Out(Path) {}

Milliseconds Record::elapsed() const {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - Start);
}

void Record::write(const std::string &Line) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f ",
                static_cast<double>(elapsed().count()) / 1000);
  const std::lock_guard Guard(Lock);
  Out << Time << Line << '\n' << std::flush;
}

Stream::Stream(Stream &&Other) noexcept
    : Fd(std::exchange(Other.Fd, -1)), Buffer(std::move(Other.Buffer)) {}

Stream &Stream::operator=(Stream &&Other) noexcept {
  if (this != &Other) {
    close();
    Fd = std::exchange(Other.Fd, -1);
    Buffer = std::move(Other.Buffer);
  }
  return *this;
}

Stream::~Stream() { close(); }

void Stream::close() {
  if (Fd >= 0)
    ::close(Fd);
  Fd = -1;
  Buffer.clear();
}

void Stream::shutdown() {
  if (Fd >= 0)
    ::shutdown(Fd, SHUT_RDWR);
}

bool Stream::send(std::string_view Bytes) {
  while (Fd >= 0 && !Bytes.empty()) {
    const auto Sent = ::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return Fd >= 0;
}

bool Stream::fill(std::optional<Milliseconds> Limit) {
  if (Fd < 0)
    return false;
  if (Limit) {
    pollfd Wait{Fd, POLLIN, 0};
    if (poll(&Wait, 1, static_cast<int>(Limit->count())) <= 0)
      return false;
  }
  char Bytes[16384];
  const auto Got = recv(Fd, Bytes, sizeof(Bytes), 0);
  if (Got <= 0)
    return false;
  Buffer.append(Bytes, static_cast<std::size_t>(Got));
  return true;
}

std::optional<std::string> Stream::readLine(std::optional<Milliseconds> Limit) {
  const auto Deadline =
      Clock::now() + Limit.value_or(Milliseconds(24 * 3600 * 1000));
  for (;;) {
    const std::size_t End = Buffer.find("\r\n");
    if (End != std::string::npos) {
      std::string Line = Buffer.substr(0, End);
      Buffer.erase(0, End + 2);
      return Line;
    }
    const auto Left =
        std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
    if (Left.count() <= 0 || !fill(Limit ? std::optional(Left) : std::nullopt))
      return std::nullopt;
  }
}

std::optional<std::string> Stream::readBytes(std::size_t Count) {
  while (Buffer.size() < Count)
    if (!fill({}))
      return std::nullopt;
  std::string Result = Buffer.substr(0, Count);
  Buffer.erase(0, Count);
  return Result;
}

bool Stream::isClosedByPeer() const {
  if (Fd < 0)
    return true;
  char Byte = 0;
  const auto Got = recv(Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 || (Got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Stream connectTo(const std::string &Ip, std::uint16_t Port) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = addressOf(Ip, Port);
  if (connect(Fd, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    ::close(Fd);
    return {};
  }
  const int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Stream(Fd);
}

std::uint16_t serve(const std::string &Ip, std::uint16_t Port,
                    std::function<void(Stream)> Handle) {
  const int Listener = listenOn(Ip, Port);
  if (Listener < 0) {
    std::fprintf(stderr, "cannot listen on %s:%u\n", Ip.c_str(), Port);
    std::exit(2);
  }
  std::thread([Listener, Handle = std::move(Handle)] {
    for (;;) {
      const int Fd = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      const int On = 1;
      setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([Handle, Fd] { Handle(Stream(Fd)); }).detach();
    }
  }).detach();
  return portOf(Listener);
}

std::uint16_t freePorts(const std::string &Ip, int Count) {
  for (int Try = 0; Try < 200; ++Try) {
    const int First = listenOn(Ip, 0);
    if (First < 0)
      break;
    const int Port = portOf(First);
    ::close(First);
    bool Free = Port + Count < 65536;
    for (int I = 0; Free && I < Count; ++I) {
      const int Fd = listenOn(Ip, static_cast<std::uint16_t>(Port + I));
      Free = Fd >= 0;
      if (Free)
        ::close(Fd);
    }
    if (Free)
      return static_cast<std::uint16_t>(Port);
  }
  std::fprintf(stderr, "no free ports on %s\n", Ip.c_str());
  std::exit(2);
}

std::string HttpRequest::parameter(const std::string &Key) const {
  std::size_t At = 0;
  while (At < Query.size()) {
    const std::size_t End = std::min(Query.find('&', At), Query.size());
    const std::string Pair = Query.substr(At, End - At);
    At = End + 1;
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) != Key)
      continue;
    std::string Result;
    for (std::size_t I = Equals + 1; I < Pair.size(); ++I) {
      if (Pair[I] == '%' && I + 2 < Pair.size()) {
        Result.push_back(static_cast<char>(
            std::strtol(Pair.substr(I + 1, 2).c_str(), nullptr, 16)));
        I += 2;
      } else {
        Result.push_back(Pair[I]);
      }
    }
    return Result;
  }
  return {};
}

std::optional<HttpRequest> readRequest(Stream &From) {
  const auto Start = From.readLine();
  if (!Start)
    return std::nullopt;
  HttpRequest Result;
  const std::size_t First = Start->find(' ');
  const std::size_t Second = Start->find(' ', First + 1);
  if (Second == std::string::npos)
    return std::nullopt;
  Result.Method = Start->substr(0, First);
  const std::string Target = Start->substr(First + 1, Second - First - 1);
  const std::size_t Mark = Target.find('?');
  Result.Path = Target.substr(0, Mark);
  if (Mark != std::string::npos)
    Result.Query = Target.substr(Mark + 1);
  std::size_t Size = 0;
  while (const auto Line = From.readLine()) {
    if (Line->empty()) {
      const auto Body = From.readBytes(Size);
      if (!Body)
        return std::nullopt;
      Result.Body = *Body;
      return Result;
    }
    const std::size_t Colon = Line->find(':');
    if (Colon == std::string::npos)
      continue;
    const std::string Name = Line->substr(0, Colon);
    const std::size_t Begin = Line->find_first_not_of(' ', Colon + 1);
    const std::string Value =
        Begin == std::string::npos ? "" : Line->substr(Begin);
    if (strcasecmp(Name.c_str(), "Content-Length") == 0)
      Size = std::strtoul(Value.c_str(), nullptr, 10);
    else if (strcasecmp(Name.c_str(), "Fencing-Token") == 0)
      Result.FencingToken = Value;
    else if (strcasecmp(Name.c_str(), "Lease-Holder") == 0)
      Result.Holder = Value;
  }
  return std::nullopt;
}

bool sendResponse(Stream &To, int Status, const std::string &Body) {
  return To.send("HTTP/1.1 " + std::to_string(Status) +
                 " -\r\nContent-Type: application/json\r\nContent-Length: " +
                 std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

std::string encodeBase64(std::string_view Bytes) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Result.push_back(
          I + J > Bytes.size() ? '=' : Digits[Group >> (18 - 6 * J) & 63]);
  }
  return Result;
}

} // namespace standins
