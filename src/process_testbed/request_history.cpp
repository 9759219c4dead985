#include "process_testbed/request_history.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace elmbay::process_testbed {

namespace {

const char* name_of(RequestHistory::Answer answer) {
    constexpr const char* kNames[] = {"served", "refused", "failed", "cut"};
    return kNames[static_cast<std::size_t>(answer)];
}

}  // namespace

void RequestHistory::event(Millis now, const std::string& who, const std::string& id, std::string text) {
    events_.push_back({now, who, id, std::move(text)});
    if (events_.size() > kMaxEvents) events_.pop_front();
}

void RequestHistory::wrong(Millis now, const std::string& id, const std::string& what) {
    violations_.push_back({now, what, id});
    event(now, "ledger", id, "BROKEN: " + what);
}

void RequestHistory::note(Millis now, const std::string& who, const std::string& text) {
    event(now, who, "", text);
}

void RequestHistory::asked(Millis now, const std::string& id, Idempotency idempotency,
                           const std::string& sidecar, Millis patience) {
    Request& r = requests_[id];
    r.idempotency = idempotency, r.sidecar = sidecar, r.asked = now, r.until = now + patience;
    r.excused = frozen_.contains(sidecar);
    ++asked_, ++open_;
    event(now, sidecar, id, fmt::format("asked, for {:.0f} ms", patience));
}

void RequestHistory::close(Request& request, Millis now) {
    if (request.ended >= 0) return;
    request.ended = now;
    --open_;
}

void RequestHistory::answered(Millis now, const std::string& id, Answer answer, bool genuine) {
    Request& r = requests_[id];
    event(now, r.sidecar, id, std::string("answered: ") + name_of(answer));
    if (r.answered) wrong(now, id, "one final outcome: it was answered twice");
    r.answered = true;
    close(r, now);
    ++counts_[static_cast<std::size_t>(answer)];
    if (answer == Answer::served && !genuine)
        wrong(now, id, "one final outcome: it was served what no server made for it");
    if (answer == Answer::served && r.done == 0)
        wrong(now, id, "one final outcome: served, and no server did it");
    // "Trying again is harmless" must be true.
    if (answer == Answer::refused && r.idempotency == Idempotency::non_idempotent && r.done > 0)
        wrong(now, id, "nothing twice: refused, though a server has done it");
}

void RequestHistory::silence(Millis now, const std::string& id) {
    Request& r = requests_[id];
    if (r.ended >= 0) return;
    event(now, r.sidecar, id, "its caller has heard nothing in its time");
    if (!r.excused) wrong(now, id, "one final outcome: none came in its time");
    close(r, now);
}

void RequestHistory::left(Millis now, const std::string& id) {
    Request& r = requests_[id];
    if (r.ended >= 0) return;
    event(now, r.sidecar, id, "its caller has gone");
    close(r, now);
}

void RequestHistory::closed(Millis now, const std::string& id) {
    Request& r = requests_[id];
    event(now, r.sidecar, id, "its connection was closed with no answer");
    // A caller whose request was never sent on may ask again; else its outcome is lost.
    if (!r.excused && r.attempts > 0) wrong(now, id, "one final outcome: sent on, and closed with no answer");
    close(r, now);
}

void RequestHistory::sent(Millis now, const std::string& id, const Attempt& attempt, Millis first_byte) {
    const auto at = requests_.find(id);
    event(now, attempt.sidecar, id,
          fmt::format("sent to {}, connection {}", attempt.server, attempt.connection));
    if (at == requests_.end())
        return wrong(now, id, "a request that no caller sent went to " + attempt.server);
    Request& r = at->second;
    if (r.orphaned) return;
    if (++r.attempts > kMaxAttempts) wrong(now, id, fmt::format("nothing twice: attempt {}", r.attempts));
    if (r.ended >= 0 && first_byte > r.ended + kSlack)
        wrong(
            now, id,
            fmt::format("sent {:.0f} ms after its caller had its answer or was gone", first_byte - r.ended));
    const auto drained = drained_.find({attempt.sidecar, attempt.server});
    if (drained != drained_.end() && first_byte > drained->second + kDrainGrace + kSlack)
        wrong(now, id,
              fmt::format("drains kept: sent to {} {:.0f} ms after {} was told", attempt.server,
                          first_byte - drained->second, attempt.sidecar));
    for (const auto& [other, since] : r.out) waiting_.push_back({now + kSlack, id, other, since});
    r.out[attempt] = now;
    at_[attempt] = id;
}

