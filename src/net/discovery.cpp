#include "net/discovery.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <limits>
#include <optional>
#include <string_view>

#include "base/stream_socket.hpp"

namespace elmbay {

namespace {

namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

// The parser reads ahead of itself this far at most: head, or a chunk's line.
constexpr std::size_t kMaxAhead = 64 * 1024;
// Bytes of one list. As many servers as a sidecar keeps, 4,096, in 1 KiB each: a target takes 150 to 250
// bytes, and up to 400 where the JSON is indented. While a list is read the text stands once in memory, and
// beside it only what it says: each target's JSON goes as soon as it has been read.
constexpr std::size_t kMaxLine = 4096 * 1024;
// Memory that a watch keeps for its next line: many incremental lists, and no whole one.
constexpr std::size_t kMaxKeptText = 64 * 1024;

}  // namespace

// One connection: the whole list first, if that is wanted, then the watch, read in whatever pieces it comes.
class Discovery::Call : public std::enable_shared_from_this<Call> {
public:
    explicit Call(Discovery& owner) : owner_(owner), socket_(owner.io_) {}

    void start() {
        expect(kConnect);
        socket_.async_connect(owner_.endpoint_, [self = shared_from_this()](Error error) {
            if (self->closed_) return;
            if (error) return self->end("can't be reached");
            Error ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->socket_.non_blocking(true, ignored);
            self->ask();
        });
    }

    bool unread() const {
        Error error;
        return !closed_ && socket_.available(error) > 0;
    }
    // What has been written to us has been told, also where nobody will listen here any more.
    void last_words() {
        if (parser_ && unread()) receive();
    }

    void close() {
        if (closed_) return;
        closed_ = true;
        owner_.timers_.cancel(silence_);
        Error ignored;
        socket_.close(ignored);
        owner_.budget_.give_back(Side::servers);
    }

private:
    void ask() {
        answered_ = false;
        expect(owner_.mode_ == Mode::pushed ? kAnswer : kSilence);
        request_ = {};
        request_.version(11);
        request_.method(http::verb::get);
        request_.set(http::field::host, "discovery");
        watch_ = !owner_.whole_;
        request_.target(watch_ ? "/discovery/hosts?stream=1&index=" + std::to_string(owner_.rev_)
                               : std::string("/discovery/hosts"));
        text_.clear();
        http::async_write(socket_, request_, [self = shared_from_this()](Error error, std::size_t) {
            if (self->closed_) return;
            if (error) return self->end("broke off");
            self->parser_.emplace();
            // A watch has no end; each line has its own limit. Not boost::none: Beast 1.74 compares a
            // Content-Length with it as with the smallest number and refuses the whole list.
            self->parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
            self->more();
        });
    }

