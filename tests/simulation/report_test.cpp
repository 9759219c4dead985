// Tests the HTML page and the JSON of a report, and that reports of unpunctual runs do not count as passed.
#include "simulation/reports/report.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "simulation/drivers/virtual/virtual_run.hpp"

namespace elmbay::simulation {
namespace {

Report short_run_report(const std::string& scenario_name = "a <b> & \"c\"") {
    Scenario scenario = parse_scenario(
        "length = \"3s\"\n[[fault]]\nkind = \"freeze\"\nname = \"<script>\"\nat = \"1s\"\n[expect]\ngoodput "
        "= 1\n",
        "f");
    scenario.name = scenario_name;
    return run_virtual_simulation(scenario, {});
}

TEST(Report, PageIsCompleteSelfContainedAndEscapesNames) {
    const std::string page = html_of(short_run_report());
    EXPECT_TRUE(page.starts_with("<!doctype html>"));
    EXPECT_NE(page.find("</html>"), std::string::npos);
    EXPECT_NE(page.find("<svg"), std::string::npos);
    EXPECT_EQ(page.find("<script"), std::string::npos);
    EXPECT_EQ(page.find("http"), std::string::npos);
    EXPECT_NE(page.find("a &lt;b&gt; &amp; &quot;c&quot;"), std::string::npos);
}

TEST(Report, ReadsItsJsonBackForComparison) {
    const Report original = short_run_report("x");
    const Report parsed = report_from_json(json_of(original).dump());
    EXPECT_EQ(comparison_of(original, original), comparison_of(parsed, parsed));
    EXPECT_EQ(original.passed(), parsed.passed());
    EXPECT_THROW(report_from_json("{"), std::invalid_argument);
    EXPECT_THROW(report_from_json("{}"), std::invalid_argument);
    EXPECT_THROW(report_from_json("{\"incident\":3}"), std::invalid_argument);
}

TEST(Report, IsNotTrustedWhenEmulatorWasLate) {
    Report report = short_run_report("x");
    report.expectations.clear();
    EXPECT_TRUE(report.passed());
    report.timer_lateness.measured = true;
    report.timer_lateness.late_share = 0.02;
    EXPECT_FALSE(report.passed());
    EXPECT_NE(text_of(report).find("NOT TO BE TRUSTED"), std::string::npos);
    EXPECT_NE(html_of(report).find("not to be trusted"), std::string::npos);
}

}  // namespace
}  // namespace elmbay::simulation
