// Rules, boundaries and flows: no sockets, time given.
#include <gtest/gtest.h>

#include "fault_proxy/script.hpp"
#include "fault_proxy/stream_filter.hpp"

namespace elmbay::fault_proxy {
namespace {

Rule rule(const char* name, FaultType type) {
    Rule r;
    r.name = name, r.type = type;
    return r;
}

TEST(Rules, CutLinksBetweenGroupsInOneDirectionAndPeriodically) {
    Rules rules;
    Rule split = rule("split", FaultType::cut);
    split.groups = {{"n-0", "n-1", "b"}, {"n-2", "b"}};
    split.starts_at = 100, split.duration = 50;
    rules.put(split);
    Rule one_way = rule("one way", FaultType::cut);
    one_way.from = {"x*"}, one_way.to = {"y"};
    one_way.starts_at = 1000, one_way.duration = 10, one_way.period = 30;
    rules.put(one_way);
    const auto cut = [&](const char* from, const char* to, Millis now) {
        return rules.is_cut({from, to}, Medium::stream, now);
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
    EXPECT_TRUE(rules.remove("one way"));
    EXPECT_EQ(rules.next_change(1010), kNever);
}

TEST(Rules, DrawTheSameForALinkAndNumberInAnyOrderOfCalls) {
    Rule lose = rule("lose", FaultType::drop);
    lose.probability = 0.3;
    Rules a(7), b(7), c(8);
    for (Rules* r : {&a, &b, &c}) r->put(lose);
    const Link link{"p", "q"};
    std::string in_order, backwards(1000, ' '), other;
    for (std::uint64_t n = 1; n <= 1000; ++n) in_order += a.deliver(link, n, 10, 0).empty() ? 'x' : '.';
    for (std::uint64_t n = 1000; n > 0; --n) {
        b.deliver({"q", "p"}, n, 10, 0);
        backwards[n - 1] = b.deliver(link, n, 10, 0).empty() ? 'x' : '.';
    }
    for (std::uint64_t n = 1; n <= 1000; ++n) other += c.deliver(link, n, 10, 0).empty() ? 'x' : '.';
    EXPECT_EQ(in_order, backwards);
    EXPECT_NE(in_order, other);
    const auto lost = std::count(in_order.begin(), in_order.end(), 'x');
    EXPECT_NEAR(static_cast<double>(lost), 300, 60);  // four deviations
}

TEST(Rules, DuplicateDelayAndRateLimitDatagrams) {
    Rules rules;
    const Link link{"p", "q"};
    Rule repeat = rule("repeat", FaultType::duplicate);
    repeat.extra_copies = 2, repeat.first_number = 2, repeat.last_number = 2;
    Rule delay = rule("delay", FaultType::delay);
    delay.delay = 30, delay.jitter = 10, delay.distribution = DelayDistribution::uniform;
    Rule line = rule("line", FaultType::limit_rate);
    line.bytes_per_second = 1000;
    rules.put(repeat), rules.put(delay);
    EXPECT_EQ(rules.deliver(link, 1, 10, 0).size(), 1U);
    const auto copies = rules.deliver(link, 2, 10, 0);
    ASSERT_EQ(copies.size(), 3U);
    for (const auto& d : copies) EXPECT_TRUE(d.delay >= 20 && d.delay <= 40) << d.delay;
    EXPECT_NE(copies[0].delay, copies[1].delay);  // each is on its way for itself
    rules.replace_all({line});
    EXPECT_DOUBLE_EQ(rules.deliver(link, 3, 100, 0)[0].delay, 100);
    EXPECT_DOUBLE_EQ(rules.deliver(link, 4, 100, 50)[0].delay, 150);  // behind the one before
    EXPECT_DOUBLE_EQ(rules.deliver({"q", "p"}, 1, 100, 50)[0].delay, 100);
}

const std::string kTwo =
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
    "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kAnswers =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";

using MessageKind = MessageBoundaryReader::MessageKind;

// Each boundary as message number, "b" (begin), "h" (end of head) or "e" (end), and offset.
std::string boundaries_of(MessageKind kind, const std::string& text, std::size_t piece) {
    MessageBoundaryReader reader(kind);
    std::string found;
    for (std::size_t at = 0; at < text.size(); at += piece)
        for (const MessageBoundary& m : reader.read(std::string_view(text).substr(at, piece)))
            found += std::to_string(m.message_number) + "bhe"[static_cast<int>(m.point)] +
                     std::to_string(m.offset) + " ";
    return found;
}

TEST(MessageBoundaryReader, FindsTheSameBoundariesInPiecesOfAnySize) {
    const std::string asked = "1b0 1h48 1e52 2b52 2h80 2e80 ";
    const std::string answered = boundaries_of(MessageKind::response, kAnswers, kAnswers.size());
    EXPECT_EQ(answered.substr(0, 15), "1b0 1h25 1e25 2") << answered;
    for (std::size_t piece = 1; piece <= kTwo.size(); ++piece)
        EXPECT_EQ(boundaries_of(MessageKind::request, kTwo, piece), asked);
    for (std::size_t piece = 1; piece <= kAnswers.size(); ++piece)
        EXPECT_EQ(boundaries_of(MessageKind::response, kAnswers, piece), answered) << piece;
    EXPECT_EQ(boundaries_of(MessageKind::request, "no HTTP at all\r\n\r\n" + kTwo, 7),
              "1b0 ");  // and nothing after it
}

struct Passed {
    std::string bytes;
    std::string events;
};
Passed pass(const Rule& r, const std::string& text, std::size_t piece) {
    Rules rules;
    rules.put(r);
    StreamFilter filter(rules, {"p", "q"}, 1, MessageKind::request);
    std::vector<StreamAction> actions;
    for (std::size_t at = 0; at < text.size(); at += piece)
        filter.on_bytes(0, std::string_view(text).substr(at, piece), actions);
    filter.on_end(0, StreamAction::Kind::half_close, actions);
    Passed passed;
    for (const StreamAction& action : actions) {
        passed.bytes += action.bytes;
        if (action.kind != StreamAction::Kind::send_bytes)
            passed.events += (action.kind == StreamAction::Kind::reset ? "reset@" : "end@") +
                             std::to_string(passed.bytes.size()) + " ";
    }
    return passed;
}

TEST(StreamFilter, AppliesFaultsAtTheirByteOrMessageInPiecesOfAnySize) {
    for (std::size_t piece : {1UL, 2UL, 7UL, 40UL, 500UL}) {
        for (std::uint64_t byte = 0; byte < kTwo.size(); ++byte) {
            Rule reset = rule("r", FaultType::reset);
            reset.trigger = Trigger::at_byte, reset.trigger_byte = byte;
            const Passed cut = pass(reset, kTwo, piece);
            EXPECT_EQ(cut.bytes, kTwo.substr(0, byte));
            EXPECT_EQ(cut.events, "reset@" + std::to_string(byte) + " ");
            Rule garble = rule("g", FaultType::corrupt);
            garble.trigger = Trigger::at_byte, garble.trigger_byte = byte, garble.corrupted_bytes = 3;
            const std::string spoilt = pass(garble, kTwo, piece).bytes;
            ASSERT_EQ(spoilt.size(), kTwo.size());
            for (std::size_t i = 0; i < kTwo.size(); ++i)
                EXPECT_EQ(spoilt[i] != kTwo[i], i >= byte && i < byte + 3) << byte << " " << i;
        }
        Rule silent = rule("s", FaultType::silence);
        silent.trigger = Trigger::at_message, silent.trigger_message = 2;
        EXPECT_EQ(pass(silent, kTwo, piece).bytes, kTwo.substr(0, 52));
        EXPECT_EQ(pass(silent, kTwo, piece).events, "");  // not even the sender's end
        Rule half = rule("h", FaultType::half_close);
        half.trigger = Trigger::at_message, half.trigger_point = MessagePoint::head_end;
        EXPECT_EQ(pass(half, kTwo, piece).events, "end@48 ");
    }
}

TEST(StreamFilter, KeepsBytesInOrderUnderDelaysStallsAndRateLimits) {
    Rules rules;
    Rule delay = rule("delay", FaultType::delay);
    delay.delay = 20, delay.distribution = DelayDistribution::exponential;
    Rule stall = rule("stall", FaultType::stall);
    stall.trigger = Trigger::at_byte, stall.trigger_byte = 50, stall.delay = 500;
    rules.put(delay), rules.put(stall);
    StreamFilter filter(rules, {"p", "q"}, 1, MessageKind::request);
    std::vector<StreamAction> actions;
    for (int i = 0; i < 100; ++i) filter.on_bytes(i, "x", actions);
    Millis last = 0;
    for (std::size_t i = 0; i < actions.size(); ++i) {
        EXPECT_GE(actions[i].not_before, std::max(last, static_cast<Millis>(i)));
        last = actions[i].not_before;
    }
    EXPECT_LT(actions[49].not_before, 500);
    EXPECT_GE(actions[50].not_before, 549);
    Rules line;
    Rule rate = rule("rate", FaultType::limit_rate);
    rate.bytes_per_second = 100000;
    line.put(rate);
    StreamFilter slow(line, {"p", "q"}, 1, MessageKind::request);
    actions.clear();
    for (int i = 0; i < 10; ++i) slow.on_bytes(0, std::string(1000, 'x'), actions);
    EXPECT_DOUBLE_EQ(actions.back().not_before, 100);  // 10,000 bytes at 100,000 a second
}

TEST(Script, ReportsEachProblemWithItsLineAndKey) {
    schema::Problems problems;
    const Script good = parse_script(
        "seed = 3\n[[link]]\nfrom = \"a\"\nto = \"b\"\nlisten = \"127.0.0.1:0\"\ntarget = \"127.0.0.1:9\"\n"
        "[[rule]]\nact = \"cut\"\ngroups = [\"a b\", \"c\"]\nlasts = \"2s\"\nevery = \"5s\"\n",
        "f", problems);
    EXPECT_TRUE(problems.empty()) << schema::format_problems("f", problems);
    ASSERT_EQ(good.rules.size(), 1U);
    EXPECT_EQ(good.rules[0].groups.size(), 2U);
    EXPECT_EQ(good.rules[0].duration, 2000);
    parse_script(
        "[[link]]\nfrom = \"a\"\nto = \"b\"\nlisten = \"0.0.0.0:80\"\ntarget = \"127.0.0.1\"\n"
        "[[rule]]\nact = \"cutt\"\n[[rule]]\nact = \"lose\"\nmedium = \"stream\"\n"
        "[[rule]]\nact = \"delay\"\n[[rule]]\nact = \"cut\"\nlasts = \"2s\"\nevery = \"1s\"\nwhom = \"x\"\n",
        "f", problems);
    const std::string text = schema::format_problems("f", problems);
    for (const char* part : {"not on loopback", "not address:port", "cutt", "rule 2.medium", "rule 3.span",
                             "rule 4.every", "whom"})
        EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
    problems.clear();
    parse_script("a = [", "f", problems);
    EXPECT_EQ(problems.size(), 1U);
}

}  // namespace
}  // namespace elmbay::fault_proxy
