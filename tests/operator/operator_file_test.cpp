// Tests the operator's file: its defaults, its keys, and the problems that an invalid file reports.
#include "operator/operator_file.hpp"

#include <gtest/gtest.h>

namespace elmbay {
namespace {

TEST(OperatorFile, UsesDefaultsForEmptyFile) {
    schema::Problems problems;
    EXPECT_TRUE(parse_operator_file("", problems).state.directory.empty());
    EXPECT_TRUE(problems.empty());
}

TEST(OperatorFile, ReadsKeysOfTable) {
    schema::Problems problems;
    const OperatorFile file =
        parse_operator_file("[state]\nfolder = \"/var/lib/elmbay\"\nevery = \"500ms\"\n", problems);
    EXPECT_TRUE(problems.empty());
    EXPECT_EQ(file.state.directory, "/var/lib/elmbay");
    EXPECT_EQ(file.state.save_interval, 500);
}

TEST(OperatorFile, ReportsEachProblemWithLineAndKey) {
    schema::Problems problems;
    parse_operator_file("[state]\nfoldr = \"x\"\nevery = \"1ms\"\n[stat]\n", problems);
    ASSERT_EQ(problems.size(), 3U);
    const std::string text = schema::format_problems("elmbay.toml", problems);
    for (const char* part :
         {"elmbay.toml:2: state.foldr", "folder", "elmbay.toml:3: state.every", "elmbay.toml:4: stat"})
        EXPECT_NE(text.find(part), std::string::npos) << text;
    EXPECT_EQ(problems[0].reason, schema::ProblemReason::unknown_key);
    EXPECT_EQ(problems[1].reason, schema::ProblemReason::out_of_range);
    EXPECT_EQ(problems[2].reason, schema::ProblemReason::unknown_key);
    for (const char* wrong : {"[state\n", "state = 3\n"}) {
        problems.clear();
        parse_operator_file(wrong, problems);
        EXPECT_EQ(problems.size(), 1U) << wrong;
    }
    for (const char* unreadable : {"/nonexistent/file.toml", "/"}) {
        problems.clear();
        read_operator_file(unreadable, problems);
        ASSERT_EQ(problems.size(), 1U) << unreadable;
        EXPECT_EQ(problems[0].reason, schema::ProblemReason::unreadable) << unreadable;
    }
}

}  // namespace
}  // namespace elmbay
