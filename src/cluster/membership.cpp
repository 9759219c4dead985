#include "cluster/membership.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::cluster {

namespace {

constexpr Millis kTellItselfAgain = 300;  // between two words to one member on what is said of it
// Between two answers to claims that name no incarnation, so that copies of one claim are answered once: a
// refutation reaches a claimant by way of others in less.
constexpr Millis kRefuteUnheardAgain = 1000;
constexpr double kManyFail = 0.2;      // of the last probes: then they are made quickly
constexpr std::uint32_t kLately = 10;  // probes, about

bool there(MemberState s) { return s <= MemberState::suspect; }
bool ended(MemberState s) { return s >= MemberState::gone; }
// Whether others need to hear that it is held for that now: of one that is there for the first time, as it
// should be, they need not. A later incarnation of one that was known answers what somebody has said.
bool tells_anything(const Membership::Member& before, const Incarnation& incarnation, MemberState after) {
    return before.state >= MemberState::suspect || after >= MemberState::suspect ||
           (before.incarnation.counter > 0 && incarnation > before.incarnation);
}

std::uint32_t mixed(std::uint64_t v) {
    v = (v ^ (v >> 33)) * 0xff51afd7ed558ccdULL;
    v = (v ^ (v >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return static_cast<std::uint32_t>(v ^ (v >> 33));
}

}  // namespace

Membership::Membership(const Setup& setup, Millis now, Millis unix)
    : setup_(setup), random_(setup.seed), began_(now), unix_(unix), siblings_(setup.siblings) {
    setup_.count = std::max<std::uint32_t>(setup.count, setup.self + 1);
    entries_.resize(setup_.count);
    count_ = {setup_.count, setup_.count, 0, 0};
    for (MemberId n = 0; n < setup_.count; ++n) {
        entries_[n].member.address_index = n;
        entries_[n].member.since = now;
    }
    Member& me = entries_[setup_.self].member;
    const double tenths = std::clamp((unix - kEpoch) / 100, 1.0, 4e9);
    me.incarnation = {static_cast<std::uint32_t>(tenths),
                      static_cast<std::uint16_t>(1 + random_.below(65535))};
    me.state = setup_.count > 1 ? MemberState::joining : MemberState::alive;
    // Probes of members that started together spread over a period.
    next_probe_ = now + setup_.timing.probe_period * random_.unit() * 0.5;
    next_gossip_ = now + setup_.timing.gossip_interval * random_.unit();
    next_pull_ = now + setup_.timing.first_sync * (0.5 + random_.unit());
    due_ = next();
}

// ---- what it believes -------------------------------------------------------------------------------------

std::uint32_t Membership::hash_of(MemberId number) const {
    const Member& m = entries_[number].member;
    if (there(m.state)) return 0;  // with which incarnation changes nothing for anybody
    const std::uint64_t who = (std::uint64_t{number} << 32) | m.incarnation.counter;
    return mixed(who * 31 + m.incarnation.nonce * 7919ULL + static_cast<std::uint64_t>(m.state));
}

void Membership::count_in(MemberState state, int sign) {
    const auto by = static_cast<std::uint32_t>(sign);
    if (there(state))
        count_.present += by;
    else if (ended(state))
        count_.ended += by;
    else
        count_.silent += by;
}

View Membership::view(Millis now) const {
    if (setup_.count == 1 || count_.ended + 1 >= setup_.count) return View::whole;
    const Timing& t = setup_.timing;
    if (heard_any_ < 0) return now - began_ < t.discovery ? View::unknown : View::alone;
    if (now - heard_any_ > t.isolated_after) return View::alone;
    return count_.silent > 0 ? View::part : View::whole;
}

bool Membership::present(MemberId number) const {
    return number != setup_.self && there(entries_[number].member.state);
}

std::vector<MemberId> Membership::some_present(std::uint32_t most, MemberId but,
                                               std::optional<MemberId> first) {
    std::vector<MemberId> some;
    if (first && present(*first) && *first != but) some.push_back(*first);
    // By chance at first, which is cheap while most are there; then whoever there is.
    for (std::uint32_t tries = 0; tries < 4 * most && some.size() < most; ++tries) {
        const auto n = static_cast<MemberId>(random_.below(entries_.size()));
        if (present(n) && n != but && std::find(some.begin(), some.end(), n) == some.end()) some.push_back(n);
    }
    const auto from = static_cast<MemberId>(random_.below(entries_.size()));
    for (MemberId i = 0; i < entries_.size() && some.size() < most; ++i) {
        const MemberId n = (from + i) % static_cast<MemberId>(entries_.size());
        if (present(n) && n != but && std::find(some.begin(), some.end(), n) == some.end()) some.push_back(n);
    }
    return some;
}

std::uint64_t Membership::fingerprint(Millis now) const {
    std::uint64_t sum = 0xcbf29ce484222325ULL;
    const auto add = [&](std::uint64_t v) { sum = (sum ^ v) * 0x100000001b3ULL, sum ^= sum >> 29; };
    const auto span = [&](Millis at) {
        add(static_cast<std::uint64_t>(std::llround(std::clamp(at - now, -1e7, 1e7))));
    };
    for (const Entry& e : entries_) {
        add((std::uint64_t{e.member.incarnation.counter} << 16) | e.member.incarnation.nonce);
        add(static_cast<std::uint64_t>(e.member.state) * 256 + e.confirmations * 8 + e.probing_last * 2);
        add(e.tellings);
        for (const Millis at : {e.member.heard, e.suspected, e.back, e.told}) span(at);
    }
    for (const Probe& p : probes_) {
        add((std::uint64_t{p.target} << 8) | (p.last * 4 + p.courtesy * 2 + p.asked_others));
        span(p.ends), span(p.again);
    }
    for (const Relay& r : relays_) add((std::uint64_t{r.target} << 32) | r.asker), span(r.ends);
    span(next_probe_), span(heard_any_), span(due_);
    add(health_ * 4 + pull_.on * 2 + yielded_), add(hot_.size());
    return sum;
}

// ---- incarnations -----------------------------------------------------------------------------------------

std::uint32_t Membership::most_count() const {
    const double tenths = (unix_ - kEpoch) / 100 + (due_ - began_) / 100;
    return static_cast<std::uint32_t>(std::clamp(tenths + kMaxClockAhead, 1.0, 4.0e9));
}

bool Membership::is_sound(const Update& u) const {
    return u.number < entries_.size() && u.incarnation.counter > 0 && u.incarnation.counter <= most_count() &&
           u.state != MemberState::expected;
}

// Whether it was said by one that has missed what this member knows: of an earlier incarnation, or of none.
bool Membership::is_outdated(const Update& u) const {
    return u.number < entries_.size() && u.incarnation < entries_[u.number].member.incarnation &&
           u.state >= MemberState::suspect && u.state <= MemberState::gone;
}

void Membership::correct_outdated(Millis now, const Message& m) {
    std::vector<Update> known;
    for (const Update& u : m.updates) {
        if (!is_outdated(u)) continue;
        if (u.number == setup_.self) {
            if (u.incarnation.counter == 0) refute_unheard(now);
        } else if (there(entries_[u.number].member.state)) {
            known.push_back(update_on(u.number));
        }
    }
    if (known.empty() || !corrections_.take(now)) return;
    Message answer = message(Message::Kind::gossip);
    answer.updates = std::move(known);
    send(now, m.from, std::move(answer));
}

void Membership::refute_unheard(Millis now) {
    if (leaving_ || now - refuted_unheard_ < kRefuteUnheardAgain) return;
    refuted_unheard_ = now;
    renew(now, 0);
    less_healthy();
}

Update Membership::update_on(MemberId number) const {
    const Entry& e = entries_[number];
    Update u{number, e.member.incarnation, e.member.state, 0};
    if (u.state == MemberState::suspect && e.confirmations > 0)
        u.detail = e.suspected_by[e.confirmations - 1];
    if (u.state == MemberState::joining || u.state == MemberState::alive) u.detail = e.member.uptime;
    return u;
}

void Membership::news(MemberId number) {
    Entry& e = entries_[number];
    if (e.tellings == UINT32_MAX) hot_.push_back(number);
    e.tellings = 0;
}

void Membership::set(Millis now, MemberId number, const Incarnation& incarnation, MemberState state,
                     const std::string& why) {
    Entry& e = entries_[number];
    Member& m = e.member;
    const MemberState before = m.state;
    digest_ ^= hash_of(number);
    count_in(before, -1);
    m.incarnation = incarnation;
    m.state = state;
    count_in(state, 1);
    digest_ ^= hash_of(number);
    if (state != MemberState::suspect) {
        e.confirmations = 0;
        e.probing_last = false;
        std::erase(suspects_, number);
    }
    quiet_since_ = now;
    if ((before == MemberState::failed || before == MemberState::gone) && there(state)) e.back = now;
    if (state == before) return;
    m.since = now;
    counters_.failures += state == MemberState::failed;
    if (changes_.size() >= kMaxChanges) changes_.erase(changes_.begin());
    changes_.push_back({now, number, before, state, why});
}

void Membership::merge(Millis now, const Update& u, MemberId from) {
    if (!is_sound(u)) return;
    if (u.number == setup_.self) return on_self(now, u);
    Entry& e = entries_[u.number];
    const bool later = u.incarnation > e.member.incarnation;
    if (!later && u.incarnation != e.member.incarnation) return;
    // Who is told what it was about to tell need not tell it so often (Demers 1987, feedback).
    // But not by the member itself, which tells it to those who need to tell others.
    const bool known = !later && u.state == e.member.state && from != u.number;
    if (known && e.tellings != UINT32_MAX) ++e.tellings;
    const bool worse = !later && u.state > e.member.state;
    const bool one_more = !later && u.state == MemberState::suspect && e.member.state == MemberState::suspect;
    if (!later && !worse && !one_more) return;
    // We have just heard it ourselves, or it was the sender that was silent and is back: of whom that one
    // heard nothing meanwhile it was cut off as well. It is told what is said of it, and may say otherwise.
    const bool fresh = e.member.heard >= 0 && now - e.member.heard < kRecentlyHeard;
    const bool other_side =
        entries_[from].member.state >= MemberState::failed || now - entries_[from].back < kRejoinPeriod;
    if (!later && worse && u.state >= MemberState::suspect && u.state != MemberState::left &&
        (fresh || other_side))
        return tell_itself(now, u.number, e.member.address_index);
    if (u.state == MemberState::suspect) {
        if (later) set(now, u.number, u.incarnation, MemberState::alive, "a later incarnation");
        return suspect(now, u.number, u.detail);
    }
    const bool is_news = tells_anything(e.member, u.incarnation, u.state);
    e.member.uptime = u.state <= MemberState::alive ? u.detail : e.member.uptime;
    set(now, u.number, u.incarnation, u.state, "said by " + std::to_string(from));
    if (is_news) news(u.number);
}

// Somebody says something of us that is not so: a later incarnation says what is. Of another life under our
// name it can't be known at first whether that still runs; if it answers, it does.
void Membership::on_self(Millis now, const Update& u) {
    const Incarnation mine = entries_[setup_.self].member.incarnation;
    if (leaving_ || u.incarnation < mine || (u.incarnation == mine && u.state <= MemberState::alive)) return;
    if (u.incarnation.nonce != mine.nonce && u.incarnation.nonce == rival_ && u.state <= MemberState::alive &&
        u.incarnation.counter > answered_rival_) {
        const auto uptime = static_cast<std::uint32_t>((now - began_) / 1000);
        const bool older = uptime != u.detail ? uptime > u.detail : mine.nonce < u.incarnation.nonce;
        if (older) {
            yielded_ = true;
            changes_.push_back(
                {now, setup_.self, MemberState::alive, MemberState::left, "a younger process has our name"});
            return;
        }
    }
    renew(now, u.incarnation.counter);
    if (u.incarnation.nonce != mine.nonce) {
        rival_ = u.incarnation.nonce;
        answered_rival_ = entries_[setup_.self].member.incarnation.counter;
    } else {
        less_healthy();  // Lifeguard: who is suspected may be slow
    }
}

void Membership::renew(Millis now, std::uint32_t above) {
    Member& me = entries_[setup_.self].member;
    ++counters_.refuted;
    set(now, setup_.self, {std::max(me.incarnation.counter, above) + 1, me.incarnation.nonce}, me.state, "");
    news(setup_.self);
    next_gossip_ = std::min(next_gossip_, now);
}

// At the place where it was heard: of two processes under one name the other would get it at the member's.
void Membership::tell_itself(Millis now, MemberId number, std::uint32_t place) {
    Entry& e = entries_[number];
    if (now - e.told < kTellItselfAgain || !tells_.take(now)) return;
    e.told = now;
    // Not what we hold, but the worst that is said: whoever says it is answered by a later incarnation.
    Message m = message(Message::Kind::gossip);
    m.updates.push_back({number, e.member.incarnation, MemberState::suspect, setup_.self});
    send(now, number, std::move(m));
    if (!yielded_) out_.back().address_index = place;
}

// ---- messages ---------------------------------------------------------------------------------------------

Message Membership::message(Message::Kind kind, std::uint32_t seq, MemberId subject) {
    Message m;
    m.kind = kind;
    m.seq = seq;
    m.subject = subject;
    return m;
}

// News that were told least often go first.
void Membership::fill(Millis now, Message& m, MemberId to) {
    const Member& me = entries_[setup_.self].member;
    m.from = setup_.self;
    m.incarnation = me.incarnation;
    m.state = me.state;
    m.uptime = static_cast<std::uint32_t>((now - began_) / 1000);
    m.digest = digest_;
    m.view = view(now);
    m.present_count = count_.present;
    entries_[setup_.self].member.uptime = m.uptime;
    if (m.kind == Message::Kind::table_page) return;
    const auto enough = static_cast<std::uint32_t>(
        std::ceil(kRetransmitFactor * std::ceil(std::log10(static_cast<double>(entries_.size()) + 1))));
    // Who is to hear that it is held for something else hears that before all.
    const Entry& other = entries_[to];
    if (other.member.state >= MemberState::suspect) m.updates.push_back(update_on(to));
    if (hot_.size() > Message::kMaxUpdates)
        std::partial_sort(
            hot_.begin(), hot_.begin() + Message::kMaxUpdates, hot_.end(),
            [&](MemberId a, MemberId b) { return entries_[a].tellings < entries_[b].tellings; });
    // Suspicions are not spread by one who hears nobody: it is the one that is cut off.
    const bool alone = m.view == View::alone;
    for (const MemberId n : hot_) {
        if (m.updates.size() >= Message::kMaxUpdates) break;
        if (n == to && !m.updates.empty() && m.updates.front().number == to) continue;
        if (alone && n != setup_.self) continue;
        m.updates.push_back(update_on(n));
        // Told to the member itself it is not told to anybody else, unless there is nobody else.
        if (n != to || count_.present <= 2) ++entries_[n].tellings;
    }
    std::erase_if(hot_, [&](MemberId n) {
        if (entries_[n].tellings < enough) return false;
        entries_[n].tellings = UINT32_MAX;
        return true;
    });
}

void Membership::send(Millis now, MemberId to, Message m) {
    if (yielded_) return;
    fill(now, m, to);
    std::string bytes = encode(m);
    ++counters_.sent;
    counters_.bytes_sent += bytes.size();
    out_.push_back({to, entries_[to].member.address_index, std::move(bytes)});
}

void Membership::heard(Millis now, std::optional<std::uint32_t> place, std::string_view bytes) {
    look_at_clock(now);
    take(now, place, bytes);
    due_ = std::max(now, next());
}

void Membership::take(Millis now, std::optional<std::uint32_t> place, std::string_view bytes) {
    if (!place || *place >= entries_.size()) {
        ++counters_.unknown_senders;
        return;
    }
    const auto m = decode(bytes);
    // What it says of itself may be as far beyond again: it may have had to answer what was as far as that.
    if (!m || m->from >= entries_.size() || m->incarnation.counter > most_count() + kMaxClockAhead ||
        m->state == MemberState::expected) {
        ++counters_.malformed;
        return;
    }
    ++counters_.received;
    if (yielded_) return;
    if (m->from == setup_.self) {  // another process of our name, or what we said ourselves, come back
        if (m->incarnation.nonce != entries_[setup_.self].member.incarnation.nonce)
            on_self(now, {m->from, m->incarnation, m->state, m->uptime});
        return;
    }
    Entry& e = entries_[m->from];
    if (m->incarnation < e.member.incarnation) {
        // Late from an earlier life, or from one whose clock was set back: what we hold is all it needs to
        // hear.
        ++counters_.outdated;
        tell_itself(now, m->from, *place);
        return;
    }
    const bool later = m->incarnation > e.member.incarnation;
    e.member.address_index = *place;
    e.member.view = m->view;
    e.member.present_count = m->present_count;
    e.member.uptime = m->uptime;
    if (later) {
        const bool is_news = tells_anything(e.member, m->incarnation, m->state);
        set(now, m->from, m->incarnation, m->state, "heard itself");
        if (is_news) news(m->from);
    } else if (m->state > e.member.state && m->state == MemberState::left) {
        set(now, m->from, m->incarnation, m->state, "said so itself");
        news(m->from);
    } else if (e.member.state < m->state && m->state <= MemberState::alive) {
        set(now, m->from, m->incarnation, m->state, "heard itself");
    } else if (e.member.state >= MemberState::failed) {
        tell_itself(now, m->from, *place);
    }
    e.member.heard = heard_any_ = now;
    if (e.member.state == MemberState::suspect) not_suspected(now, m->from);
    if (Member& me = entries_[setup_.self].member; me.state == MemberState::joining) {
        set(now, setup_.self, me.incarnation, MemberState::alive, "heard " + std::to_string(m->from));
    }
    for (const Update& u : m->updates) merge(now, u, m->from);
    correct_outdated(now, *m);
    if (m->digest != digest_) differs_ = m->from;
    switch (m->kind) {
        case Message::Kind::ping:
            return on_ping(now, *m);
        case Message::Kind::ping_req:
            return on_ping_req(now, *m);
        case Message::Kind::ack:
            return on_ack(now, *m);
        case Message::Kind::indirect_ack:
            return succeeded(now, m->seq, m->subject, m->from);
        case Message::Kind::nack:
            for (Probe& p : probes_)
                if (p.seq == m->seq && p.target == m->subject) ++p.nacks;
            return;
        case Message::Kind::table_request: {
            // In order of numbers, and only those that are not there: of the rest nothing needs to be known.
            Message page = message(Message::Kind::table_page, m->seq, 0);
            for (MemberId n = m->subject; n < entries_.size(); ++n) {
                if (there(entries_[n].member.state)) continue;
                if (page.updates.size() == Message::kMaxUpdates) {
                    page.subject = n;
                    break;
                }
                page.updates.push_back(update_on(n));
            }
            return send(now, m->from, std::move(page));
        }
        case Message::Kind::table_page:
            return on_page(now, *m);
        case Message::Kind::gossip:
            return;
    }
}

void Membership::on_ping(Millis now, const Message& m) {
    send(now, m.from, message(Message::Kind::ack, m.seq));
}

void Membership::on_ping_req(Millis now, const Message& m) {
    if (m.subject >= entries_.size() || m.subject == setup_.self || relays_.size() >= kMaxRelays) return;
    const std::uint32_t seq = ++last_seq_;
    relays_.push_back({seq, m.seq, m.subject, m.from, now + setup_.timing.direct_timeout,
                       now + setup_.timing.probe_period * (1 + kMaxHealthScore), false});
    send(now, m.subject, message(Message::Kind::ping, seq, m.subject));
}

void Membership::on_ack(Millis now, const Message& m) {
    const auto relay = std::find_if(relays_.begin(), relays_.end(),
                                    [&](const Relay& r) { return r.seq == m.seq && r.target == m.from; });
    if (relay == relays_.end()) return succeeded(now, m.seq, m.from, {});
    const Relay r = *relay;
    relays_.erase(relay);
    send(now, r.asker, message(Message::Kind::indirect_ack, r.asked_seq, r.target));
}

// ---- probes -----------------------------------------------------------------------------------------------

void Membership::probe(Millis now, MemberId target, bool last, bool courtesy) {
    if (probes_.size() >= kMaxProbes) return;
    const Timing& t = setup_.timing;
    Probe p;
    p.seq = ++last_seq_;
    p.began = now;
    p.target = target;
    p.last = last;
    p.courtesy = courtesy;
    p.again = now + t.ping_retry;
    p.ask_others = now + t.direct_timeout * stretch();
    p.ends = now + (last ? t.final_probe : t.probe_period * 0.9) * stretch();
    probes_.push_back(p);
    send(now, target, message(Message::Kind::ping, p.seq, target));
}

// Each in turn, in an order drawn anew for each round: nobody waits longer than two rounds (SWIM 4.3).
void Membership::probe_next(Millis now) {
    const auto next_of = [&](std::vector<MemberId>& round, auto wanted) -> std::optional<MemberId> {
        for (int refilled = 0; refilled < 2; ++refilled) {
            while (!round.empty()) {
                const MemberId n = round.back();
                round.pop_back();
                if (n != setup_.self && wanted(n)) return n;
            }
            for (MemberId n = 0; n < entries_.size(); ++n)
                if (n != setup_.self && wanted(n)) round.push_back(n);
            for (std::size_t i = round.size(); i > 1; --i) std::swap(round[i - 1], round[random_.below(i)]);
        }
        return {};
    };
    const Timing& t = setup_.timing;
    if (const auto target = next_of(round_, [&](MemberId n) { return present(n); }))
        probe(now, *target, false, false);
    // One that is silent may be back, or its side of a split: one of them is asked besides, as a courtesy.
    if (count_.silent > 0 || count_.ended > 0)
        if (const auto silent =
                next_of(silent_round_, [&](MemberId n) { return !there(entries_[n].member.state); }))
            probe(now, *silent, false, true);
    const bool quickly = lately_failed_ > kManyFail * kLately && bursts_left_ > 0 && view(now) != View::alone;
    if (quickly)
        --bursts_left_;
    else
        bursts_left_ += bursts_left_ < kMaxBurstProbes;
    next_probe_ =
        now + (quickly ? t.burst_period : t.probe_period) * stretch() * (0.9 + 0.2 * random_.unit());
}

void Membership::look_at_probes(Millis now) {
    for (std::size_t i = 0; i < probes_.size(); ++i) {
        if (probes_[i].again > 0 && probes_[i].again <= now) {
            probes_[i].again = probes_[i].courtesy ? 0 : now + 2 * setup_.timing.ping_retry;
            send(now, probes_[i].target, message(Message::Kind::ping, probes_[i].seq, probes_[i].target));
        }
        if (!probes_[i].asked_others && !probes_[i].courtesy && probes_[i].ask_others <= now) {
            probes_[i].asked_others = true;
            const auto helpers = some_present(probes_[i].last ? kFinalIndirectProbes : kIndirectProbes,
                                              probes_[i].target, entries_[probes_[i].target].last_helper);
            probes_[i].helpers = static_cast<std::uint32_t>(helpers.size());
            for (const MemberId h : helpers)
                send(now, h, message(Message::Kind::ping_req, probes_[i].seq, probes_[i].target));
            send(now, probes_[i].target, message(Message::Kind::ping, probes_[i].seq, probes_[i].target));
        }
    }
    std::vector<Probe> over;
    std::erase_if(probes_, [&](const Probe& p) {
        if (p.ends > now) return false;
        over.push_back(p);
        return true;
    });
    for (const Probe& p : over) probe_failed(now, p);
    for (std::size_t i = 0; i < relays_.size(); ++i)
        if (!relays_[i].nacked && relays_[i].nack <= now) {
            relays_[i].nacked = true;
            send(now, relays_[i].target, message(Message::Kind::ping, relays_[i].seq, relays_[i].target));
            send(now, relays_[i].asker,
                 message(Message::Kind::nack, relays_[i].asked_seq, relays_[i].target));
        }
    std::erase_if(relays_, [&](const Relay& r) { return r.ends <= now; });
}

void Membership::succeeded(Millis now, std::uint32_t seq, MemberId target,
                           std::optional<MemberId> last_helper) {
    const auto at = std::find_if(probes_.begin(), probes_.end(),
                                 [&](const Probe& p) { return p.seq == seq && p.target == target; });
    if (at == probes_.end()) return;
    probes_.erase(at);
    entries_[target].member.indirect_only = last_helper.has_value();
    if (last_helper) entries_[target].last_helper = last_helper;
    lately_failed_ -= lately_failed_ > 0;
    healthier();
    if (entries_[target].member.state == MemberState::suspect) not_suspected(now, target);
}

void Membership::probe_failed(Millis now, const Probe& p) {
    // Helpers that say nothing at all are a sign of our own slowness (Lifeguard's nacks), but only where
    // nobody else says anything either: of a split they would slow down everybody who has to find out about
    // it.
    if (p.helpers > 0 && p.nacks < p.helpers && heard_any_ < p.began) less_healthy();
    if (p.courtesy) return;
    lately_failed_ = std::min(kLately, lately_failed_ + 2);
    Entry& e = entries_[p.target];
    if (!there(e.member.state)) return;
    // Whom we heard meanwhile is there, though the answer was lost.
    if (e.member.heard >= 0 && now - e.member.heard < kRecentlyHeard) return;
    if (view(now) == View::alone || view(now) == View::unknown) return;  // nobody shares what we see
    if (!p.last) return suspect(now, p.target, setup_.self);
    if (!e.probing_last) return;  // the suspicion was refuted while the probe ran
    const Incarnation incarnation = e.member.incarnation;
    set(now, p.target, incarnation, MemberState::failed, "no answer, by itself or by way of others");
    news(p.target);
}

void Membership::suspect(Millis now, MemberId target, MemberId by) {
    Entry& e = entries_[target];
    if (e.member.state < MemberState::suspect) {
        ++counters_.suspicions;
        const Incarnation incarnation = e.member.incarnation;
        set(now, target, incarnation, MemberState::suspect, "suspected by " + std::to_string(by));
        e.suspected = now;
        suspects_.push_back(target);
    }
    if (e.member.state != MemberState::suspect || e.confirmations >= kConfirmations) return;
    const auto known = e.suspected_by.begin() + e.confirmations;
    if (std::find(e.suspected_by.begin(), known, by) != known) return;
    e.suspected_by[e.confirmations++] = by;
    news(target);
    if (by == setup_.self) tell_itself(now, target, e.member.address_index);
}

// Whoever it was that suspected it: we hear it.
void Membership::not_suspected(Millis now, MemberId target) {
    const Incarnation incarnation = entries_[target].member.incarnation;
    set(now, target, incarnation, MemberState::alive, "answers");
}

// Lifeguard's 4.2: from the most to the least as more say the same, by the logarithm.
Millis Membership::suspect_until(const Entry& e) const {
    const Timing& t = setup_.timing;
    const double others = std::max(0.0, e.confirmations - 1.0);
    const double part = std::log(others + 1) / std::log(static_cast<double>(kConfirmations));
    return e.suspected +
           std::max(t.min_suspicion, t.max_suspicion - (t.max_suspicion - t.min_suspicion) * part);
}

void Membership::look_at_suspects(Millis now) {
    const std::vector<MemberId> suspects = suspects_;
    for (const MemberId n : suspects) {
        Entry& e = entries_[n];
        if (e.probing_last || suspect_until(e) > now) continue;
        if (probes_.size() >= kMaxProbes) return;
        e.probing_last = true;
        probe(now, n, true, false);
    }
    // A last probe that ended with nothing said, as nobody was heard: it is made again.
    for (const MemberId n : suspects_) {
        Entry& e = entries_[n];
        const bool runs = std::any_of(probes_.begin(), probes_.end(),
                                      [&](const Probe& p) { return p.last && p.target == n; });
        if (e.probing_last && !runs) e.probing_last = false, e.suspected = now;
    }
}

void Membership::refused(Millis now, std::uint32_t place) {
    look_at_clock(now);
    for (MemberId n = 0; n < entries_.size(); ++n) {
        Member& m = entries_[n].member;
        if (n == setup_.self || m.address_index != place || m.state >= MemberState::gone) continue;
        // It may have started since: then the datagram that says so is on its way and outranks this.
        set(now, n, {std::max(m.incarnation.counter, 1U), m.incarnation.nonce}, MemberState::gone,
            "its machine says that nobody listens there");
        news(n);
    }
}

// ---- tables -----------------------------------------------------------------------------------------------

// Who has just started knows that it knows little; others wait until there is nothing new to tell.
bool Membership::may_pull(Millis now) const {
    return young(now) || (hot_.empty() && now - quiet_since_ > setup_.timing.gossip_interval * 2);
}

// News that were lost, or came while a split stood: a table is pulled page by page from one whose digest
// differs, once there is nothing new to tell.
void Membership::pull(Millis now) {
    const Timing& t = setup_.timing;
    if (pull_.on && pull_.until <= now) {  // it has died, or is cut off: another one from there on
        pull_.on = false;
        if (const auto other = some_present(1, pull_.from); !other.empty())
            differs_ = other.front(), next_pull_ = now;
    }
    if (!pull_.on && differs_ && now >= next_pull_ && !may_pull(now))
        next_pull_ = now + t.gossip_interval * 2;
    if (!pull_.on && differs_ && now >= next_pull_ && may_pull(now)) {
        pull_ = {true, *differs_, pull_.at, ++last_seq_, now, now + t.page_timeout * stretch()};
        differs_.reset();
        ++counters_.table_requests;
    }
    if (pull_.on && pull_.next <= now) {
        pull_.next = pull_.until;
        send(now, pull_.from, message(Message::Kind::table_request, pull_.seq, pull_.at));
    }
}

void Membership::on_page(Millis now, const Message& m) {
    if (!pull_.on || m.seq != pull_.seq || m.from != pull_.from) return;
    const bool last = m.subject == 0 || m.subject <= pull_.at;  // a page that leads back is no page of ours
    pull_.at = last ? 0 : m.subject;
    if (last) {
        pull_.on = false;
        const Timing& t = setup_.timing;
        next_pull_ = now + (young(now) ? t.first_sync : t.sync_interval) * (0.5 + random_.unit());
        if (m.digest == digest_) differs_.reset();
        return;
    }
    pull_.next = now + setup_.timing.page_interval;
    pull_.until = pull_.next + setup_.timing.page_timeout * stretch();
}

// ---- time -------------------------------------------------------------------------------------------------

Millis Membership::next() const {
    if (yielded_ || leaving_ || setup_.count == 1) return INFINITY;
    Millis at = next_probe_;
    if (!hot_.empty()) at = std::min(at, next_gossip_);
    for (const Probe& p : probes_) {
        if (p.again > 0) at = std::min(at, p.again);
        if (!p.asked_others && !p.courtesy) at = std::min(at, p.ask_others);
        at = std::min(at, p.ends);
    }
    for (const Relay& r : relays_) at = std::min(at, r.nacked ? r.ends : r.nack);
    // With every probe in use the end of one comes first.
    for (const MemberId n : suspects_)
        if (!entries_[n].probing_last && probes_.size() < kMaxProbes)
            at = std::min(at, suspect_until(entries_[n]));
    if (pull_.on)
        at = std::min(at, std::min(pull_.next, pull_.until));
    else if (differs_)
        at = std::min(at, next_pull_);
    return at;
}

// Long after what was due: it was us who stood still, and what was not heard meanwhile says nothing.
void Membership::look_at_clock(Millis now) {
    const Millis late = now - due_;
    if (!(late > setup_.timing.stall_threshold)) return;
    due_ = now;
    ++counters_.stalls;
    less_healthy();
    probes_.clear();
    relays_.clear();
    if (heard_any_ >= 0) heard_any_ = std::min(now, heard_any_ + late);
    for (const MemberId n : suspects_) {
        entries_[n].suspected = std::min(now, entries_[n].suspected + late);
        entries_[n].probing_last = false;
    }
    next_probe_ = std::max(next_probe_, now + setup_.timing.direct_timeout);
}

void Membership::wake(Millis now) {
    if (yielded_ || leaving_ || setup_.count == 1) return;
    look_at_clock(now);
    look_at_probes(now);
    look_at_suspects(now);
    if (next_probe_ <= now) probe_next(now);
    if (!hot_.empty() && next_gossip_ <= now) {
        for (const MemberId n : some_present(kGossipFanout, setup_.self))
            send(now, n, message(Message::Kind::gossip));
        const bool much = hot_.size() > Message::kMaxUpdates;
        next_gossip_ = now + setup_.timing.gossip_interval * stretch() * (much ? 0.5 : 1);
    }
    pull(now);
    due_ = std::max(now, next());
}

void Membership::leave(Millis now) {
    if (leaving_ || yielded_ || setup_.count == 1) return;
    const Incarnation incarnation = entries_[setup_.self].member.incarnation;
    set(now, setup_.self, incarnation, MemberState::left, "told to end");
    news(setup_.self);
    // To several, as some are lost; those spread it.
    for (const MemberId n : some_present(2 * kIndirectProbes, setup_.self))
        send(now, n, message(Message::Kind::gossip));
    leaving_ = true;
}

}  // namespace elmbay::cluster
