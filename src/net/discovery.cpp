#include "net/discovery.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "base/stream_socket.hpp"
#include "http/message.hpp"
#include "net/discovery_error.hpp"
#include "net/log_events.hpp"

namespace elmbay {

namespace {

using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

// The parser reads ahead of itself this far at most: a head, or a chunk's line.
constexpr std::size_t kMaxReadAhead = std::size_t{64} * 1024;
// Bytes of one list, or of one line of a watch. As many servers as a sidecar keeps, 4,096, in 1 KiB each: a
// target takes 150 to 250 bytes, and up to 400 where the JSON is indented. While a list is parsed its text is
// in memory once, and beside it only what it says: each target's JSON goes as soon as it has been parsed.
constexpr std::size_t kMaxListBytes = std::size_t{4096} * 1024;
// Memory that a watch keeps for its next line: many changes, and no whole list.
constexpr std::size_t kMaxKeptBytes = std::size_t{64} * 1024;
// Bytes of a response's body that are read at a time.
constexpr std::size_t kPieceBytes = 8192;

}  // namespace

/// One call, on one connection: the whole list first, if that is needed, then the watch, read in whatever
/// pieces it comes.
class Discovery::Call : public std::enable_shared_from_this<Call> {
public:
    explicit Call(Discovery& owner) : owner_(owner), socket_(owner.io_) {}

    void start() {
        set_timeout(kConnectTimeout);
        socket_.async_connect(owner_.endpoint_, [self = shared_from_this()](Error error) {
            if (self->is_closed_) return;
            if (error) {
                self->end(DiscoveryError::connect_failed);
                return;
            }
            Error ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->socket_.non_blocking(true, ignored);
            self->send_request();
        });
    }

    bool has_unread_data() const {
        Error error;
        return !is_closed_ && socket_.available(error) > 0;
    }

    /// Before the call is given up: what the service has sent counts as told.
    void read_pending() {
        if (parser_ && has_unread_data()) read_available();
    }

    void close() {
        if (is_closed_) return;
        is_closed_ = true;
        owner_.timers_.cancel(timer_);
        Error ignored;
        socket_.close(ignored);
        owner_.budget_.release(SocketPurpose::servers);
    }

private:
    void send_request() {
        response_has_begun_ = false;
        set_timeout(owner_.mode_ == Mode::pushed ? kPushedResponseTimeout : kMaxSilence);
        is_watch_ = !owner_.needs_whole_list_;
        request_ = {};
        request_.version(kHttp11);
        request_.method(http::verb::get);
        request_.set(http::field::host, "discovery");
        std::string target = "/discovery/hosts";
        if (is_watch_) target += "?stream=1&index=" + std::to_string(owner_.version_);
        request_.target(target);
        text_.clear();
        http::async_write(socket_, request_, [self = shared_from_this()](Error error, std::size_t) {
            if (self->is_closed_) return;
            if (error)
                self->end(DiscoveryError::connection_broken);
            else
                self->begin_response();
        });
    }

    void begin_response() {
        parser_.emplace();
        // A watch has no end; each line has its own limit. Not boost::none: Beast 1.74 compares a
        // Content-Length with it as with the smallest number and refuses the whole list.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        await_readable();
    }

