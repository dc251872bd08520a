#ifndef BORAGERIDGE_TELEMETRY_JSON_H
#define BORAGERIDGE_TELEMETRY_JSON_H

#include <concepts>
#include <string>
#include <string_view>

namespace borageridge::telemetry {

/// Appends Text as a JSON string with its quotes. Bytes that are not valid
/// UTF-8 become U+FFFD, so that the result is always valid JSON.
void appendJson(std::string &Out, std::string_view Text);
void appendJson(std::string &Out, bool Value);
/// Infinite values and NaN have no JSON form and become null.
void appendJson(std::string &Out, double Value);

template <std::integral T> void appendJson(std::string &Out, T Value) {
  Out.append(std::to_string(Value));
}

} // namespace borageridge::telemetry

#endif // BORAGERIDGE_TELEMETRY_JSON_H
