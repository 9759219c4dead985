#include "process_testbed/chaos.hpp"

#include <array>
#include <map>
#include <sstream>
#include <stdexcept>

#include "base/random.hpp"

namespace elmbay::process_testbed {

namespace {

using Kind = FaultStep::Kind;
using fault_proxy::Act;
using fault_proxy::Rule;

constexpr std::array<const char*, 14> kNames{"ask",   "cut",     "split",   "heal", "reset",
                                             "break", "freeze",  "thaw",    "kill", "starve",
                                             "drain", "restore", "conduct", "wait"};
constexpr std::array<const char*, 3> kGrades{"listen", "deposit", "annotate"};
constexpr std::array<ServerBehavior, 4> kConducts{ServerBehavior::serve, ServerBehavior::fail,
                                                  ServerBehavior::turn_away, ServerBehavior::mute};
constexpr std::uint64_t kLongestWait = 400;  // ms: beyond the drain grace with the next one's
constexpr std::uint64_t kAnswerBytes = 90;   // about the length of an answer's head and body

// What a schedule is carried out on, with what has to be undone at its end.
class Player {
public:
    Player(const Options& options) : testbed_(options) { testbed_.start(); }

    bool carry_out(const FaultStep& d) {
        const std::string sidecar = "n-" + std::to_string(d.a), server = "s-" + std::to_string(d.b);
        switch (d.kind) {
            case Kind::ask:
                for (std::uint64_t i = 0; i < d.value && testbed_.running(d.a); ++i)
                    testbed_.ask(d.a, kGrades[d.b % kGrades.size()]);
                return true;
            case Kind::cut: {
                const std::string other = d.b < servers() ? server : "list";
                if (d.value != 2) cut(sidecar, other);
                if (d.value != 1) cut(other, sidecar);
                return true;
            }
            case Kind::split: {
                Rule r;
                r.name = "cut " + std::to_string(++cuts_);
                r.groups.resize(2);
                for (std::size_t i = 0; i < sidecars(); ++i)
                    r.groups[i >= d.a].push_back("n-" + std::to_string(i));
                for (std::size_t j = 0; j < servers(); ++j)
                    r.groups[j >= servers() / 2].push_back("s-" + std::to_string(j));
                r.groups[d.b % 2].push_back("list");
                testbed_.context().put(r);
                return true;
            }
            case Kind::heal:
                heal();
                return true;
            case Kind::reset:
                testbed_.link(sidecar, server).reset_all();
                return true;
            case Kind::break_at: {
                Rule r;
                r.name = "cut " + std::to_string(++cuts_);
                r.act = d.a % 2 ? Act::reset : Act::half_close;
                r.from = {server}, r.to = {"n-*"}, r.place = fault_proxy::Place::byte, r.byte = d.value;
                testbed_.context().put(r);
                return true;
            }
            case Kind::freeze:
                if (testbed_.running(d.a)) testbed_.freeze(d.a);
                return true;
            case Kind::thaw:
                if (testbed_.process(d.a).frozen()) testbed_.thaw(d.a);
                return true;
            case Kind::kill:
                testbed_.kill(d.a);
                testbed_.restart(d.a);
                return true;
            case Kind::starve:
                if (testbed_.running(d.a)) testbed_.starve(d.a, static_cast<double>(d.value) / 100);
                return true;
            case Kind::drain:
                testbed_.list(d.b, "leaving");
                return true;
            case Kind::restore:
                testbed_.list(d.b, "active");
                return true;
            case Kind::behavior:
                testbed_.server(d.b).behavior = kConducts[d.value % kConducts.size()];
                return true;
            case Kind::wait:
                return testbed_.quiet_for(static_cast<Millis>(d.value));
        }
        return true;
    }

