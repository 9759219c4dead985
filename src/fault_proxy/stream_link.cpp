#include "fault_proxy/stream_link.hpp"

#include <sys/socket.h>

#include <deque>

#include "base/stream_socket.hpp"
#include "fault_proxy/pipe.hpp"

namespace elmbay::fault_proxy {

using Error = boost::system::error_code;

// Both directions of one connection. Sockets are non-blocking: what can be passed on at once is, within the
// handler that read it.
class StreamLink::Pair : public std::enable_shared_from_this<Pair> {
public:
    Pair(StreamLink& link, tcp::socket opener, std::uint64_t nth)
        : link_(&link),
          nth_(nth),
          forth_(link.context_, link.link_, nth, true, std::move(opener)),
          back_(link.context_, link.link_.back(), nth, false, tcp::socket(link.context_.io())) {}

    void begin(Millis hold) {
        if (hold <= 0) return connect();
        held_ = link_->context_.at(link_->context_.now() + hold, [self = shared_from_this()] {
            self->held_ = {};
            if (self->link_) self->connect();
        });
    }
    // The rules, or what holds, have changed.
    void look() {
        if (!connected_) return;
        deliver(forth_);
        if (link_) deliver(back_);
    }
    std::size_t held() const { return forth_.kept() + back_.kept(); }
    void close(bool reset) {
        if (!link_) return;
        for (Way* way : {&forth_, &back_}) {
            Error ignored;
            if (reset) way->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            way->socket.close(ignored);
            link_->context_.cancel(way->timer);
        }
        link_->context_.cancel(held_);
        told_over();
        link_->pairs_.erase(shared_from_this());
        link_ = nullptr;
    }

private:
    // From `socket` to the other way's socket.
    struct Way {
        Way(EventLoopContext& context, Link link, std::uint64_t nth, bool asks, tcp::socket s)
            : flow(context.rules(), std::move(link), nth, asks), socket(std::move(s)) {}
        Flow flow;
        TcpSocket socket;
        std::deque<Step> steps;
        std::size_t waiting = 0, written = 0;  // bytes in steps; of the first step, passed on already
        bool reading = false, writing = false, ended = false, passed_end = false;
        EventLoopContext::Key timer{};
        Pipe pipe{};        // what is inside goes before steps
        bool bulk = false;  // its last read brought as much as a read takes: the next may go by the pipe
        std::size_t kept() const { return waiting + pipe.held(); }
    };
    Way& other(const Way& way) { return &way == &forth_ ? back_ : forth_; }
    bool cut(const Way& way) const { return &way == &forth_ ? link_->cut_forth_ : link_->cut_back_; }

    void connect() {
        back_.socket.async_connect(link_->target_, [self = shared_from_this()](Error error) {
            if (!self->link_) return;
            if (error) {
                StreamLink* link = self->link_;
                self->close(true);
                if (error == asio::error::connection_refused) link->target_refused();
                return;
            }
            Error ignored;
            for (Way* way : {&self->forth_, &self->back_}) {
                way->socket.set_option(tcp::no_delay(true), ignored);
                way->socket.non_blocking(true, ignored);
            }
            self->connected_ = true;
            self->read(self->forth_);
            self->read(self->back_);
        });
    }