    // Waits to be readable and reads then, within the same handler: what has come is either in the kernel,
    // where has_unread_data() sees it, or has been handled.
    void await_readable() {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](Error error) {
            if (self->is_closed_) return;
            if (error)
                self->end(DiscoveryError::connection_broken);
            else
                self->read_available();
        });
    }

    void read_available() {
        bool is_more_expected = true;
        while (is_more_expected) {
            if (parser_->is_header_done()) {
                parser_->get().body().data = piece_.data();
                parser_->get().body().size = piece_.size();
                parser_->get().body().more = true;
            }
            Error error;
            http::read_some(socket_, buffer_, *parser_, error);
            if (error == asio::error::would_block) {
                await_readable();
                return;
            }
            is_more_expected = on_piece(error);
        }
    }

    // Returns whether there is more to read of this response.
    bool on_piece(Error error) {
        if (error && error != http::error::need_buffer) {
            const bool is_end = error == http::error::end_of_stream;
            return end(is_end ? DiscoveryError::connection_closed : DiscoveryError::connection_broken);
        }
        if (parser_->is_header_done() && !on_head()) return false;
        if (parser_->get().body().data) {
            const std::size_t size = piece_.size() - parser_->get().body().size;
            text_.append(piece_.data(), size);
            if (!read_lines()) return false;
        }
        if (!parser_->is_done()) return true;
        if (is_watch_) return end(DiscoveryError::connection_closed);
        on_whole_list();
        return false;
    }

    // Returns whether the response can be read.
    bool on_head() {
        if (parser_->get().result() != http::status::ok) return end(DiscoveryError::unexpected_status);
        if (!std::exchange(response_has_begun_, true)) set_timeout(kMaxSilence);
        return true;
    }

    // The whole list is there. It becomes the watch's start.
    void on_whole_list() {
        const bool can_reuse_connection = parser_->keep_alive();
        const std::string list = std::exchange(text_, {});  // its memory goes once it has been read
        if (!on_list(list)) return;
        owner_.needs_whole_list_ = false;
        if (can_reuse_connection)
            send_request();
        else
            end(DiscoveryError::connection_closed);
    }

    // Handles all whole lines of a watch; what is left waits for its rest. Returns whether the call goes on.
    bool read_lines() {
        if (text_.size() > kMaxListBytes) return end(DiscoveryError::line_too_long);
        if (!is_watch_) return true;
        std::size_t begin = 0;
        for (;;) {
            const std::size_t line_end = text_.find('\n', begin);
            if (line_end == std::string::npos) break;
            set_timeout(kMaxSilence);  // only for a whole line: one that drips without an end is silence too
            if (!on_line(std::string_view(text_).substr(begin, line_end - begin))) return false;
            begin = line_end + 1;
        }
        text_.erase(0, begin);
        if (text_.empty() && text_.capacity() > kMaxKeptBytes) text_.shrink_to_fit();
        return true;
    }

    // An empty line is a heartbeat. Returns whether the call goes on.
    bool on_line(std::string_view line) {
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (!line.empty() && !on_list(line)) return false;
        owner_.last_heard_at_ = owner_.clock_.now();
        return true;
    }

    // What can't be read must not touch the list that is held: it is dropped whole, and asked for again.
    // Returns whether the call goes on.
    bool on_list(std::string_view text) {
        EndpointList listing;
        try {
            listing = parse_endpoint_list(text);
        } catch (const ConfigError& error) {
            log_event("discovery", "list_rejected", error.what());
            owner_.needs_whole_list_ = true;
            return end(DiscoveryError::unreadable_list);
        }
        const Millis now = owner_.clock_.now();
        listing.list_age_bound = now - std::exchange(owner_.last_heard_at_, now);
        owner_.version_ = listing.revision;
        owner_.next_delay_ = owner_.backoff_.initial;
        owner_.on_listing_(std::move(listing));
        return !is_closed_;
    }

    void set_timeout(Millis timeout) {
        owner_.timers_.cancel(timer_);
        timer_ = owner_.timers_.set(owner_.clock_.now() + timeout, [self = shared_from_this()] {
            self->timer_ = {};
            self->end(DiscoveryError::timed_out);
        });
    }

    // Returns false: the call does not go on.
    bool end(DiscoveryError error) {
        if (is_closed_) return false;
        close();
        owner_.on_call_ended(error);
        return false;
    }

    Discovery& owner_;
    TcpSocket socket_;
    boost::beast::flat_buffer buffer_{kMaxReadAhead};
    http::request<http::empty_body> request_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::array<char, kPieceBytes> piece_{};
    std::string text_;  // of the whole list, or of the watch's line that has not ended
    bool is_watch_ = true;
    bool is_closed_ = false;
    bool response_has_begun_ = false;
    TimerQueue::Key timer_{};
};

Discovery::Discovery(asio::io_context& io, const Options& options, SocketBudget& budget, TimerQueue& timers,
                     const Clock& clock, std::function<void(EndpointList)> on_listing)
    : io_(io),
      endpoint_(options.endpoint),
      budget_(budget),
      timers_(timers),
      clock_(clock),
      version_(options.known_version.value_or(0)),
      needs_whole_list_(!options.known_version),
      mode_(options.mode),
      backoff_(options.mode == Mode::pushed ? kPushedBackoff : kAskedBackoff),
      random_(options.seed),
      on_listing_(std::move(on_listing)),
      next_delay_(backoff_.initial) {}

Discovery::~Discovery() = default;

void Discovery::watch() {
    is_watching_ = true;
    timers_.cancel(retry_timer_);
    if (!call_) begin_call();
}

void Discovery::stop() {
    is_watching_ = false;
    timers_.cancel(retry_timer_);
    if (const auto call = std::exchange(call_, nullptr)) call->close();
}

bool Discovery::has_unread_data() const { return call_ && call_->has_unread_data(); }

void Discovery::switch_endpoint(const Endpoint& endpoint) {
    if (const auto call = call_) call->read_pending();
    stop();
    endpoint_ = endpoint;
    // Versions are each service's own: the one that is held says nothing of where the new service stands.
    needs_whole_list_ = true;
    version_ = 0;
    next_delay_ = backoff_.initial;
    watch();
}

void Discovery::begin_call() {
    if (!budget_.acquire(SocketPurpose::servers)) {
        on_call_ended(DiscoveryError::no_socket);
        return;
    }
    call_ = std::make_shared<Call>(*this);
    call_->start();
}

void Discovery::on_call_ended(std::error_code error) {
    call_.reset();
    if (!is_watching_) return;
    if (next_delay_ >= backoff_.max) log_event("discovery", "call_failed", error.message());
    std::uniform_real_distribution<> jitter(1 - kJitter, 1 + kJitter);
    const Millis delay = next_delay_ * jitter(random_);
    const bool was_refused = error != DiscoveryError::timed_out;
    if (was_refused) next_delay_ = std::min(next_delay_ * 2, backoff_.max);
    retry_timer_ = timers_.set(clock_.now() + delay, [this] {
        retry_timer_ = {};
        begin_call();
    });
}

}  // namespace elmbay
