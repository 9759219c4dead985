/// @file
/// toml++ as this program reads files with it: the one place that includes it.
///
/// Its parser asserts on some text that is not TOML ("[[[") before it reports the error as an exception. A
/// file that a person wrote wrongly must not end the process, also where assertions are on, as in CI's
/// sanitized build. This takes the library's own assertions out and leaves all others.
#pragma once

#ifdef TOMLPLUSPLUS_H
#error "toml++ is included by schema/toml.hpp alone"
#endif
#undef TOML_ASSERT
#define TOML_ASSERT(condition) static_assert(true)
#include <toml++/toml.h>
