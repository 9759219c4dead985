// Tests parsing of endpoint lists in the form that discovery sends.
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
    const Target& target = list.targets[0];
    EXPECT_EQ(target.uid, "s-2") << "the last value of a repeated key counts";
    EXPECT_EQ(target.state, balancer::EndpointState::draining);
    EXPECT_EQ(target.zone, "a");
    EXPECT_EQ(target.machine_type, "m");
    EXPECT_EQ(target.cell, 3U);
    EXPECT_EQ(target.online_since, 12.5);
    EXPECT_EQ(target.weight, 0.5);
}

TEST(EndpointList, UsesLastOfRepeatedTargetLists) {
    const EndpointList list =
        parse_endpoint_list(R"({"rev":1,"all":true,"targets":[)" + kTarget + R"(],"targets":[]})");
    EXPECT_TRUE(list.targets.empty());
}

TEST(EndpointList, ReportsInvalidField) {
    EXPECT_EQ(error_of("{"), "the list is not JSON");
    EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":[]} {})"), "the list is not JSON");
    EXPECT_EQ(error_of("[]"), "field 'list' is not an object");
    EXPECT_EQ(error_of(R"({"rev":1,"all":true})"), "field 'targets' is missing");
    EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":{"a":1}})"), "field 'targets.0' is not an object");
    EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":{}})"), "field 'targets' is not a list");
    EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":3})"), "field 'targets' is not a list");
    EXPECT_EQ(error_of(R"({"rev":[1,2],"all":true,"targets":[]})"), "field 'rev' is not a number");
    EXPECT_EQ(error_of(R"({"rev":1,"all":"yes","targets":[]})"), "field 'all' is not a boolean");
    for (const char* invalid_target : {"1", "[1]", "[[]]", "null", "\"s\""})
        EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":[)" + kTarget + "," + invalid_target + "]}"),
                  "field 'targets.1' is not an object")
            << invalid_target;
    EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":[)" + kTarget + R"(,{"uid":"s-2"}]})"),
              "field 'targets.1.state' is missing");
}

TEST(EndpointList, ParsesListInConfigurationLikeAnyList) {
    Json config = {
        {"listen", "127.0.0.1:0"},
        {"discovery", "127.0.0.1:1"},
        {"seed", "1f"},
        {"more", {{"targets", {1, 2}}, {"known", {{"targets", {3}}}}}},
        {"settings",
         {{"classes",
           {{{"name", "safe"}, {"effect", "repeatable"}, {"on-time-ms", 100}, {"give-up-ms", 200}}}}}}};
    config["known"] = {{"rev", 9}, {"all", true}, {"targets", {Json::parse(kTarget)}}};
    const Config parsed = parse_config(config.dump());
    EXPECT_EQ(parsed.cached_list.revision, 9U);
    ASSERT_EQ(parsed.cached_list.targets.size(), 1U);
    EXPECT_EQ(parsed.cached_list.targets[0].uid, "s-1");
    config["known"]["targets"].push_back(Json{{"uid", ""}});
    EXPECT_THROW(parse_config(config.dump()), ConfigError);
    config["known"] = nullptr;
    EXPECT_TRUE(parse_config(config.dump()).cached_list.targets.empty());
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