void RequestHistory::over(Millis now, const Attempt& attempt) {
    const auto at = at_.find(attempt);
    if (at == at_.end()) return;
    event(now, attempt.sidecar, at->second,
          fmt::format("over at {}, connection {}", attempt.server, attempt.connection));
    requests_[at->second].out.erase(attempt);
    at_.erase(at);
}

void RequestHistory::done(Millis now, const std::string& id, const std::string& server) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    Request& r = at->second;
    event(now, server, id, "done");
    if (++r.done == 1) {
        r.first_done = now;
    } else if (r.idempotency == Idempotency::non_idempotent) {
        wrong(now, id, fmt::format("nothing twice: done {} times, and its class allows one", r.done));
    }
}

void RequestHistory::turned_away(Millis now, const std::string& id, const std::string& server) {
    event(now, server, id, "turned away unseen");
    const auto at = requests_.find(id);
    if (at != requests_.end()) ++at->second.away;
}

void RequestHistory::no_such_id(Millis now, const std::string& id, const std::string& server) {
    wrong(now, id, server + " got a request that no caller sent");
}

void RequestHistory::told(Millis now, const std::string& sidecar, const std::string& server, bool may_send) {
    event(now, sidecar, "", fmt::format("told: {} {}", server, may_send ? "active" : "leaving or left"));
    if (may_send)
        drained_.erase({sidecar, server});
    else
        drained_.try_emplace({sidecar, server}, now);
}

void RequestHistory::died(Millis now, const std::string& sidecar) {
    event(now, sidecar, "", "its process is gone");
    for (auto& [id, r] : requests_) {
        if (r.sidecar != sidecar) continue;
        r.excused = r.excused || r.ended < 0;
        r.orphaned = true;
        r.out.clear();
    }
    std::erase_if(at_, [&](const auto& entry) { return entry.first.sidecar == sidecar; });
    std::erase_if(waiting_, [&](const Waiting& w) { return w.earlier.sidecar == sidecar; });
    std::erase_if(drained_, [&](const auto& entry) { return entry.first.first == sidecar; });
}

void RequestHistory::froze(Millis now, const std::string& sidecar) {
    event(now, sidecar, "", "frozen");
    frozen_.insert(sidecar);
    for (auto& [id, r] : requests_)
        if (r.sidecar == sidecar && r.ended < 0) r.excused = true;
}

void RequestHistory::thawed(Millis now, const std::string& sidecar) {
    event(now, sidecar, "", "thawed");
    frozen_.erase(sidecar);
}

void RequestHistory::look(Millis now) {
    while (!waiting_.empty() && waiting_.front().due <= now) {
        const Waiting w = waiting_.front();
        waiting_.pop_front();
        const Request& r = requests_[w.id];
        const auto at = r.out.find(w.earlier);
        if (at != r.out.end() && at->second == w.since)
            wrong(now, w.id, "nothing twice: two attempts out together, the earlier at " + w.earlier.server);
    }
}

void RequestHistory::finish(Millis now) {
    look(now + kSlack);
    for (auto& [id, r] : requests_)
        if (r.ended < 0 && !r.excused) wrong(now, id, "one final outcome: it never came");
}

std::string RequestHistory::history(const std::string& id, std::size_t most) const {
    // Who touched it: events of that request, and all notes of those processes.
    std::set<std::string> who;
    for (const Event& e : events_)
        if (e.id == id) who.insert(e.who);
    std::vector<const Event*> chosen;
    for (const Event& e : events_)
        if (id.empty() || e.id == id || (e.id.empty() && who.contains(e.who))) chosen.push_back(&e);
    const std::size_t from = chosen.size() > most ? chosen.size() - most : 0;
    std::string text = from > 0 ? fmt::format("  ({} earlier events)\n", from) : "";
    for (std::size_t i = from; i < chosen.size(); ++i)
        text += fmt::format("  {:10.1f}  {:<8} {:<20} {}\n", chosen[i]->at, chosen[i]->who, chosen[i]->id,
                            chosen[i]->text);
    return text;
}

}  // namespace elmbay::process_testbed
