// Units and words of files that people write.
#include "schema/schema.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace elmbay::schema {
namespace {

TEST(Schema, Durations) {
    EXPECT_EQ(parse_duration("250ms"), 250);
    EXPECT_EQ(parse_duration("1.5s"), 1500);
    EXPECT_EQ(parse_duration("2m"), 120000);
    EXPECT_EQ(parse_duration("1h"), 3600000);
    for (const char* wrong : {"", "s", "10", "10 s", "1sec", "inf s", "nans", "1e999s", "10ss"})
        EXPECT_FALSE(parse_duration(wrong)) << wrong;
}

TEST(Schema, SharesAndSizes) {
    EXPECT_EQ(parse_share("25%"), 0.25);
    EXPECT_EQ(parse_share("0.25"), 0.25);
    EXPECT_FALSE(parse_share("25 %"));
    EXPECT_EQ(parse_size("64KiB"), 65536);
    EXPECT_EQ(parse_size("1MiB"), 1048576);
    EXPECT_FALSE(parse_size("64KB"));
}

TEST(Schema, GuessesOnlyWhatIsClose) {
    const std::vector<std::string> known{"servers", "cores", "slots"};
    EXPECT_EQ(did_you_mean("sever", known), "servers");
    EXPECT_EQ(did_you_mean("slot", known), "slots");
    EXPECT_EQ(did_you_mean("watermark", known), "");
}

// Every text of up to four of these characters is either TOML or told to be none. With the library's
// assertions on some of them ("[[[") ended the process.
TEST(Schema, TextThatIsNotTomlNeverEndsTheProcess) {
    const std::string characters = "[]{}=.,\"'#-\n 1a";
    std::size_t tables = 0, errors = 0;
    const auto look = [&](const std::string& text) {
        try {
            (void)toml::parse(text);
            ++tables;
        } catch (const toml::parse_error& error) {
            ++errors;
            EXPECT_GT(error.source().begin.line, 0U) << text;
        }
    };
    std::vector<std::string> texts{""};
    for (std::size_t i = 0; i < texts.size(); ++i) {
        look(texts[i]);
        if (texts[i].size() < 4)
            for (const char c : characters) texts.push_back(texts[i] + c);
    }
    EXPECT_GT(tables, 0U);
    EXPECT_GT(errors, tables);
}

}  // namespace
}  // namespace elmbay::schema
