// What a fleet of sidecars did, held against the four rules and what many processes must keep between them.
// It is told what callers, servers, the list and the links at the sidecars' ends saw, never what a sidecar
// says. No I/O and no clock; time is the caller's, in milliseconds.
//
// On sockets each limit is kSlack longer (PROTOCOL, "The rules on sockets").
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::process_testbed {

using balancer::Idempotency;
using balancer::Millis;

class RequestHistory {
public:
    static constexpr Millis kSlack = 50, kDrainGrace = 500;
    static constexpr std::uint32_t kMaxAttempts = 4;
    static constexpr std::size_t kMaxEvents = 20000;  // of the history; the oldest go

    struct Violation {
        Millis at = 0;
        std::string what;  // which rule, and what was seen
        std::string id;    // of the request, or empty
    };

    // ---- callers
    void asked(Millis now, const std::string& id, Idempotency idempotency, const std::string& sidecar,
               Millis patience);
    enum class Answer { served, refused, failed, cut };
    // genuine: a served one's body was made for this request.
    void answered(Millis now, const std::string& id, Answer answer, bool genuine);
    // Its time and more is over, and nothing came: lost, unless its sidecar was frozen or has died.
    void silence(Millis now, const std::string& id);
    // Its caller chose to close the connection.
    void left(Millis now, const std::string& id);
    // The connection was closed with no answer.
    void closed(Millis now, const std::string& id);

    // ---- a sidecar's end of its links to servers: an attempt is a connection's number on a link
    struct Attempt {
        std::string sidecar, server;
        std::uint64_t connection = 0;
        auto operator<=>(const Attempt&) const = default;
    };
    // first_byte: when its first byte was seen, which is what drains count.
    void sent(Millis now, const std::string& id, const Attempt& attempt, Millis first_byte);
    // It has its answer, or its connection ended.
    void over(Millis now, const Attempt& attempt);
    // ---- a server: it has done what the request asks, or turned it away unseen
    void done(Millis now, const std::string& id, const std::string& server);
    void turned_away(Millis now, const std::string& id, const std::string& server);
    void no_such_id(Millis now, const std::string& id, const std::string& server);

    // ---- the list, as it was written to a sidecar
    void told(Millis now, const std::string& sidecar, const std::string& server, bool may_send);

    // ---- processes
    void died(Millis now, const std::string& sidecar);   // what it had is excused
    void froze(Millis now, const std::string& sidecar);  // and what it has or gets until it is thawed
    void thawed(Millis now, const std::string& sidecar);
    void note(Millis now, const std::string& who, const std::string& text);

    // Looks at what had to wait for its slack. Call it often, and once when all should be over.
    void look(Millis now);
    // Whatever is open now is lost.
    void finish(Millis now);

    const std::vector<Violation>& violations() const { return violations_; }
    std::uint64_t asked() const { return asked_; }
    std::uint64_t open() const { return open_; }
    std::uint64_t count(Answer answer) const { return counts_[static_cast<std::size_t>(answer)]; }
    // Events in order; of one request and those that touched it if id is given.
    std::string history(const std::string& id = "", std::size_t most = 120) const;

private:
    struct Request {
        Idempotency idempotency = Idempotency::non_idempotent;
        std::string sidecar;
        Millis asked = 0, until = 0, ended = -1;  // ended: its caller has its answer or has gone
        bool answered = false, excused = false;
        bool orphaned =
            false;  // its sidecar's life has ended: what still comes was on the wire, nobody sends it
        std::uint32_t attempts = 0, done = 0, away = 0;
        std::map<Attempt, Millis> out;
        Millis first_done = 0;
    };
    struct Event {
        Millis at;
        std::string who, id, text;
    };
    struct Waiting {  // two attempts out together: a broken rule only if they still are after the slack
        Millis due;
        std::string id;
        Attempt earlier;
        Millis since;
    };

    void wrong(Millis now, const std::string& id, const std::string& what);
    void event(Millis now, const std::string& who, const std::string& id, std::string text);
    void close(Request& request, Millis now);

    std::map<std::string, Request> requests_;
    std::set<std::string> frozen_;
    std::map<Attempt, std::string> at_;                              // attempts that are out, and of whom
    std::map<std::pair<std::string, std::string>, Millis> drained_;  // sidecar and server: since when
    std::deque<Waiting> waiting_;
    std::deque<Event> events_;
    std::vector<Violation> violations_;
    std::uint64_t asked_ = 0, open_ = 0;
    std::uint64_t counts_[4] = {0, 0, 0, 0};
};

}  // namespace elmbay::process_testbed
