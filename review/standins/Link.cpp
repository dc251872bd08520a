#include "Link.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <thread>

namespace review {
namespace {

using Flag = std::shared_ptr<std::atomic<bool>>;

constexpr Milliseconds PollInterval(5);

void waitWhileCut(const Flag &IsCut) {
  while (*IsCut)
    std::this_thread::sleep_for(PollInterval);
}

// Passes on bytes until either side closes its connection.
void pump(const Socket &From, const Socket &To, const Flag &IsCut) {
  std::array<char, 8192> Chunk{};
  for (;;) {
    const auto Got = recv(From.descriptor(), Chunk.data(), Chunk.size(), 0);
    waitWhileCut(IsCut);
    if (Got <= 0 || !To.send({Chunk.data(), static_cast<std::size_t>(Got)})) {
      shutdown(From.descriptor(), SHUT_RDWR);
      shutdown(To.descriptor(), SHUT_RDWR);
      return;
    }
  }
}

} // namespace

Link::Link(const std::string &Ip, std::uint16_t Port, std::string TargetIp,
           std::uint16_t TargetPort) {
  const std::uint16_t Bound =
      listenOn(Ip, Port, [IsCut = IsCut, TargetIp, TargetPort](Socket Client) {
        waitWhileCut(IsCut);
        const Socket Server = connectTo(TargetIp, TargetPort);
        if (!Server.isOpen())
          return;
        std::thread Back([&] { pump(Server, Client, IsCut); });
        pump(Client, Server, IsCut);
        Back.join();
      });
  Address = Ip + ":" + std::to_string(Bound);
}

} // namespace review
