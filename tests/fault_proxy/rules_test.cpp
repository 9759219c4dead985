// Tests rules, message boundaries and stream filters without sockets, at given times.
#include <gtest/gtest.h>

#include "fault_proxy/script.hpp"
#include "fault_proxy/stream_filter.hpp"

namespace elmbay::fault_proxy {
namespace {

Rule make_rule(const char* name, FaultType type) {
    Rule rule;
    rule.name = name, rule.type = type;
    return rule;
}

TEST(Rules, CutLinksBetweenGroupsInOneDirectionAndPeriodically) {
    Rules rules;
    Rule partition = make_rule("split", FaultType::cut);
    partition.groups = {{"n-0", "n-1", "b"}, {"n-2", "b"}};
    partition.starts_at = 100, partition.duration = 50;
    rules.put(partition);
    Rule one_way = make_rule("one way", FaultType::cut);
    one_way.from = {"x*"}, one_way.to = {"y"};
    one_way.starts_at = 1000, one_way.duration = 10, one_way.period = 30;
    rules.put(one_way);
    const auto is_cut = [&](const char* from, const char* to, Millis now) {
        return rules.is_cut({from, to}, Medium::stream, now);
    };
    EXPECT_FALSE(is_cut("n-0", "n-2", 99));
    EXPECT_TRUE(is_cut("n-0", "n-2", 100));
    EXPECT_TRUE(is_cut("n-2", "n-1", 149));
    EXPECT_FALSE(is_cut("n-0", "n-1", 120));
    EXPECT_FALSE(is_cut("b", "n-2", 120));
    EXPECT_FALSE(is_cut("n-0", "b", 120));
    EXPECT_FALSE(is_cut("n-0", "stranger", 120));  // a name in no group is not cut
    EXPECT_FALSE(is_cut("n-0", "n-2", 150));
    EXPECT_TRUE(is_cut("x-7", "y", 1005));
    EXPECT_FALSE(is_cut("y", "x-7", 1005));
    EXPECT_FALSE(is_cut("x-7", "y", 1010));
    EXPECT_TRUE(is_cut("x-7", "y", 1035));
    EXPECT_EQ(rules.next_change(0), 100);
    EXPECT_EQ(rules.next_change(100), 150);
    EXPECT_EQ(rules.next_change(150), 1000);
    EXPECT_EQ(rules.next_change(1005), 1010);
    EXPECT_EQ(rules.next_change(1010), 1030);
    EXPECT_TRUE(rules.remove("one way"));
    EXPECT_EQ(rules.next_change(1010), kNever);
}

TEST(Rules, MakeTheSameRandomChoiceRegardlessOfCallOrder) {
    Rule drop = make_rule("lose", FaultType::drop);
    drop.probability = 0.3;
    Rules forward(7), backward(7), other_seed(8);
    for (Rules* rules : {&forward, &backward, &other_seed}) rules->put(drop);
    const Link link{"p", "q"};
    std::string in_order, backwards(1000, ' '), other;
    for (std::uint64_t number = 1; number <= 1000; ++number)
        in_order += forward.deliver(link, number, 10, 0).empty() ? 'x' : '.';
    for (std::uint64_t number = 1000; number > 0; --number) {
        backward.deliver({"q", "p"}, number, 10, 0);
        backwards[number - 1] = backward.deliver(link, number, 10, 0).empty() ? 'x' : '.';
    }
    for (std::uint64_t number = 1; number <= 1000; ++number)
        other += other_seed.deliver(link, number, 10, 0).empty() ? 'x' : '.';
    EXPECT_EQ(in_order, backwards);
    EXPECT_NE(in_order, other);
    const auto dropped_count = std::count(in_order.begin(), in_order.end(), 'x');
    EXPECT_NEAR(static_cast<double>(dropped_count), 300, 60);  // four standard deviations
}

TEST(Rules, DuplicateDelayAndRateLimitDatagrams) {
    Rules rules;
    const Link link{"p", "q"};
    Rule duplicate = make_rule("repeat", FaultType::duplicate);
    duplicate.extra_copies = 2, duplicate.first_number = 2, duplicate.last_number = 2;
    Rule delay = make_rule("delay", FaultType::delay);
    delay.delay = 30, delay.jitter = 10, delay.distribution = DelayDistribution::uniform;
    Rule rate_limit = make_rule("line", FaultType::limit_rate);
    rate_limit.bytes_per_second = 1000;
    rules.put(duplicate), rules.put(delay);
    EXPECT_EQ(rules.deliver(link, 1, 10, 0).size(), 1U);
    const auto copies = rules.deliver(link, 2, 10, 0);
    ASSERT_EQ(copies.size(), 3U);
    for (const auto& copy : copies) EXPECT_TRUE(copy.delay >= 20 && copy.delay <= 40) << copy.delay;
    EXPECT_NE(copies[0].delay, copies[1].delay);  // each copy has its own delay
    rules.replace_all({rate_limit});
    EXPECT_DOUBLE_EQ(rules.deliver(link, 3, 100, 0)[0].delay, 100);
    EXPECT_DOUBLE_EQ(rules.deliver(link, 4, 100, 50)[0].delay, 150);  // waits for the previous datagram
    EXPECT_DOUBLE_EQ(rules.deliver({"q", "p"}, 1, 100, 50)[0].delay, 100);
}

const std::string kTwoRequests =
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
    "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kResponses =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";

using MessageKind = MessageBoundaryReader::MessageKind;

// Formats each boundary as message number, "b" (begin), "h" (end of head) or "e" (end), and offset.
std::string boundaries_of(MessageKind kind, const std::string& text, std::size_t chunk_size) {
    MessageBoundaryReader reader(kind);
    std::string found;
    for (std::size_t position = 0; position < text.size(); position += chunk_size)
        for (const MessageBoundary& boundary :
             reader.read(std::string_view(text).substr(position, chunk_size)))
            found += std::to_string(boundary.message_number) + "bhe"[static_cast<int>(boundary.point)] +
                     std::to_string(boundary.offset) + " ";
    return found;
}

TEST(MessageBoundaryReader, FindsTheSameBoundariesInChunksOfAnySize) {
    const std::string expected_requests = "1b0 1h48 1e52 2b52 2h80 2e80 ";
    const std::string expected_responses =
        boundaries_of(MessageKind::response, kResponses, kResponses.size());
    EXPECT_EQ(expected_responses.substr(0, 15), "1b0 1h25 1e25 2") << expected_responses;
    for (std::size_t chunk_size = 1; chunk_size <= kTwoRequests.size(); ++chunk_size)
        EXPECT_EQ(boundaries_of(MessageKind::request, kTwoRequests, chunk_size), expected_requests);
    for (std::size_t chunk_size = 1; chunk_size <= kResponses.size(); ++chunk_size)
        EXPECT_EQ(boundaries_of(MessageKind::response, kResponses, chunk_size), expected_responses)
            << chunk_size;
    EXPECT_EQ(boundaries_of(MessageKind::request, "no HTTP at all\r\n\r\n" + kTwoRequests, 7),
              "1b0 ");  // no boundaries after bytes that are not HTTP
}

struct FilterResult {
    std::string bytes;
    std::string events;
};
FilterResult filter_stream(const Rule& rule, const std::string& text, std::size_t chunk_size) {
    Rules rules;
    rules.put(rule);
    StreamFilter filter(rules, {"p", "q"}, 1, MessageKind::request);
    std::vector<StreamAction> actions;
    for (std::size_t position = 0; position < text.size(); position += chunk_size)
        filter.on_bytes(0, std::string_view(text).substr(position, chunk_size), actions);
    filter.on_end(0, StreamAction::Kind::half_close, actions);
    FilterResult filtered;
    for (const StreamAction& action : actions) {
        filtered.bytes += action.bytes;
        if (action.kind != StreamAction::Kind::send_bytes)
            filtered.events += (action.kind == StreamAction::Kind::reset ? "reset@" : "end@") +
                               std::to_string(filtered.bytes.size()) + " ";
    }
    return filtered;
}

TEST(StreamFilter, AppliesFaultsAtTheirByteOrMessageInChunksOfAnySize) {
    for (std::size_t chunk_size : {1UL, 2UL, 7UL, 40UL, 500UL}) {
        for (std::uint64_t byte = 0; byte < kTwoRequests.size(); ++byte) {
            Rule reset = make_rule("r", FaultType::reset);
            reset.trigger = Trigger::at_byte, reset.trigger_byte = byte;
            const FilterResult result = filter_stream(reset, kTwoRequests, chunk_size);
            EXPECT_EQ(result.bytes, kTwoRequests.substr(0, byte));
            EXPECT_EQ(result.events, "reset@" + std::to_string(byte) + " ");
            Rule corrupt = make_rule("g", FaultType::corrupt);
            corrupt.trigger = Trigger::at_byte, corrupt.trigger_byte = byte, corrupt.corrupted_bytes = 3;
            const std::string corrupted = filter_stream(corrupt, kTwoRequests, chunk_size).bytes;
            ASSERT_EQ(corrupted.size(), kTwoRequests.size());
            for (std::size_t i = 0; i < kTwoRequests.size(); ++i)
                EXPECT_EQ(corrupted[i] != kTwoRequests[i], i >= byte && i < byte + 3) << byte << " " << i;
        }
        Rule silence = make_rule("s", FaultType::silence);
        silence.trigger = Trigger::at_message, silence.trigger_message = 2;
        EXPECT_EQ(filter_stream(silence, kTwoRequests, chunk_size).bytes, kTwoRequests.substr(0, 52));
        EXPECT_EQ(filter_stream(silence, kTwoRequests, chunk_size).events,
                  "");  // the sender's end is dropped as well
        Rule half = make_rule("h", FaultType::half_close);
        half.trigger = Trigger::at_message, half.trigger_point = MessagePoint::head_end;
        EXPECT_EQ(filter_stream(half, kTwoRequests, chunk_size).events, "end@48 ");
    }
}

TEST(StreamFilter, KeepsBytesInOrderUnderDelaysStallsAndRateLimits) {
    Rules rules;
    Rule delay = make_rule("delay", FaultType::delay);
    delay.delay = 20, delay.distribution = DelayDistribution::exponential;
    Rule stall = make_rule("stall", FaultType::stall);
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
    Rules limited_rules;
    Rule rate = make_rule("rate", FaultType::limit_rate);
    rate.bytes_per_second = 100000;
    limited_rules.put(rate);
    StreamFilter limited_filter(limited_rules, {"p", "q"}, 1, MessageKind::request);
    actions.clear();
    for (int i = 0; i < 10; ++i) limited_filter.on_bytes(0, std::string(1000, 'x'), actions);
    EXPECT_DOUBLE_EQ(actions.back().not_before, 100);  // 10,000 bytes at 100,000 bytes per second
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
