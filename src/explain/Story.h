#ifndef BORAGERIDGE_EXPLAIN_STORY_H
#define BORAGERIDGE_EXPLAIN_STORY_H

#include <cstddef>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::explain {

/// One log line of a daemon.
struct Entry {
  /// As written; sorts by time.
  std::string Time;
  std::string Instance;
  std::string Event;
  /// The other fields, as text.
  std::map<std::string, std::string, std::less<>> Fields;
};

/// Collects log lines of several daemons.
class Story {
public:
  /// Reads lines until the end; other lines are counted and left out. A line
  /// may have text before its JSON object.
  void read(std::istream &In);
  std::size_t ignoredLines() const { return Ignored; }

  /// What happened to one request, and what its daemons decided about its
  /// service around it, in the order of time.
  std::vector<Entry> ofRequest(std::string_view Request) const;
  /// What was decided about one service.
  std::vector<Entry> ofService(std::string_view Service) const;

private:
  std::vector<Entry> Entries;
  std::size_t Ignored = 0;
};

/// One line for people: time, instance, event, fields.
std::string format(const Entry &E);

} // namespace borageridge::explain

#endif // BORAGERIDGE_EXPLAIN_STORY_H
