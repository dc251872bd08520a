// Plays one case: world CASE FOLDER TROUBLE. The script starts the daemons once
// FOLDER/settings-written exists.
#include "Cases.hh"

#include <cstring>

int main(int Count, char **Words) {
  using namespace review3;
  if (Count != 4)
    return 2;
  const std::string Case = Words[1];
  Scene S(Words[2], std::string(Words[3]) != "0");
  for (const auto &[Name, Play] : cases())
    if (Name == Case) {
      const int Result = Play(S);
      S.Log.write("result " + std::to_string(Result));
      std::_Exit(Result);
    }
  return 2;
}
