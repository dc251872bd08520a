#ifndef BORAGERIDGE_REVIEW_LINK_H
#define BORAGERIDGE_REVIEW_LINK_H

#include "Net.h"

#include <atomic>
#include <memory>
#include <string>

namespace review {

/// A proxy that stands for a part of the network. While it is cut, it holds up
/// all bytes in both directions and connects no further.
class Link {
public:
  /// Listens on Ip; port 0 selects a free one.
  Link(const std::string &Ip, std::uint16_t Port, std::string TargetIp,
       std::uint16_t TargetPort);

  void setCut(bool Cut) { *IsCut = Cut; }
  std::string address() const { return Address; }

private:
  std::shared_ptr<std::atomic<bool>> IsCut =
      std::make_shared<std::atomic<bool>>(false);
  std::string Address;
};

} // namespace review

#endif // BORAGERIDGE_REVIEW_LINK_H