    void read(Way& way) {
        if (way.reading || way.ended || way.kept() >= kMaxWaiting) return;
        way.reading = true;
        way.socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), &way](Error error) {
            way.reading = false;
            if (!self->link_ || error) return;
            self->receive(way);
        });
    }

    // Whether bytes of now pass on as they are, with nobody looking and nothing before them.
    bool untouched(const Way& way) const {
        return way.steps.empty() && way.pipe.held() == 0 && !way.writing && !cut(way) && way.flow.plain();
    }
    bool watched(const Way& way) const {
        return &way == &forth_ ? static_cast<bool>(link_->tap_.sent) : static_cast<bool>(link_->tap_.got);
    }
    // Much at once goes through the kernel alone. Whether it did; else it has to be read.
    bool splice(Way& way) {
        if (!way.bulk || watched(way) || !untouched(way) || !way.pipe.open()) return false;
        if (way.pipe.fill_from(way.socket.native_handle()) != Pipe::Moved::some) {
            way.bulk = false;
            return false;
        }
        (&way == &forth_ ? link_->forth_ : link_->back_) += way.pipe.last();
        way.flow.skip(way.pipe.last());
        return true;
    }

    void receive(Way& way) {
        if (splice(way)) {
            deliver(way);
            if (link_) read(way);
            return;
        }
        auto& scratch = link_->context_.scratch;
        std::vector<Step> steps;
        Error error;
        const std::size_t n = way.socket.read_some(asio::buffer(scratch), error);
        if (error == asio::error::would_block) return read(way);
        const Millis now = link_->context_.now();
        if (error) {
            way.ended = true;
            if (&way == &forth_) told_over();
            way.flow.end(now, error == asio::error::eof ? Step::Kind::half_close : Step::Kind::reset, steps);
        } else {
            (&way == &forth_ ? link_->forth_ : link_->back_) += n;
            if (&way == &forth_ && link_->tap_.sent) link_->tap_.sent(nth_, {scratch.data(), n});
            way.bulk = n >= kBulk;
            std::string_view bytes(scratch.data(), n);
            // Where no rule has a word, all that the other end takes at once goes without being kept.
            if (untouched(way)) {
                const std::size_t passed = other(way).socket.write_some(asio::buffer(bytes), error);
                if (&way == &back_ && link_->tap_.got && passed > 0)
                    link_->tap_.got(nth_, bytes.substr(0, passed));
                way.flow.skip(passed);
                bytes.remove_prefix(passed);
            }
            if (!bytes.empty()) way.flow.take(now, bytes, steps);
        }
        for (Step& step : steps) {
            way.waiting += step.bytes.size();
            way.steps.push_back(std::move(step));
        }
        // An end that the rules keep from the other side: it goes on waiting, as for a machine that is gone.
        if (way.ended && other(way).ended) return close(false);
        deliver(way);
        if (link_) read(way);
    }

    void deliver(Way& way) {
        if (way.writing) return;
        link_->context_.cancel(way.timer);
        while (way.pipe.held() > 0) {
            if (cut(way)) return;  // look() comes back
            const Pipe::Moved moved = way.pipe.empty_to(other(way).socket.native_handle());
            if (moved == Pipe::Moved::would_block) return await_room(way);
            if (moved != Pipe::Moved::some) return close(true);
        }
        while (!way.steps.empty()) {
            if (cut(way)) return;  // look() comes back
            Step& step = way.steps.front();
            const Millis now = link_->context_.now();
            if (step.at > now) {
                way.timer = link_->context_.at(step.at, [self = shared_from_this(), &way] {
                    way.timer = {};
                    if (self->link_) self->deliver(way);
                });
                return;
            }
            TcpSocket& to = other(way).socket;
            if (step.kind == Step::Kind::reset) return close(true);
            if (step.kind == Step::Kind::half_close) {
                Error ignored;
                to.shutdown(tcp::socket::shutdown_send, ignored);
                way.steps.clear();
                way.passed_end = true;
                if (other(way).passed_end) close(false);
                return;
            }
            Error error;
            const std::size_t n = to.write_some(
                asio::buffer(step.bytes.data() + way.written, step.bytes.size() - way.written), error);
            if (error == asio::error::would_block) return await_room(way);
            if (!error && &way == &back_ && link_->tap_.got)
                link_->tap_.got(nth_, {step.bytes.data() + way.written, n});
            if (error) return close(true);  // it is no longer there: the sender hears of it
            way.written += n;
            way.waiting -= n;
            if (way.written == step.bytes.size()) {
                way.steps.pop_front();
                way.written = 0;
            }
        }
        read(way);
    }

    void await_room(Way& way) {
        way.writing = true;
        other(way).socket.async_wait(tcp::socket::wait_write,
                                     [self = shared_from_this(), &way](Error failed) {
                                         way.writing = false;
                                         if (self->link_ && !failed) self->deliver(way);
                                     });
    }

    void told_over() {
        if (!std::exchange(told_over_, true) && link_->tap_.over) link_->tap_.over(nth_);
    }

    StreamLink* link_;
    const std::uint64_t nth_;
    Way forth_, back_;
    bool told_over_ = false;
    bool connected_ = false;
    EventLoopContext::Key held_{};
};

StreamLink::StreamLink(EventLoopContext& context, Link link, tcp::endpoint listen, tcp::endpoint target)
    : context_(context),
      link_(std::move(link)),
      endpoint_(std::move(listen)),
      target_(std::move(target)),
      acceptor_(context.io()) {
    open_listener();  // once in any case, so that the port is known and known to be free
    place_ = context_.watch([this] { look(); });
    look();
}