    // Waits to be readable and reads then, within the same handler: what has come is either in the kernel,
    // where unread() sees it, or has been handled.
    void more() {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](Error error) {
            if (self->closed_) return;
            if (error) return self->end("broke off");
            self->receive();
        });
    }

    void receive() {
        for (;;) {
            if (parser_->is_header_done()) {
                parser_->get().body().data = piece_.data();
                parser_->get().body().size = piece_.size();
                parser_->get().body().more = true;
            }
            Error error;
            http::read_some(socket_, buffer_, *parser_, error);
            if (error == asio::error::would_block) return more();
            if (!take_piece(error)) return;
        }
    }

    // Whether there is more to read for the answer at hand.
    bool take_piece(Error error) {
        if (error == http::error::need_buffer) error = {};
        if (error) {
            end(error == http::error::end_of_stream ? "ended" : "broke off");
            return false;
        }
        if (parser_->is_header_done() && parser_->get().result() != http::status::ok) {
            end("answered with another status");
            return false;
        }
        if (parser_->is_header_done() && !std::exchange(answered_, true)) expect(kSilence);
        if (parser_->get().body().data) {
            const std::size_t got = piece_.size() - parser_->get().body().size;
            text_.append(piece_.data(), got);
            if (!lines()) return false;
        }
        if (!parser_->is_done()) return true;
        if (watch_) {
            end("ended");
            return false;
        }
        // The whole list is there. It becomes the watch's start.
        const bool again = parser_->keep_alive();
        const std::string whole = std::exchange(text_, {});  // its memory goes once it has been read
        if (!take(whole)) return false;
        owner_.whole_ = false;
        again ? ask() : end("ended");
        return false;
    }

    // Takes all whole lines of a watch; what is left waits for its rest. False if the call is over.
    bool lines() {
        if (text_.size() > kMaxLine) {
            end("sent a line too long");
            return false;
        }
        if (!watch_) return true;
        std::size_t from = 0;
        for (std::size_t to; (to = text_.find('\n', from)) != std::string::npos; from = to + 1) {
            expect(kSilence);  // not for less than a line: one that drips without an end is silence too
            std::string_view line = std::string_view(text_).substr(from, to - from);
            if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
            if (!line.empty() && !take(line)) return false;  // an empty one is a heartbeat
            owner_.last_word_ = owner_.clock_.now();
        }
        text_.erase(0, from);
        if (text_.empty() && text_.capacity() > kMaxKeptText) text_.shrink_to_fit();
        return true;
    }

    // Broken data must not touch the list that is held: it is dropped whole, and asked for again.
    bool take(std::string_view text) {
        Listing listing;
        try {
            listing = parse_listing(text);
        } catch (const ConfigError& error) {
            std::cerr << "elmbay: discovery: " << error.what() << "; the old list stays" << std::endl;
            owner_.whole_ = true;
            end("sent what can't be read");
            return false;
        }
        const Millis now = owner_.clock_.now();
        listing.list_age_bound = now - std::exchange(owner_.last_word_, now);
        owner_.rev_ = listing.rev;
        owner_.wait_ = owner_.waits_.first;
        owner_.listed_(std::move(listing));
        return !closed_;
    }

    void expect(Millis within) {
        owner_.timers_.cancel(silence_);
        silence_ = owner_.timers_.set(owner_.clock_.now() + within, [self = shared_from_this()] {
            self->silence_ = {};
            self->end("is silent", false);
        });
    }

    void end(const char* why, bool refused = true) {
        if (closed_) return;
        close();
        owner_.ended(why, refused);
    }

    Discovery& owner_;
    TcpSocket socket_;
    boost::beast::flat_buffer buffer_{kMaxAhead};
    http::request<http::empty_body> request_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::array<char, 8192> piece_{};
    std::string text_;
    bool watch_ = true, closed_ = false;
    bool answered_ = false;  // the answer at hand has begun
    TimerQueue::Key silence_{};
};

Discovery::Discovery(asio::io_context& io, const Endpoint& endpoint, SocketBudget& budget, TimerQueue& timers,
                     const Clock& clock, std::optional<std::uint64_t> rev, std::uint64_t seed, Mode mode,
                     std::function<void(Listing)> listed)
    : io_(io),
      endpoint_(endpoint),
      budget_(budget),
      timers_(timers),
      clock_(clock),
      rev_(rev.value_or(0)),
      whole_(!rev),
      mode_(mode),
      waits_(mode == Mode::pushed ? kPushed : kAsked),
      random_(seed),
      listed_(std::move(listed)),
      wait_(waits_.first) {}

Discovery::~Discovery() = default;

void Discovery::watch() {
    watching_ = true;
    timers_.cancel(again_);
    if (!call_) begin();
}

void Discovery::stop() {
    watching_ = false;
    timers_.cancel(again_);
    if (const auto call = std::exchange(call_, nullptr)) call->close();
}

bool Discovery::unread() const { return call_ && call_->unread(); }

void Discovery::move_to(const Endpoint& endpoint) {
    if (const auto call = call_) call->last_words();
    stop();
    endpoint_ = endpoint;
    // Versions are each service's own: what we hold says nothing of where the new one stands.
    whole_ = true;
    rev_ = 0;
    wait_ = waits_.first;
    watch();
}

void Discovery::begin() {
    if (!budget_.take(Side::servers)) return ended("has no socket", true);
    call_ = std::make_shared<Call>(*this);
    call_->start();
}

void Discovery::ended(const char* why, bool refused) {
    call_.reset();
    if (!watching_) return;
    if (wait_ >= waits_.most) std::cerr << "elmbay: discovery " << why << "; trying again" << std::endl;
    const Millis wait = wait_ * std::uniform_real_distribution<>(1 - kJitter, 1 + kJitter)(random_);
    if (refused) wait_ = std::min(wait_ * 2, waits_.most);
    again_ = timers_.set(clock_.now() + wait, [this] {
        again_ = {};
        begin();
    });
}

}  // namespace elmbay
