#ifndef BORAGERIDGE_HTTP_HTTP_H
#define BORAGERIDGE_HTTP_HTTP_H

#include <string>
#include <utility>
#include <vector>

namespace borageridge::http {

struct Request {
  std::string Method = "GET";
  /// Path and query string.
  std::string Target;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
};

struct Response {
  unsigned Status = 0;
  std::string Body;
  std::string ContentType = "application/json";
  /// Other headers. Names are not case-sensitive.
  std::vector<std::pair<std::string, std::string>> Headers = {};
};

} // namespace borageridge::http

#endif // BORAGERIDGE_HTTP_HTTP_H