StreamLink::~StreamLink() {
    *here_ = false;
    context_.unwatch(place_);
    context_.cancel(probing_);
    reset_all();
}

void StreamLink::reset_all() {
    for (const auto& pair : std::set(pairs_)) pair->close(true);
}

std::size_t StreamLink::held() const {
    std::size_t bytes = 0;
    for (const auto& pair : pairs_) bytes += pair->held();
    return bytes;
}

void StreamLink::target(Target state) {
    behind_ = state;
    refused_ = false;
    context_.cancel(probing_);
    look();
}

void StreamLink::look() {
    const Millis now = context_.now();
    cut_forth_ = context_.rules().cut(link_, Medium::stream, now);
    cut_back_ = context_.rules().cut(link_.back(), Medium::stream, now);
    if (behind_ == Target::down || refused_ || context_.rules().refuses_all(link_, now))
        enter(State::closed);
    else if (behind_ == Target::deaf || cut_forth_ || cut_back_)
        enter(State::deaf);
    else
        enter(State::listening);
    for (const auto& pair : std::set(pairs_)) pair->look();
}

void StreamLink::enter(State state) {
    if (state == state_) return;
    if (state == State::closed) {
        Error ignored;
        acceptor_.close(ignored);
        fillers_.clear();
        state_ = state;
        return;
    }
    if (!acceptor_.is_open()) open_listener();
    state_ = state;
    if (state == State::listening) {
        ::listen(acceptor_.native_handle(), kBacklog);
        accept();  // the fillers come out of the queue first and are dropped there
        return;
    }
    Error ignored;
    acceptor_.cancel(ignored);
    ::listen(acceptor_.native_handle(), 0);
    // With a queue length of 0 the kernel still queues one connection; one more to be sure.
    for (int i = 0; i < 2; ++i) {
        tcp::socket filler(context_.io());
        filler.open(endpoint_.protocol(), ignored);
        filler.native_non_blocking(true, ignored);
        // The system's own: asio's connect() waits until it is up, which is never.
        ::connect(filler.native_handle(), endpoint_.data(), static_cast<socklen_t>(endpoint_.size()));
        fillers_.push_back(std::move(filler));
    }
}

void StreamLink::open_listener() {
    acceptor_.open(endpoint_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint_);
    acceptor_.listen(kBacklog);
    acceptor_.non_blocking(true);
    endpoint_ = acceptor_.local_endpoint();
    state_ = State::listening;
    accept();
}

bool StreamLink::is_filler(const tcp::endpoint& from) const {
    return std::any_of(fillers_.begin(), fillers_.end(), [&](const tcp::socket& f) {
        Error error;
        return f.local_endpoint(error) == from && !error;
    });
}

void StreamLink::accept() {
    if (accepting_) return;
    accepting_ = true;
    acceptor_.async_accept([this, here = here_](Error error, tcp::socket socket) {
        if (!*here) return;
        accepting_ = false;
        if (state_ != State::listening) return;
        if (error == asio::error::operation_aborted)
            return accept();  // deaf and back in one turn of the loop
        Error ignored;
        const tcp::endpoint from = error ? tcp::endpoint{} : socket.remote_endpoint(ignored);
        if (!error && !is_filler(from)) {
            const auto opening = context_.rules().opening(link_, ++opened_, context_.now());
            if (opening.refused) {
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
                socket.close(ignored);
            } else {
                const auto pair = std::make_shared<Pair>(*this, std::move(socket), opened_);
                pairs_.insert(pair);
                pair->begin(opening.hold);
            }
        }
        accept();
    });
}

void StreamLink::target_refused() {
    if (refused_ || behind_ != Target::up) return;
    refused_ = true;
    look();
    probe();
}

void StreamLink::probe() {
    const auto socket = std::make_shared<tcp::socket>(context_.io());
    socket->async_connect(target_, [this, here = here_, socket](Error error) {
        if (!*here || !refused_) return;
        if (!error) {
            refused_ = false;
            return look();
        }
        probing_ = context_.at(context_.now() + kProbe, [this] {
            probing_ = {};
            probe();
        });
    });
}

}  // namespace elmbay::fault_proxy