    Verdict verdict(bool kept) {
        heal();
        for (std::size_t i = 0; i < sidecars(); ++i) {
            testbed_.starve(i, 1);
            if (testbed_.process(i).frozen()) testbed_.thaw(i);
        }
        for (std::size_t j = 0; j < servers(); ++j) testbed_.server(j).behavior = ServerBehavior::serve;
        kept = kept && testbed_.settle();
        std::string leaks;
        for (std::size_t i = 0; kept && i < sidecars(); ++i)
            if (testbed_.running(i) && testbed_.until([&] { return testbed_.ready(i); }) &&
                !testbed_.descriptors_accounted(i))
                leaks += "n-" + std::to_string(i) + " holds more descriptors than it counts\n";
        kept = kept && leaks.empty();
        return {kept, kept ? "" : leaks + testbed_.explain(), testbed_.request_history().asked(),
                testbed_.request_history().count(RequestHistory::Answer::served)};
    }
    std::size_t servers() const { return testbed_.servers(); }
    std::size_t sidecars() const { return testbed_.sidecars(); }

private:
    void cut(const std::string& from, const std::string& to) {
        Rule r;
        r.name = "cut " + std::to_string(++cuts_);
        r.from = {from}, r.to = {to};
        testbed_.context().put(r);
    }
    void heal() { testbed_.context().replace_all({}); }

    ProcessTestbed testbed_;
    std::uint64_t cuts_ = 0;
};

}  // namespace

Schedule draw_schedule(std::uint64_t seed, std::size_t sidecars, std::size_t servers, std::size_t deeds) {
    balancer::Random random(seed);
    Schedule schedule;
    // What happens alone hardly ever shows: half of the deeds are requests, with little time between.
    constexpr Kind kFaults[] = {Kind::cut,      Kind::cut,    Kind::split,   Kind::heal,    Kind::reset,
                                Kind::break_at, Kind::freeze, Kind::thaw,    Kind::thaw,    Kind::kill,
                                Kind::starve,   Kind::drain,  Kind::restore, Kind::behavior};
    while (schedule.size() < deeds) {
        FaultStep d;
        const std::size_t which = random.below(10);
        d.kind = which < 4 ? Kind::ask : which < 7 ? Kind::wait : kFaults[random.below(std::size(kFaults))];
        d.a = random.below(sidecars);
        d.b = random.below(servers);
        switch (d.kind) {
            case Kind::ask:
                d.b = random.below(kGrades.size()), d.value = 1 + random.below(6);
                break;
            case Kind::wait:
                d.value = 1 + random.below(random.below(3) == 0 ? kLongestWait : 40);
                break;
            case Kind::cut:
                d.b = random.below(servers + 1), d.value = random.below(3);
                break;
            case Kind::split:
                d.a = 1 + random.below(sidecars - 1);
                break;
            case Kind::break_at:
                d.value = random.below(kAnswerBytes);
                break;
            case Kind::starve:
                d.value = 10 + random.below(90);
                break;
            case Kind::behavior:
                d.value = random.below(kConducts.size());
                break;
            default:
                break;
        }
        schedule.push_back(d);
    }
    return schedule;
}

std::string text_of(const Schedule& schedule) {
    std::ostringstream text;
    for (const FaultStep& d : schedule)
        text << kNames[static_cast<std::size_t>(d.kind)] << " " << d.a << " " << d.b << " " << d.value
             << "\n";
    return text.str();
}

Schedule parse_schedule(const std::string& text) {
    Schedule schedule;
    std::istringstream lines(text);
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        if (line.empty() || line[0] == '#') continue;
        std::istringstream words(line);
        std::string name;
        FaultStep d;
        words >> name >> d.a >> d.b >> d.value;
        const auto at = std::find_if(kNames.begin(), kNames.end(), [&](const char* n) { return name == n; });
        if (!words || at == kNames.end())
            throw std::invalid_argument("line " + std::to_string(number) + ": '" + line + "' is no deed");
        d.kind = static_cast<Kind>(at - kNames.begin());
        schedule.push_back(d);
    }
    return schedule;
}

Verdict play(const Options& options, const Schedule& schedule) {
    for (const FaultStep& d : schedule)
        if (d.a >= options.sidecars || (d.b > options.servers && d.kind != Kind::ask))
            throw std::invalid_argument("the schedule names more than the fleet has");
    Player player(options);
    for (const FaultStep& d : schedule)
        if (!player.carry_out(d)) return player.verdict(false);
    return player.verdict(true);
}

}  // namespace elmbay::process_testbed
