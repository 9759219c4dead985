#include "process_testbed/request_history.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace elmbay::process_testbed {

namespace {

// Names in the history, in the order of Outcome.
constexpr std::array<const char*, RequestHistory::kOutcomeCount> kOutcomeNames{"served", "refused", "failed",
                                                                               "cut"};

const char* name_of(RequestHistory::Outcome outcome) {
    return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace

void RequestHistory::record(Millis now, const std::string& process, const std::string& id, std::string text) {
    events_.push_back({now, process, id, std::move(text)});
    if (events_.size() > kMaxEvents) events_.pop_front();
}

void RequestHistory::report_violation(Millis now, const std::string& id, const std::string& description) {
    violations_.push_back({now, description, id});
    record(now, "ledger", id, "BROKEN: " + description);
}

void RequestHistory::record_note(Millis now, const std::string& process, const std::string& text) {
    record(now, process, "", text);
}

void RequestHistory::on_request(Millis now, const std::string& id, Idempotency idempotency,
                                const std::string& sidecar, Millis deadline) {
    Request& request = requests_[id];
    request.idempotency = idempotency;
    request.sidecar = sidecar;
    request.is_outcome_optional = frozen_.contains(sidecar);
    ++total_requests_;
    ++open_requests_;
    record(now, sidecar, id, fmt::format("request sent, deadline {:.0f} ms", deadline));
}

void RequestHistory::end_request(Request& request, Millis now) {
    if (request.has_ended()) return;
    request.ended_at = now;
    --open_requests_;
}

void RequestHistory::on_response(Millis now, const std::string& id, Outcome outcome, bool is_body_valid) {
    Request& request = requests_[id];
    record(now, request.sidecar, id, std::string("response: ") + name_of(outcome));
    if (request.has_response) report_violation(now, id, "one final outcome: the client got two responses");
    request.has_response = true;
    end_request(request, now);
    ++counts_[static_cast<std::size_t>(outcome)];
    const bool was_processed = request.times_processed > 0;
    if (outcome == Outcome::served && !is_body_valid) {
        report_violation(now, id, "one final outcome: no server made the response body for this request");
    }
    if (outcome == Outcome::served && !was_processed) {
        report_violation(now, id, "one final outcome: served, but no server processed the request");
    }
    // A rejection promises that a retry is harmless. This checks the promise.
    const bool retry_is_harmful = request.idempotency == Idempotency::non_idempotent && was_processed;
    if (outcome == Outcome::rejected && retry_is_harmful) {
        report_violation(now, id, "nothing takes effect twice: rejected, although a server processed it");
    }
}

void RequestHistory::on_client_timeout(Millis now, const std::string& id) {
    Request& request = requests_[id];
    if (request.has_ended()) return;
    record(now, request.sidecar, id, "client timed out without a response");
    if (!request.is_outcome_optional)
        report_violation(now, id, "one final outcome: no response by the deadline");
    end_request(request, now);
}

void RequestHistory::on_client_disconnected(Millis now, const std::string& id) {
    Request& request = requests_[id];
    if (request.has_ended()) return;
    record(now, request.sidecar, id, "client disconnected");
    end_request(request, now);
}

void RequestHistory::on_closed_without_response(Millis now, const std::string& id) {
    Request& request = requests_[id];
    record(now, request.sidecar, id, "connection closed without a response");
    // A client may retry a request that was never forwarded. If the request was forwarded, its outcome is
    // lost.
    if (!request.is_outcome_optional && request.attempts > 0) {
        report_violation(now, id,
                         "one final outcome: request forwarded, then connection closed without a response");
    }
    end_request(request, now);
}

void RequestHistory::on_attempt_sent(Millis now, const std::string& id, const Attempt& attempt,
                                     Millis first_byte) {
    const auto found = requests_.find(id);
    record(now, attempt.sidecar, id,
           fmt::format("attempt sent to {}, connection {}", attempt.server, attempt.connection));
    if (found == requests_.end()) {
        return report_violation(now, id, "a request that no client sent was forwarded to " + attempt.server);
    }
    Request& request = found->second;
    if (request.has_sidecar_ended) return;
    if (++request.attempts > kMaxAttempts) {
        report_violation(
            now, id,
            fmt::format("nothing takes effect twice: attempt {} exceeds the maximum", request.attempts));
    }
    check_sent_after_end(now, id, request, first_byte);
    check_sent_to_draining(now, id, attempt, first_byte);
    for (const auto& [earlier, since] : request.in_flight) {
        overlaps_.push_back({now + kTolerance, id, earlier, since});
    }
    request.in_flight[attempt] = now;
    request_in_flight_[attempt] = id;
}

void RequestHistory::check_sent_after_end(Millis now, const std::string& id, const Request& request,
                                          Millis first_byte) {
    if (!request.has_ended() || first_byte <= request.ended_at + kTolerance) return;
    report_violation(now, id,
                     fmt::format("attempt sent {:.0f} ms after the client got its response or disconnected",
                                 first_byte - request.ended_at));
}

void RequestHistory::check_sent_to_draining(Millis now, const std::string& id, const Attempt& attempt,
                                            Millis first_byte) {
    const auto draining = draining_since_.find({attempt.sidecar, attempt.server});
    if (draining == draining_since_.end()) return;
    const Millis since = draining->second;
    if (first_byte <= since + kDrainGrace + kTolerance) return;
    report_violation(
        now, id,
        fmt::format("drains kept: attempt sent to {} {:.0f} ms after its drain was delivered to {}",
                    attempt.server, first_byte - since, attempt.sidecar));
}

void RequestHistory::on_attempt_ended(Millis now, const Attempt& attempt) {
    const auto found = request_in_flight_.find(attempt);
    if (found == request_in_flight_.end()) return;
    const std::string& id = found->second;
    record(now, attempt.sidecar, id,
           fmt::format("attempt ended at {}, connection {}", attempt.server, attempt.connection));
    requests_[id].in_flight.erase(attempt);
    request_in_flight_.erase(found);
}

void RequestHistory::on_processed(Millis now, const std::string& id, const std::string& server) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    Request& request = found->second;
    record(now, server, id, "done");
    ++request.times_processed;
    if (request.times_processed > 1 && request.idempotency == Idempotency::non_idempotent) {
        report_violation(
            now, id,
            fmt::format("nothing takes effect twice: processed {} times, but the request class allows one",
                        request.times_processed));
    }
}

void RequestHistory::on_rejected_by_server(Millis now, const std::string& id, const std::string& server) {
    record(now, server, id, "request rejected without processing");
}

void RequestHistory::on_endpoint_listed(Millis now, const std::string& sidecar, const std::string& server,
                                        bool may_send) {
    record(now, sidecar, "",
           fmt::format("endpoint list delivered: {} is {}", server, may_send ? "active" : "leaving or left"));
    if (may_send) {
        draining_since_.erase({sidecar, server});
    } else {
        draining_since_.try_emplace({sidecar, server}, now);
    }
}

void RequestHistory::on_process_ended(Millis now, const std::string& sidecar) {
    record(now, sidecar, "", "process ended");
    for (auto& [id, request] : requests_) {
        if (request.sidecar != sidecar) continue;
        request.is_outcome_optional = request.is_outcome_optional || !request.has_ended();
        request.has_sidecar_ended = true;
        request.in_flight.clear();
    }
    std::erase_if(request_in_flight_, [&](const auto& entry) { return entry.first.sidecar == sidecar; });
    std::erase_if(overlaps_, [&](const Overlap& overlap) { return overlap.earlier.sidecar == sidecar; });
    std::erase_if(draining_since_, [&](const auto& entry) { return entry.first.first == sidecar; });
}

void RequestHistory::on_process_frozen(Millis now, const std::string& sidecar) {
    record(now, sidecar, "", "frozen");
    frozen_.insert(sidecar);
    for (auto& [id, request] : requests_) {
        if (request.sidecar == sidecar && !request.has_ended()) request.is_outcome_optional = true;
    }
}

void RequestHistory::on_process_thawed(Millis now, const std::string& sidecar) {
    record(now, sidecar, "", "thawed");
    frozen_.erase(sidecar);
}

void RequestHistory::check_due_overlaps(Millis now) {
    while (!overlaps_.empty() && overlaps_.front().due <= now) {
        const Overlap overlap = overlaps_.front();
        overlaps_.pop_front();
        const Request& request = requests_[overlap.request_id];
        const auto earlier = request.in_flight.find(overlap.earlier);
        const bool still_overlaps =
            earlier != request.in_flight.end() && earlier->second == overlap.earlier_since;
        if (still_overlaps) {
            report_violation(now, overlap.request_id,
                             "nothing takes effect twice: two attempts in flight at once, the earlier at " +
                                 overlap.earlier.server);
        }
    }
}

void RequestHistory::check_all_requests_ended(Millis now) {
    check_due_overlaps(now + kTolerance);
    for (const auto& [id, request] : requests_) {
        const bool is_lost = !request.has_ended() && !request.is_outcome_optional;
        if (is_lost) report_violation(now, id, "one final outcome: the request has no outcome");
    }
}

// Returns all events if the id is empty, otherwise the events of that request and the notes of the processes
// involved.
std::vector<const RequestHistory::Event*> RequestHistory::events_of(const std::string& id) const {
    std::set<std::string> processes;
    for (const Event& event : events_) {
        if (event.request_id == id) processes.insert(event.process);
    }
    std::vector<const Event*> chosen;
    for (const Event& event : events_) {
        const bool is_note_of_involved_process =
            event.request_id.empty() && processes.contains(event.process);
        if (id.empty() || event.request_id == id || is_note_of_involved_process) chosen.push_back(&event);
    }
    return chosen;
}

std::string RequestHistory::history(const std::string& id, std::size_t max_events) const {
    const std::vector<const Event*> events = events_of(id);
    const std::size_t omitted = events.size() > max_events ? events.size() - max_events : 0;
    std::string text = omitted > 0 ? fmt::format("  ({} earlier events)\n", omitted) : "";
    for (std::size_t i = omitted; i < events.size(); ++i) {
        const Event& event = *events[i];
        text += fmt::format("  {:10.1f}  {:<8} {:<20} {}\n", event.at, event.process, event.request_id,
                            event.text);
    }
    return text;
}

}  // namespace elmbay::process_testbed
