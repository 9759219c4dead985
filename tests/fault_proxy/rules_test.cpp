// Rules, boundaries and flows: no sockets, time given.
#include <gtest/gtest.h>

#include "fault_proxy/flow.hpp"
#include "fault_proxy/script.hpp"

namespace elmbay::fault_proxy {
namespace {

Rule rule(const char* name, Act act) {
    Rule r;
    r.name = name, r.act = act;
    return r;
}

TEST(Splits, GroupsBridgesOneWayAndFlapping) {
    Rules rules;
    Rule split = rule("split", Act::cut);
    split.groups = {{"n-0", "n-1", "b"}, {"n-2", "b"}};
    split.at = 100, split.lasts = 50;
    rules.put(split);
    Rule one_way = rule("one way", Act::cut);
    one_way.from = {"x*"}, one_way.to = {"y"};
    one_way.at = 1000, one_way.lasts = 10, one_way.every = 30;
    rules.put(one_way);
    const auto cut = [&](const char* from, const char* to, Millis now) {
        return rules.cut({from, to}, Medium::stream, now);
    };
    EXPECT_FALSE(cut("n-0", "n-2", 99));
    EXPECT_TRUE(cut("n-0", "n-2", 100));
    EXPECT_TRUE(cut("n-2", "n-1", 149));
    EXPECT_FALSE(cut("n-0", "n-1", 120));
    EXPECT_FALSE(cut("b", "n-2", 120));
    EXPECT_FALSE(cut("n-0", "b", 120));
    EXPECT_FALSE(cut("n-0", "stranger", 120));  // who stands in no group is heard by all
    EXPECT_FALSE(cut("n-0", "n-2", 150));
    EXPECT_TRUE(cut("x-7", "y", 1005));
    EXPECT_FALSE(cut("y", "x-7", 1005));
    EXPECT_FALSE(cut("x-7", "y", 1010));
    EXPECT_TRUE(cut("x-7", "y", 1035));
    EXPECT_EQ(rules.next_change(0), 100);
    EXPECT_EQ(rules.next_change(100), 150);
    EXPECT_EQ(rules.next_change(150), 1000);
    EXPECT_EQ(rules.next_change(1005), 1010);
    EXPECT_EQ(rules.next_change(1010), 1030);
    EXPECT_TRUE(rules.take_away("one way"));
    EXPECT_EQ(rules.next_change(1010), kNever);
}

TEST(Chance, IsKeyedByLinkAndNumberAndNotByTheOrderOfCalls) {
    Rule lose = rule("lose", Act::lose);
    lose.chance = 0.3;
    Rules a(7), b(7), c(8);
    for (Rules* r : {&a, &b, &c}) r->put(lose);
    const Link link{"p", "q"};
    std::string in_order, backwards(1000, ' '), other;
    for (std::uint64_t n = 1; n <= 1000; ++n) in_order += a.datagram(link, n, 10, 0).empty() ? 'x' : '.';
    for (std::uint64_t n = 1000; n > 0; --n) {
        b.datagram({"q", "p"}, n, 10, 0);
        backwards[n - 1] = b.datagram(link, n, 10, 0).empty() ? 'x' : '.';
    }
    for (std::uint64_t n = 1; n <= 1000; ++n) other += c.datagram(link, n, 10, 0).empty() ? 'x' : '.';
    EXPECT_EQ(in_order, backwards);
    EXPECT_NE(in_order, other);
    const auto lost = std::count(in_order.begin(), in_order.end(), 'x');
    EXPECT_NEAR(static_cast<double>(lost), 300, 60);  // four deviations
}

TEST(Datagrams, AreRepeatedDelayedHeldBackAndSlowed) {
    Rules rules;
    const Link link{"p", "q"};
    Rule repeat = rule("repeat", Act::repeat);
    repeat.copies = 2, repeat.first = 2, repeat.last = 2;
    Rule delay = rule("delay", Act::delay);
    delay.span = 30, delay.jitter = 10, delay.law = Law::uniform;
    Rule line = rule("line", Act::rate);
    line.rate = 1000;
    rules.put(repeat), rules.put(delay);
    EXPECT_EQ(rules.datagram(link, 1, 10, 0).size(), 1U);
    const auto copies = rules.datagram(link, 2, 10, 0);
    ASSERT_EQ(copies.size(), 3U);
    for (const auto& d : copies) EXPECT_TRUE(d.after >= 20 && d.after <= 40) << d.after;
    EXPECT_NE(copies[0].after, copies[1].after);  // each is on its way for itself
    rules.replace_all({line});
    EXPECT_DOUBLE_EQ(rules.datagram(link, 3, 100, 0)[0].after, 100);
    EXPECT_DOUBLE_EQ(rules.datagram(link, 4, 100, 50)[0].after, 150);  // behind the one before
    EXPECT_DOUBLE_EQ(rules.datagram({"q", "p"}, 1, 100, 50)[0].after, 100);
}

const std::string kTwo =
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
    "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kAnswers =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";

std::string places(bool asks, const std::string& text, std::size_t piece) {
    Boundaries b(asks);
    std::string told;
    for (std::size_t at = 0; at < text.size(); at += piece)
        for (const Boundary& m : b.take(std::string_view(text).substr(at, piece)))
            told += std::to_string(m.message) + "bhe"[static_cast<int>(m.part)] + std::to_string(m.at) + " ";
    return told;
}

TEST(Messages, HaveTheSameBoundariesInWhateverPieces) {
    const std::string asked = "1b0 1h48 1e52 2b52 2h80 2e80 ";
    const std::string answered = places(false, kAnswers, kAnswers.size());
    EXPECT_EQ(answered.substr(0, 15), "1b0 1h25 1e25 2") << answered;
    for (std::size_t piece = 1; piece <= kTwo.size(); ++piece) EXPECT_EQ(places(true, kTwo, piece), asked);
    for (std::size_t piece = 1; piece <= kAnswers.size(); ++piece)
        EXPECT_EQ(places(false, kAnswers, piece), answered) << piece;
    EXPECT_EQ(places(true, "no HTTP at all\r\n\r\n" + kTwo, 7), "1b0 ");  // and nothing after it
}

struct Passed {
    std::string bytes;
    std::string events;
};
Passed pass(const Rule& r, const std::string& text, std::size_t piece, bool asks = true) {
    Rules rules;
    rules.put(r);
    Flow flow(rules, {"p", "q"}, 1, asks);
    std::vector<Step> steps;
    for (std::size_t at = 0; at < text.size(); at += piece)
        flow.take(0, std::string_view(text).substr(at, piece), steps);
    flow.end(0, Step::Kind::half_close, steps);
    Passed passed;
    for (const Step& s : steps) {
        passed.bytes += s.bytes;
        if (s.kind != Step::Kind::bytes)
            passed.events +=
                (s.kind == Step::Kind::reset ? "reset@" : "end@") + std::to_string(passed.bytes.size()) + " ";
    }
    return passed;
}

TEST(Flows, ActAtTheirByteOrMessageInWhateverPieces) {
    for (std::size_t piece : {1UL, 2UL, 7UL, 40UL, 500UL}) {
        for (std::uint64_t byte = 0; byte < kTwo.size(); ++byte) {
            Rule reset = rule("r", Act::reset);
            reset.place = Place::byte, reset.byte = byte;
            const Passed cut = pass(reset, kTwo, piece);
            EXPECT_EQ(cut.bytes, kTwo.substr(0, byte));
            EXPECT_EQ(cut.events, "reset@" + std::to_string(byte) + " ");
            Rule garble = rule("g", Act::garble);
            garble.place = Place::byte, garble.byte = byte, garble.count = 3;
            const std::string spoilt = pass(garble, kTwo, piece).bytes;
            ASSERT_EQ(spoilt.size(), kTwo.size());
            for (std::size_t i = 0; i < kTwo.size(); ++i)
                EXPECT_EQ(spoilt[i] != kTwo[i], i >= byte && i < byte + 3) << byte << " " << i;
        }
        Rule silent = rule("s", Act::silence);
        silent.place = Place::message, silent.message = 2;
        EXPECT_EQ(pass(silent, kTwo, piece).bytes, kTwo.substr(0, 52));
        EXPECT_EQ(pass(silent, kTwo, piece).events, "");  // not even the sender's end
        Rule half = rule("h", Act::half_close);
        half.place = Place::message, half.part = Part::head;
        EXPECT_EQ(pass(half, kTwo, piece).events, "end@48 ");
    }
}

TEST(Flows, KeepTheirOrderUnderDelaysAndStalls) {
    Rules rules;
    Rule delay = rule("delay", Act::delay);
    delay.span = 20, delay.law = Law::exponential;
    Rule stall = rule("stall", Act::stall);
    stall.place = Place::byte, stall.byte = 50, stall.span = 500;
    rules.put(delay), rules.put(stall);
    Flow flow(rules, {"p", "q"}, 1, true);
    std::vector<Step> steps;
    for (int i = 0; i < 100; ++i) flow.take(i, "x", steps);
    Millis last = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        EXPECT_GE(steps[i].at, std::max(last, static_cast<Millis>(i)));
        last = steps[i].at;
    }
    EXPECT_LT(steps[49].at, 500);
    EXPECT_GE(steps[50].at, 549);
    Rules line;
    Rule rate = rule("rate", Act::rate);
    rate.rate = 100000;
    line.put(rate);
    Flow slow(line, {"p", "q"}, 1, true);
    steps.clear();
    for (int i = 0; i < 10; ++i) slow.take(0, std::string(1000, 'x'), steps);
    EXPECT_DOUBLE_EQ(steps.back().at, 100);  // 10,000 bytes at 100,000 a second
}

TEST(Scripts, SayWhatIsWrongWithLineAndKey) {
    schema::Problems problems;
    const Script good = parse_script(
        "seed = 3\n[[link]]\nfrom = \"a\"\nto = \"b\"\nlisten = \"127.0.0.1:0\"\ntarget = \"127.0.0.1:9\"\n"
        "[[rule]]\nact = \"cut\"\ngroups = [\"a b\", \"c\"]\nlasts = \"2s\"\nevery = \"5s\"\n",
        "f", problems);
    EXPECT_TRUE(problems.empty()) << schema::text_of("f", problems);
    ASSERT_EQ(good.rules.size(), 1U);
    EXPECT_EQ(good.rules[0].groups.size(), 2U);
    EXPECT_EQ(good.rules[0].lasts, 2000);
    parse_script(
        "[[link]]\nfrom = \"a\"\nto = \"b\"\nlisten = \"0.0.0.0:80\"\ntarget = \"127.0.0.1\"\n"
        "[[rule]]\nact = \"cutt\"\n[[rule]]\nact = \"lose\"\nmedium = \"stream\"\n"
        "[[rule]]\nact = \"delay\"\n[[rule]]\nact = \"cut\"\nlasts = \"2s\"\nevery = \"1s\"\nwhom = \"x\"\n",
        "f", problems);
    const std::string text = schema::text_of("f", problems);
    for (const char* part : {"not on loopback", "not address:port", "cutt", "rule 2.medium", "rule 3.span",
                             "rule 4.every", "whom"})
        EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
    problems.clear();
    parse_script("a = [", "f", problems);
    EXPECT_EQ(problems.size(), 1U);
}

}  // namespace
}  // namespace elmbay::fault_proxy
