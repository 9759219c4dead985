// Tests typed access to named text fields.
#include "config/fields.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace elmbay::balancer {
namespace {

enum class Colour { red, green };
const EnumNames<Colour> kColours{{"red", Colour::red}, {"green", Colour::green}};

Fields sample_fields() {
    Fields fields("sample");
    fields.add("whole", "18446744073709551615");
    fields.add("real", "-1.5e3");
    fields.add("flag", "true");
    fields.add("colour", "green");
    fields.add("word", "blue");
    fields.add("infinite", "inf");
    fields.add("whole", "2");
    return fields;
}

// Returns the problem that a read reports, or nothing if the read succeeds.
template <class Read>
std::optional<FieldProblem> problem_of(Read read) {
    try {
        read(sample_fields());
    } catch (const FieldError& error) {
        return error.problem();
    }
    return {};
}

TEST(Fields, ReadsEachType) {
    const Fields fields = sample_fields();
    EXPECT_EQ(fields.integer("whole"), UINT64_MAX) << "the first of two fields with the same name counts";
    EXPECT_EQ(fields.number("real"), -1500);
    EXPECT_TRUE(fields.flag_or("flag", false));
    EXPECT_EQ(read_enum(fields, "colour", kColours), Colour::green);
    EXPECT_EQ(fields.text("word"), "blue");
}

TEST(Fields, UsesFallbackOnlyIfFieldIsMissing) {
    EXPECT_EQ(sample_fields().integer_or("other", 3), 3U);
    EXPECT_EQ(sample_fields().number_or("other", 0.5), 0.5);
    EXPECT_FALSE(sample_fields().flag_or("other", false));
    EXPECT_EQ(problem_of([](const Fields& fields) { fields.integer_or("word", 3); }),
              FieldProblem::not_a_whole_number);
}

TEST(Fields, ReportsProblemOfInvalidField) {
    EXPECT_EQ(problem_of([](const Fields& fields) { fields.text("other"); }), FieldProblem::missing);
    EXPECT_EQ(problem_of([](const Fields& fields) { fields.number("word"); }), FieldProblem::not_a_number);
    EXPECT_EQ(problem_of([](const Fields& fields) { fields.number("infinite"); }),
              FieldProblem::not_a_number);
    EXPECT_EQ(problem_of([](const Fields& fields) { fields.integer("real"); }),
              FieldProblem::not_a_whole_number);
    EXPECT_EQ(problem_of([](const Fields& fields) { fields.flag_or("word", true); }),
              FieldProblem::not_a_boolean);
    EXPECT_EQ(problem_of([](const Fields& fields) { read_enum(fields, "word", kColours); }),
              FieldProblem::unknown_value);
}

TEST(Fields, ErrorNamesContextAndField) {
    try {
        sample_fields().text("other");
        FAIL() << "no error";
    } catch (const FieldError& error) {
        EXPECT_STREQ(error.what(), "sample: field 'other' is missing");
        EXPECT_EQ(error.field(), "other");
    }
}

}  // namespace
}  // namespace elmbay::balancer
