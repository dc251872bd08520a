#include "Proxy.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <thread>

namespace standins {
namespace {

sockaddr_in addressOf(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Result.sin_addr);
  return Result;
}

void watch(int Events, int Fd) {
  const int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  epoll_event Wanted{};
  Wanted.events = EPOLLIN;
  Wanted.data.fd = Fd;
  epoll_ctl(Events, EPOLL_CTL_ADD, Fd, &Wanted);
}

} // namespace

Proxy::Proxy(const std::string &FromIp, const std::string &To,
             std::uint16_t Number)
    : ToIp(To), Port(Number) {
  Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = addressOf(FromIp, Port);
  if (bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) != 0 ||
      listen(Listener, 4096) != 0) {
    std::fprintf(stderr, "cannot listen on %s:%u\n", FromIp.c_str(), Port);
    std::exit(2);
  }
  Events = epoll_create1(EPOLL_CLOEXEC);
  watch(Events, Listener);
  std::thread([this] { run(); }).detach();
}

void Proxy::run() {
  for (;;) {
    epoll_event Ready[64];
    const int Count = epoll_wait(Events, Ready, 64, -1);
    for (int I = 0; I < Count; ++I) {
      const int Fd = Ready[I].data.fd;
      if (Fd == Listener)
        accept();
      else if (Sides.contains(Fd) && !forward(Fd))
        drop(Fd);
    }
  }
}

void Proxy::accept() {
  const int Caller = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (Caller < 0)
    return;
  const int Callee = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = addressOf(ToIp, Port);
  if (connect(Callee, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    close(Callee);
    close(Caller);
    return;
  }
  ++Accepted;
  Sides[Caller] = {Callee, true};
  Sides[Callee] = {Caller, false};
  watch(Events, Caller);
  watch(Events, Callee);
}

// Returns false if the side has ended.
bool Proxy::forward(int From) {
  char Bytes[65536];
  const auto Got = recv(From, Bytes, sizeof(Bytes), MSG_DONTWAIT);
  if (Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return true;
  if (Got <= 0)
    return false;
  const int To = Sides.at(From).Other;
  for (ssize_t Done = 0; To >= 0 && Done < Got;) {
    const auto Sent = send(To, Bytes + Done,
                           static_cast<std::size_t>(Got - Done), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Done += Sent;
  }
  return true;
}

void Proxy::drop(int Fd) {
  const Side Ended = Sides.at(Fd);
  Sides.erase(Fd);
  close(Fd);
  const auto Other = Sides.find(Ended.Other);
  if (Other == Sides.end())
    return;
  if (Ended.IsCaller && LosesPower) {
    Other->second.Other = -1;
    ++Silent;
    return;
  }
  close(Ended.Other);
  Sides.erase(Other);
}

} // namespace standins
