#ifndef REVIEW_STANDINS2_PROXY_H
#define REVIEW_STANDINS2_PROXY_H

#include "Net.h"

#include <atomic>
#include <map>

namespace standins {

/// Forwards the connections to one loopback address to another. While it plays
/// a loss of power, connections whose caller ends stay open on the other side,
/// without a word, as those of a machine that has lost power do.
class Proxy {
public:
  Proxy(const std::string &FromIp, const std::string &ToIp, std::uint16_t Port);

  void playLossOfPower(bool Begins) { LosesPower = Begins; }
  /// Connections that were ever accepted.
  int accepted() const { return Accepted; }
  /// Connections that were left open by a loss of power.
  int silent() const { return Silent; }

private:
  void run();
  void accept();
  bool forward(int From);
  void drop(int Side);

  std::string ToIp;
  std::uint16_t Port;
  int Listener = -1;
  int Events = -1;
  std::atomic<bool> LosesPower = false;
  std::atomic<int> Accepted = 0;
  std::atomic<int> Silent = 0;
  /// The other side of each socket, and whether the socket is the caller's.
  struct Side {
    int Other = -1;
    bool IsCaller = false;
  };
  std::map<int, Side> Sides;
};

} // namespace standins

#endif // REVIEW_STANDINS2_PROXY_H
