// Tests that each error of the configuration contains the name of the field and its problem.
#include "config/config_error.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "config/config.hpp"

namespace elmbay {
namespace {

using Json = nlohmann::json;

Json valid_config() {
    return {{"listen", "127.0.0.1:0"},
            {"discovery", "[::1]:1"},
            {"seed", "1f"},
            {"settings", {{"classes", {{{"name", "safe"}, {"effect", "repeatable"}, {"on-time-ms", 100}}}}}}};
}

// Returns the field and the problem that the error for a configuration contains, or "none" without an error.
std::pair<std::string, std::optional<FieldProblem>> error_of(const Json& config) {
    try {
        parse_config(config.dump());
    } catch (const ConfigError& error) {
        return {error.field(), error.problem()};
    }
    return {"none", {}};
}

using Error = std::pair<std::string, std::optional<FieldProblem>>;

TEST(ConfigError, NamesFieldAndProblemOfWrongValue) {
    const std::vector<std::pair<Json, Error>> wrong{
        {{{"listen", 3}}, {"listen", FieldProblem::not_a_string}},
        {{{"listen", "127.0.0.1"}}, {"listen", FieldProblem::no_port_separator}},
        {{{"listen", "127.0.0.1:65536"}}, {"listen", FieldProblem::invalid_port}},
        {{{"discovery", "localhost:80"}}, {"discovery", FieldProblem::invalid_address}},
        {{{"seed", "xyz"}}, {"seed", FieldProblem::not_hexadecimal}},
        {{{"limits", 1}}, {"limits", FieldProblem::not_an_object}},
        {{{"limits", {{"sockets", -1}}}}, {"limits.sockets", FieldProblem::not_a_whole_number}},
        {{{"limits", {{"memory_mb", "1"}}}}, {"limits.memory_mb", FieldProblem::not_a_number}},
        {{{"peers", "127.0.0.1:1"}}, {"peers", FieldProblem::not_a_peer_list}},
        {{{"peers", {"127.0.0.1:1", "x"}}}, {"peers.1", FieldProblem::no_port_separator}},
        {{{"known", {{"rev", 1}, {"all", true}, {"targets", {{{"uid", ""}}}}}}},
         {"known.targets.0.uid", FieldProblem::empty}},
        {{{"known", {{"rev", 1}, {"all", 1}, {"targets", Json::array()}}}},
         {"known.all", FieldProblem::not_a_boolean}},
        {{{"settings", Json::object()}}, {"classes.count", FieldProblem::missing}}};
    EXPECT_EQ(error_of(valid_config()).first, "none");
    for (const auto& [change, error] : wrong) {
        Json config = valid_config();
        config.update(change);
        EXPECT_EQ(error_of(config), error) << change;
    }
}

TEST(ConfigError, NamesNoFieldForTextThatIsNotJson) {
    try {
        parse_config("{");
        FAIL() << "no error";
    } catch (const ConfigError& error) {
        EXPECT_STREQ(error.what(), "the configuration is not JSON");
        EXPECT_EQ(error.field(), "");
        EXPECT_FALSE(error.problem());
    }
}

TEST(ConfigError, NamesFileThatCanNotBeRead) {
    try {
        load_config([](const char* name) {
            return std::string(name) == "RELAY_CONFIG" ? "/nonexistent/config.json" : nullptr;
        });
        FAIL() << "no error";
    } catch (const ConfigError& error) {
        EXPECT_STREQ(error.what(),
                     "field 'RELAY_CONFIG' names a file that can't be read: /nonexistent/config.json");
        EXPECT_EQ(error.problem(), FieldProblem::unreadable_file);
    }
}

}  // namespace
}  // namespace elmbay
