#ifndef BORAGERIDGE_DATABASE_TESTDIRECTORY_H
#define BORAGERIDGE_DATABASE_TESTDIRECTORY_H

#include <cstdlib>
#include <filesystem>
#include <string>

namespace borageridge::database {

/// A directory that is removed with its content.
class TestDirectory {
public:
  TestDirectory() {
    std::string Template =
        std::filesystem::temp_directory_path() / "borageridge-member-XXXXXX";
    Path = mkdtemp(Template.data());
  }
  ~TestDirectory() { std::filesystem::remove_all(Path); }
  TestDirectory(const TestDirectory &) = delete;
  TestDirectory &operator=(const TestDirectory &) = delete;

  std::string Path;
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_TESTDIRECTORY_H
