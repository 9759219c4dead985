// Tests reading of the platform's configuration: error messages, precedence of environment and file, and the
// example of README.
#include "config/config.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

// Returns the error message of parse_config(), or an empty string if the configuration is valid.
std::string error_of(const Json& config) {
    try {
        parse_config(config.dump());
    } catch (const ConfigError& error) {
        return error.what();
    }
    return "";
}

TEST(Config, NamesInvalidFieldInError) {
    const Json valid = SidecarFixture().config;
    EXPECT_EQ(error_of(valid), "");

    Json invalid = valid;
    invalid["listen"] = "no-address";
    EXPECT_NE(error_of(invalid).find("'listen'"), std::string::npos);

    invalid = valid;
    invalid.erase("discovery");
    EXPECT_NE(error_of(invalid).find("'discovery'"), std::string::npos);

    invalid = valid;
    invalid["settings"]["classes"][0]["effect"] = "unknown";
    EXPECT_NE(error_of(invalid).find("'classes.0.effect'"), std::string::npos);

    invalid = valid;
    invalid["known"]["targets"][0]["state"] = "unknown";
    EXPECT_NE(error_of(invalid).find("'known.targets.0.state'"), std::string::npos);

    EXPECT_THROW(parse_config("{"), ConfigError);
    EXPECT_THROW(load_config([](const char*) { return nullptr; }), ConfigError);
}

// README refers to this example.
TEST(Config, LoadsMinimalExample) {
    const std::string path = EXAMPLES "/minimal/config.json";
    const Config config = load_config(
        [&](const char* name) { return std::string(name) == "RELAY_CONFIG" ? path.c_str() : nullptr; });
    EXPECT_EQ(config.cached_list.targets.size(), 1U);
    EXPECT_EQ(config.deployment.classes.size(), 3U);
}

// The environment of the process still contains the address of discovery from the start. A reload must use
// the address from the file instead.
TEST(Config, ReloadPrefersFileOverEnvironmentAndRejectsInvalidFile) {
    SidecarFixture fixture;
    const std::string path = testing::TempDir() + "elmbay-reload-" + std::to_string(::getpid()) + ".json";
    const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
    const auto get_environment = [&](const char* name) -> const char* {
        if (name == std::string("RELAY_CONFIG")) return path.c_str();
        return name == std::string("RELAY_DISCOVERY") ? "127.0.0.1:9" : nullptr;
    };
    write(fixture.config.dump());
    EXPECT_EQ(endpoint_text(load_config(get_environment).discovery), "127.0.0.1:9");
    EXPECT_EQ(endpoint_text(reload_config(get_environment).discovery), fixture.discovery.address());
    write(fixture.config.dump().substr(0, 40));
    EXPECT_THROW(reload_config(get_environment), ConfigError);
    std::remove(path.c_str());
}

}  // namespace
}  // namespace elmbay::test
