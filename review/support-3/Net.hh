// Sockets with blocking calls, and HTTP for the stand-ins.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review3 {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using nlohmann::json;

inline void pause(int Milliseconds) {
  std::this_thread::sleep_for(Ms(Milliseconds));
}

/// Writes what is sent, answered and run, with the time since the start.
class Record {
public:
  explicit Record(const std::string &Path) : Out(Path) {}
  void write(const std::string &Line) {
    const auto Now =
        std::chrono::duration_cast<Ms>(Clock::now() - Start).count();
    const std::lock_guard Guard(Lock);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%9.3f ", double(Now) / 1000);
    Out << Time << Line << std::endl;
  }

private:
  std::mutex Lock;
  std::ofstream Out;
  Clock::time_point Start = Clock::now();
};

/// A connection, read by lines or bytes.
class Conn {
public:
  explicit Conn(int Descriptor) : Fd(Descriptor) {
    const int On = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  ~Conn() { ::close(Fd); }
  Conn(const Conn &) = delete;
  Conn &operator=(const Conn &) = delete;

  bool send(const std::string &Bytes) {
    std::size_t Done = 0;
    while (Done < Bytes.size()) {
      const ssize_t N =
          ::send(Fd, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
      if (N <= 0)
        return false;
      Done += std::size_t(N);
    }
    return true;
  }
  /// The next line without CR LF; none at the end or after the limit.
  std::optional<std::string> line(int LimitMs = 0) {
    setLimit(LimitMs);
    for (;;) {
      const auto End = Buffer.find("\r\n");
      if (End != std::string::npos) {
        std::string Result = Buffer.substr(0, End);
        Buffer.erase(0, End + 2);
        return Result;
      }
      if (!fill())
        return std::nullopt;
    }
  }
  std::optional<std::string> bytes(std::size_t Count) {
    while (Buffer.size() < Count)
      if (!fill())
        return std::nullopt;
    std::string Result = Buffer.substr(0, Count);
    Buffer.erase(0, Count);
    return Result;
  }
  void shut() { ::shutdown(Fd, SHUT_RDWR); }
  /// Resets the connection when it is closed.
  void resetOnClose() {
    const linger Now{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  }
  bool timedOut() const { return TimedOut; }

private:
  void setLimit(int LimitMs) {
    const timeval Limit{LimitMs / 1000, (LimitMs % 1000) * 1000};
    setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  }
  bool fill() {
    char Chunk[16384];
    const ssize_t N = ::recv(Fd, Chunk, sizeof(Chunk), 0);
    TimedOut = N < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (N <= 0)
      return false;
    Buffer.append(Chunk, std::size_t(N));
    return true;
  }
  int Fd;
  std::string Buffer;
  bool TimedOut = false;
};

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(std::uint16_t(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// Listens on a free port and serves each connection in a thread of its own.
/// Returns the port.
inline int listenOn(const std::string &Ip,
                    std::function<void(std::shared_ptr<Conn>)> Serve) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const int On = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = addressOf(Ip, 0);
  socklen_t Size = sizeof(Address);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      ::listen(Fd, 256) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  std::thread([Fd, Serve] {
    for (;;) {
      const int Accepted = ::accept(Fd, nullptr, nullptr);
      if (Accepted < 0)
        continue;
      std::thread([Accepted, Serve] {
        Serve(std::make_shared<Conn>(Accepted));
      }).detach();
    }
  }).detach();
  return ntohs(Address.sin_port);
}

/// A port that is free at this address now.
inline int freePort(const std::string &Ip) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = addressOf(Ip, 0);
  socklen_t Size = sizeof(Address);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), Size) != 0)
    return 0;
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Fd);
  return ntohs(Address.sin_port);
}

inline std::shared_ptr<Conn> connectTo(const std::string &Ip, int Port) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in Address = addressOf(Ip, Port);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) != 0) {
    ::close(Fd);
    return nullptr;
  }
  return std::make_shared<Conn>(Fd);
}

struct HttpCall {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

struct HttpAnswer {
  int Status = 200;
  json Body = json::object();
  /// The connection is closed without an answer.
  bool Lost = false;
};

inline std::string percentDecode(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result.push_back(char(std::stoi(Text.substr(I + 1, 2), nullptr, 16)));
      I += 2;
    } else {
      Result.push_back(Text[I]);
    }
  }
  return Result;
}

inline std::optional<HttpCall> readCall(Conn &From) {
  const auto First = From.line();
  if (!First)
    return std::nullopt;
  HttpCall Call;
  const auto A = First->find(' ');
  const auto B = First->rfind(' ');
  if (A == std::string::npos || B <= A)
    return std::nullopt;
  Call.Method = First->substr(0, A);
  std::string Target = First->substr(A + 1, B - A - 1);
  const auto Mark = Target.find('?');
  Call.Path = Target.substr(0, Mark);
  if (Mark != std::string::npos) {
    std::string Rest = Target.substr(Mark + 1) + "&";
    for (std::size_t At = 0; At < Rest.size();) {
      const auto End = Rest.find('&', At);
      const std::string Pair = Rest.substr(At, End - At);
      const auto Equals = Pair.find('=');
      if (Equals != std::string::npos)
        Call.Query[Pair.substr(0, Equals)] =
            percentDecode(Pair.substr(Equals + 1));
      At = End + 1;
    }
  }
  for (;;) {
    const auto Header = From.line();
    if (!Header)
      return std::nullopt;
    if (Header->empty())
      break;
    const auto Colon = Header->find(':');
    if (Colon == std::string::npos)
      return std::nullopt;
    std::string Name = Header->substr(0, Colon);
    for (char &C : Name)
      C = char(std::tolower(C));
    const auto Start = Header->find_first_not_of(' ', Colon + 1);
    Call.Headers[Name] =
        Start == std::string::npos ? "" : Header->substr(Start);
  }
  if (const auto Size = Call.Headers.find("content-length");
      Size != Call.Headers.end()) {
    const auto Body = From.bytes(std::stoul(Size->second));
    if (!Body)
      return std::nullopt;
    Call.Body = *Body;
  }
  return Call;
}

inline void serveHttp(std::shared_ptr<Conn> From,
                      const std::function<HttpAnswer(const HttpCall &)> &Do) {
  while (const auto Call = readCall(*From)) {
    const HttpAnswer Answer = Do(*Call);
    if (Answer.Lost)
      return;
    const std::string Body = Answer.Body.dump();
    if (!From->send("HTTP/1.1 " + std::to_string(Answer.Status) +
                    " X\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(Body.size()) + "\r\n\r\n" + Body))
      return;
  }
}

} // namespace review3
