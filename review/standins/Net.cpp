#include "Net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr Milliseconds RequestLimit(60000);

sockaddr_in addressOf(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  if (inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr) != 1)
    throw std::runtime_error("not an address: " + Ip);
  return Address;
}

const sockaddr *generic(const sockaddr_in &Address) {
  return reinterpret_cast<const sockaddr *>(&Address);
}

Socket bindTo(const std::string &Ip, std::uint16_t Port) {
  Socket Result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int On = 1;
  setsockopt(Result.descriptor(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = addressOf(Ip, Port);
  if (bind(Result.descriptor(), generic(Address), sizeof(Address)) != 0)
    throw std::runtime_error("cannot bind to " + Ip);
  return Result;
}

std::uint16_t portOf(const Socket &Bound) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Bound.descriptor(), reinterpret_cast<sockaddr *>(&Address),
              &Size);
  return ntohs(Address.sin_port);
}

void setNoDelay(const Socket &Connected) {
  const int On = 1;
  setsockopt(Connected.descriptor(), IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace

Socket::Socket(Socket &&Other) noexcept
    : Fd(std::exchange(Other.Fd, -1)), Buffer(std::move(Other.Buffer)) {}

Socket &Socket::operator=(Socket &&Other) noexcept {
  if (this != &Other) {
    close();
    Fd = std::exchange(Other.Fd, -1);
    Buffer = std::move(Other.Buffer);
  }
  return *this;
}

Socket::~Socket() { close(); }

void Socket::close() {
  if (Fd >= 0)
    ::close(Fd);
  Fd = -1;
  Buffer.clear();
}

bool Socket::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    const auto Sent = ::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

bool Socket::fill(Milliseconds Limit) {
  pollfd Wait{Fd, POLLIN, 0};
  if (poll(&Wait, 1,
           static_cast<int>(std::max<std::int64_t>(0, Limit.count()))) <= 0)
    return false;
  std::array<char, 8192> Chunk{};
  const auto Got = recv(Fd, Chunk.data(), Chunk.size(), 0);
  if (Got <= 0)
    return false;
  Buffer.append(Chunk.data(), static_cast<std::size_t>(Got));
  return true;
}

std::optional<std::string> Socket::readLine(Milliseconds Limit) {
  const Clock::time_point End = Clock::now() + Limit;
  for (;;) {
    if (const auto At = Buffer.find("\r\n"); At != std::string::npos) {
      std::string Line = Buffer.substr(0, At);
      Buffer.erase(0, At + 2);
      return Line;
    }
    const auto Left =
        std::chrono::duration_cast<Milliseconds>(End - Clock::now());
    if (!isOpen() || Left.count() < 0 || !fill(Left))
      return std::nullopt;
  }
}

std::optional<std::string> Socket::readBytes(std::size_t Size,
                                             Milliseconds Limit) {
  while (Buffer.size() < Size)
    if (!fill(Limit))
      return std::nullopt;
  std::string Result = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return Result;
}

std::uint16_t listenOn(const std::string &Ip, std::uint16_t Port,
                       std::function<void(Socket)> Serve) {
  Socket Listening = bindTo(Ip, Port);
  constexpr int Backlog = 256;
  if (listen(Listening.descriptor(), Backlog) != 0)
    throw std::runtime_error("cannot listen on " + Ip);
  const std::uint16_t Result = portOf(Listening);
  std::thread([Open = std::move(Listening), Serve = std::move(Serve)] {
    for (;;) {
      const int Fd = accept4(Open.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      std::thread([Fd, Serve] {
        Socket Accepted(Fd);
        setNoDelay(Accepted);
        Serve(std::move(Accepted));
      }).detach();
    }
  }).detach();
  return Result;
}

std::uint16_t freePort(const std::string &Ip) { return portOf(bindTo(Ip, 0)); }

Socket connectTo(const std::string &Ip, std::uint16_t Port) {
  Socket Result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in Address = addressOf(Ip, Port);
  if (connect(Result.descriptor(), generic(Address), sizeof(Address)) != 0)
    Result.close();
  else
    setNoDelay(Result);
  return Result;
}

int httpStatus(const std::string &Ip, std::uint16_t Port,
               const std::string &Path) {
  Socket To = connectTo(Ip, Port);
  if (!To.isOpen() ||
      !To.send("GET " + Path + " HTTP/1.1\r\nHost: " + Ip + "\r\n\r\n"))
    return 0;
  constexpr Milliseconds Limit(1000);
  const auto Line = To.readLine(Limit);
  const std::string_view Version = "HTTP/1.1 ";
  return Line && Line->starts_with(Version)
             ? std::atoi(Line->c_str() + Version.size()) // NOLINT(cert-err34-c)
             : 0;
}

std::optional<HttpRequest> readRequest(Socket &From) {
  const auto First = From.readLine(RequestLimit);
  if (!First)
    return std::nullopt;
  HttpRequest Result;
  const std::size_t Blank = First->find(' ');
  const std::size_t Second = First->find(' ', Blank + 1);
  Result.Method = First->substr(0, Blank);
  Result.Target = First->substr(Blank + 1, Second - Blank - 1);
  std::size_t Size = 0;
  for (;;) {
    const auto Line = From.readLine(RequestLimit);
    if (!Line)
      return std::nullopt;
    if (Line->empty())
      break;
    std::string Name = Line->substr(0, Line->find(':'));
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char C) { return std::tolower(C); });
    const std::string Value =
        Line->substr(std::min(Line->size(), Name.size() + 2));
    if (Name == "content-length")
      Size = std::stoul(Value);
    else if (Name == "lease-holder")
      Result.Holder = Value;
    else if (Name == "fencing-token")
      Result.Token = Value;
  }
  auto Body = From.readBytes(Size, RequestLimit);
  if (!Body)
    return std::nullopt;
  Result.Body = std::move(*Body);
  return Result;
}

bool sendResponse(const Socket &To, int Status, const std::string &Body) {
  return To.send("HTTP/1.1 " + std::to_string(Status) +
                 " -\r\nContent-Type: application/json\r\nContent-Length: " +
                 std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  const std::size_t Query = Target.find('?');
  if (Query == std::string::npos)
    return "";
  const std::string All = "&" + Target.substr(Query + 1);
  const std::size_t At = All.find("&" + Name + "=");
  if (At == std::string::npos)
    return "";
  const std::size_t Begin = At + Name.size() + 2;
  const std::string Raw = All.substr(Begin, All.find('&', Begin) - Begin);
  std::string Result;
  for (std::size_t I = 0; I < Raw.size(); ++I) {
    if (Raw[I] == '%' && I + 2 < Raw.size()) {
      Result.push_back(
          static_cast<char>(std::stoi(Raw.substr(I + 1, 2), nullptr, 16)));
      I += 2;
    } else {
      Result.push_back(Raw[I]);
    }
  }
  return Result;
}

std::string encodeBase64(std::string_view Text) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group =
          Group << 8 |
          (I + J < Text.size() ? static_cast<unsigned char>(Text[I + J]) : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Result.push_back(I + J <= Text.size() ? Digits[Group >> (18 - 6 * J) & 63]
                                            : '=');
  }
  return Result;
}

} // namespace review
