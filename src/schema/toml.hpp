/// @file
/// Includes toml++ with its assertions disabled. No other file includes toml++ directly.
///
/// For some text that is not TOML ("[[["), an assertion of the parser fails before the parser reports the
/// error as an exception. A malformed file must not end the process, even where assertions are enabled, as in
/// the sanitizer build of CI. This header disables the assertions of the library and leaves all others
/// enabled.
#pragma once

#ifdef TOMLPLUSPLUS_H
#error "include schema/toml.hpp instead of toml++"
#endif
#undef TOML_ASSERT
#define TOML_ASSERT(condition) static_assert(true)
#include <toml++/toml.h>
