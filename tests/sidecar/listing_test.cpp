// Parsing of endpoint lists as discovery sends them, target by target.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "config/config.hpp"

namespace elmbay {
namespace {

using Json = nlohmann::json;

const std::string kTarget = R"({"uid":"s-1","endpoint":"127.0.0.1:80","state":"active"})";

std::string error_of(const std::string& text) {
    try {
        parse_endpoint_list(text);
    } catch (const ConfigError& error) {
        return error.what();
    }
    return "";
}

TEST(EndpointList, AcceptsFieldsInAnyOrderAndIgnoresUnknownOnes) {
    const EndpointList list =
        parse_endpoint_list(R"({"more":{"targets":[1,2],"rev":7},"targets":[{"tags":{"uid":"no","n":[1]},
        "uid":"s-1","uid":"s-2","state":"leaving","endpoint":"127.0.0.1:80","list":[{"state":"left"}],
        "boot_ms":12.5,"pod_group":3,"az":"a","model":"m","capacity_hint":0.5}],"list":[{}],"all":true,"rev":41})");
    EXPECT_EQ(list.revision, 41U);
    EXPECT_TRUE(list.is_complete);
    ASSERT_EQ(list.targets.size(), 1U);
    const Target& t = list.targets[0];
    EXPECT_EQ(t.uid, "s-2") << "of a key that comes twice the last counts";
    EXPECT_EQ(t.state, balancer::EndpointState::draining);
    EXPECT_EQ(t.zone, "a");
    EXPECT_EQ(t.machine_type, "m");
    EXPECT_EQ(t.cell, 3U);
    EXPECT_EQ(t.online_since, 12.5);
    EXPECT_EQ(t.weight, 0.5);
}

TEST(EndpointList, UsesLastOfRepeatedTargetLists) {
    const EndpointList list =
        parse_endpoint_list(R"({"rev":1,"all":true,"targets":[)" + kTarget + R"(],"targets":[]})");
    EXPECT_TRUE(list.targets.empty());
}

TEST(EndpointList, NamesInvalidField) {
    EXPECT_EQ(error_of("{"), "the list is not JSON");
    EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":[]} {})"), "the list is not JSON");
    EXPECT_EQ(error_of("[]"), "field 'list' is not an object");
    EXPECT_EQ(error_of(R"({"rev":1,"all":true})"), "field 'targets' is missing");
    EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":{"a":1}})"), "field 'targets.0' is not an object");
    EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":{}})"), "field 'targets' is not a list");
    EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":3})"), "field 'targets' is not a list");
    EXPECT_EQ(error_of(R"({"rev":[1,2],"all":true,"targets":[]})"), "field 'rev' is not a number");
    EXPECT_EQ(error_of(R"({"rev":1,"all":"yes","targets":[]})"), "field 'all' is not a truth value");
    for (const char* no_target : {"1", "[1]", "[[]]", "null", "\"s\""})
        EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":[)" + kTarget + "," + no_target + "]}"),
                  "field 'targets.1' is not an object")
            << no_target;
    EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":[)" + kTarget + R"(,{"uid":"s-2"}]})"),
              "field 'targets.1.state' is missing");
}

TEST(EndpointList, ParsesKnownListOfConfigurationLikeAnyList) {
    Json config = {
        {"listen", "127.0.0.1:0"},
        {"discovery", "127.0.0.1:1"},
        {"seed", "1f"},
        {"more", {{"targets", {1, 2}}, {"known", {{"targets", {3}}}}}},
        {"settings",
         {{"classes",
           {{{"name", "safe"}, {"effect", "repeatable"}, {"on-time-ms", 100}, {"give-up-ms", 200}}}}}}};
    config["known"] = {{"rev", 9}, {"all", true}, {"targets", {Json::parse(kTarget)}}};
    const Config read = parse_config(config.dump());
    EXPECT_EQ(read.known.revision, 9U);
    ASSERT_EQ(read.known.targets.size(), 1U);
    EXPECT_EQ(read.known.targets[0].uid, "s-1");
    config["known"]["targets"].push_back(Json{{"uid", ""}});
    EXPECT_THROW(parse_config(config.dump()), ConfigError);
    config["known"] = nullptr;
    EXPECT_TRUE(parse_config(config.dump()).known.targets.empty());
    config["known"] = 3;
    EXPECT_THROW(parse_config(config.dump()), ConfigError);
}

TEST(EndpointList, CountsTargetsBeyondMaximum) {
    std::string text = R"({"rev":1,"all":true,"targets":[)" + kTarget;
    for (std::size_t i = 1; i < kMaxTargets + 3; ++i) text += "," + kTarget;
    const EndpointList list = parse_endpoint_list(text + "]}");
    EXPECT_EQ(list.targets.size(), kMaxTargets);
    EXPECT_EQ(list.dropped_targets, 3U);
}

}  // namespace
}  // namespace elmbay
