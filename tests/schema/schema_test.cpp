// Tests reading of TOML tables by a schema: units, suggestions, defaults and problems.
#include "schema/schema.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace elmbay::schema {
namespace {

TEST(Schema, ParsesDurationsWithUnit) {
    EXPECT_EQ(parse_duration("250ms"), 250);
    EXPECT_EQ(parse_duration("1.5s"), 1500);
    EXPECT_EQ(parse_duration("2m"), 120000);
    EXPECT_EQ(parse_duration("1h"), 3600000);
    for (const char* wrong : {"", "s", "10", "10 s", "1sec", "inf s", "nans", "1e999s", "10ss"})
        EXPECT_FALSE(parse_duration(wrong)) << wrong;
}

TEST(Schema, ParsesSharesAndSizes) {
    EXPECT_EQ(parse_share("25%"), 0.25);
    EXPECT_EQ(parse_share("0.25"), 0.25);
    EXPECT_FALSE(parse_share("25 %"));
    EXPECT_EQ(parse_size("64KiB"), 65536);
    EXPECT_EQ(parse_size("1MiB"), 1048576);
    EXPECT_FALSE(parse_size("64KB"));
}

TEST(Schema, SuggestsOnlyCloseWords) {
    const std::vector<std::string> known{"servers", "cores", "slots"};
    EXPECT_EQ(closest_word("sever", known), "servers");
    EXPECT_EQ(closest_word("slot", known), "slots");
    EXPECT_EQ(closest_word("watermark", known), "");
}

struct Sample {
    double share = 0.5;
    std::uint64_t count = 7;
    bool enabled = false;
    std::string mode = "fast";
    std::vector<std::string> names;
};

const std::vector<Key<Sample>> kSampleKeys{
    {"share", Unit::share, &Sample::share, "0.5", "a share", 0, 1},
    {"count", Unit::count, &Sample::count, "7", "a count"},
    {"enabled", Unit::flag, &Sample::enabled, "false", "a flag"},
    {"mode", Unit::word, &Sample::mode, "fast", "a mode", 0, 0, {"fast", "slow"}, true},
    {"names", Unit::words, &Sample::names, "[]", "a list of names"}};

// Reads a table and returns the reasons of its problems.
std::vector<ProblemReason> reasons_of(const std::string& text, Sample& sample) {
    Problems problems;
    read_table(toml::parse(text), "sample", kSampleKeys, sample, problems);
    std::vector<ProblemReason> reasons;
    for (const Problem& problem : problems) reasons.push_back(problem.reason);
    return reasons;
}

TEST(Schema, FillsMembersFromTableAndKeepsDefaultsOfMissingKeys) {
    Sample sample;
    EXPECT_TRUE(reasons_of("share = \"25%\"\nmode = \"slow\"\nnames = [\"a\", \"b\"]", sample).empty());
    EXPECT_EQ(sample.share, 0.25);
    EXPECT_EQ(sample.count, 7U);
    EXPECT_EQ(sample.mode, "slow");
    EXPECT_EQ(sample.names, (std::vector<std::string>{"a", "b"}));
}

TEST(Schema, ReportsReasonOfEachProblemAndKeepsDefault) {
    const std::vector<std::pair<std::string, ProblemReason>> wrong{
        {"mode = \"fast\"\nshares = 1", ProblemReason::unknown_key},
        {"share = 1", ProblemReason::missing_key},
        {"mode = \"fast\"\nshare = true", ProblemReason::wrong_type},
        {"mode = \"fast\"\ncount = 1.5", ProblemReason::wrong_type},
        {"mode = \"fast\"\nenabled = 1", ProblemReason::wrong_type},
        {"mode = \"fast\"\nnames = []", ProblemReason::wrong_type},
        {"mode = \"fast\"\nshare = \"200%\"", ProblemReason::out_of_range},
        {"mode = \"fats\"", ProblemReason::unknown_word}};
    for (const auto& [text, reason] : wrong) {
        Sample sample;
        EXPECT_EQ(reasons_of(text, sample), std::vector<ProblemReason>{reason}) << text;
        EXPECT_EQ(sample.count, 7U) << text;
        EXPECT_EQ(sample.mode, "fast") << text;
    }
}

// Parses every text of up to four of the given characters. The parser must either succeed or throw
// parse_error. With the assertions of toml++ enabled, some of the texts ("[[[") end the process.
TEST(Schema, ReportsAnyTextThatIsNotTomlAsException) {
    const std::string characters = "[]{}=.,\"'#-\n 1a";
    std::size_t documents = 0, errors = 0;
    const auto parse = [&](const std::string& text) {
        try {
            (void)toml::parse(text);
            ++documents;
        } catch (const toml::parse_error& error) {
            ++errors;
            EXPECT_GT(error.source().begin.line, 0U) << text;
        }
    };
    std::vector<std::string> texts{""};
    for (std::size_t i = 0; i < texts.size(); ++i) {
        parse(texts[i]);
        if (texts[i].size() < 4)
            for (const char character : characters) texts.push_back(texts[i] + character);
    }
    EXPECT_GT(documents, 0U);
    EXPECT_GT(errors, documents);
}

}  // namespace
}  // namespace elmbay::schema
