#ifndef BORAGERIDGE_FUZZ_FUZZENTRY_H
#define BORAGERIDGE_FUZZ_FUZZENTRY_H

#include <string>
#include <string_view>
#include <vector>

// Each fuzz program defines these two functions for one decoder.
namespace borageridge::fuzz {

/// Valid inputs, from which the driver makes others by mutation.
std::vector<std::string> seeds();

/// Decodes one input and checks what must hold for any input. Returns
/// "accepted" or the name of the typed error. Ends the program by check() if
/// something does not hold.
std::string decode(std::string_view Input);

/// Ends the program with the message unless the condition holds.
void check(bool Holds, std::string_view Message);

} // namespace borageridge::fuzz

#endif // BORAGERIDGE_FUZZ_FUZZENTRY_H
