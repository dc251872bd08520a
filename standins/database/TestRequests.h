#ifndef BORAGERIDGE_DATABASE_TESTREQUESTS_H
#define BORAGERIDGE_DATABASE_TESTREQUESTS_H

#include "borageridge/Types.h"

#include "endpoint.pb.h"

#include <string>
#include <utility>

namespace borageridge::database {

inline endpoint::RequestKey key(const std::string &RequestId) {
  endpoint::RequestKey Key;
  Key.set_caller("c");
  Key.set_request_id(RequestId);
  return Key;
}

inline caller::Statement statement(std::string Text) {
  caller::Statement Result;
  Result.set_text(std::move(Text));
  return Result;
}

inline endpoint::ConnectionRequest batch(Term Wanted, std::string Text,
                                         bool ReadOnly) {
  endpoint::ConnectionRequest Request;
  Request.set_term(Wanted);
  Request.mutable_batch()->set_read_only(ReadOnly);
  *Request.mutable_batch()->add_statements() = statement(std::move(Text));
  return Request;
}

inline endpoint::ConnectionRequest write(Term Wanted, std::string Text,
                                         const std::string &RequestId = "") {
  auto Request = batch(Wanted, std::move(Text), false);
  if (!RequestId.empty())
    *Request.mutable_batch()->mutable_request_key() = key(RequestId);
  return Request;
}

inline endpoint::ConnectionRequest read(Term Wanted, std::string Text) {
  return batch(Wanted, std::move(Text), true);
}

inline endpoint::ConnectionRequest begin(Term Wanted,
                                         const std::string &RequestId = "") {
  endpoint::ConnectionRequest Request;
  Request.set_term(Wanted);
  Request.mutable_begin();
  if (!RequestId.empty())
    *Request.mutable_begin()->mutable_request_key() = key(RequestId);
  return Request;
}

inline endpoint::ConnectionRequest step(std::string Text) {
  endpoint::ConnectionRequest Request;
  *Request.mutable_statement() = statement(std::move(Text));
  return Request;
}

inline endpoint::ConnectionRequest commit() {
  endpoint::ConnectionRequest Request;
  Request.mutable_commit();
  return Request;
}

inline endpoint::ConnectionRequest settle(Term Wanted,
                                          const std::string &RequestId) {
  endpoint::ConnectionRequest Request;
  Request.set_term(Wanted);
  *Request.mutable_settle()->mutable_request_key() = key(RequestId);
  return Request;
}

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_TESTREQUESTS_H
