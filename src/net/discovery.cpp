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

// Size limit of the parser's input buffer. It bounds the response head and chunk size lines.
constexpr std::size_t kMaxReadAhead = std::size_t{64} * 1024;
// Size limit of a whole list and of one line of a watch: 1 KiB for each of the 4,096 servers that a sidecar
// keeps. A target takes 150 to 250 bytes, and up to 400 in indented JSON. While a list is parsed, memory
// holds its text once and the parsed entries; the JSON of each target is freed as soon as it has been parsed.
constexpr std::size_t kMaxListBytes = std::size_t{4096} * 1024;
// Capacity of the line buffer that a watch keeps between lines: enough for many changes, less than a whole
// list.
constexpr std::size_t kMaxIdleLineBufferBytes = std::size_t{64} * 1024;
// Bytes of a response body that one read returns at most.
constexpr std::size_t kBodyBufferBytes = 8192;

}  // namespace

/// One connection to the discovery service. It fetches the whole list first, if needed, then opens a watch
/// and reads its lines incrementally. A call to an earlier address opens no watch any more, and changes
/// nothing of the state from which the current call and its successors begin.
class Discovery::Call : public std::enable_shared_from_this<Call> {
public:
    explicit Call(Discovery& owner) : owner_(owner), socket_(owner.io_) {}

    void start() {
        set_timeout(kConnectTimeout);
        socket_.async_connect(owner_.endpoint_, [self = shared_from_this()](Error error) {
            if (self->is_closed_) return;
            if (error) {
                self->owner_.handlers_.on_list_confirmed();
                self->end_call(DiscoveryError::connect_failed);
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

    /// Reads and applies what the kernel has received. To be called before the call is abandoned, because a
    /// change that the service has already sent must be applied.
    void read_pending() {
        if (parser_ && has_unread_data()) read_available();
    }

    /// Reads and applies the changes that the kernel has received, then closes the call. To be called when a
    /// later call has received the whole list, before that list is applied. A whole list of this call is
    /// older, and is not applied.
    void supersede() {
        is_superseded_ = true;
        read_pending();
        close();
    }

    void close() {
        if (is_closed_) return;
        is_closed_ = true;
        owner_.timers_.cancel(timer_);
        owner_.timers_.cancel(first_line_timer_);
        Error ignored;
        socket_.close(ignored);
        owner_.socket_budget_.release(SocketPurpose::servers);
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
        if (is_watch_) target += "?stream=1&index=" + std::to_string(owner_.list_version_);
        request_.target(target);
        unparsed_text_.clear();
        http::async_write(socket_, request_, [self = shared_from_this()](Error error, std::size_t) {
            if (self->is_closed_) return;
            if (error)
                self->end_call(DiscoveryError::connection_broken);
            else
                self->begin_response();
        });
    }

    void begin_response() {
        parser_.emplace();
        // A watch is unlimited in length; handle_lines() limits each line. The limit is not boost::none,
        // because Beast 1.74 treats that as smaller than any Content-Length and would reject the whole list.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        await_readable();
    }

    // Waits for readability, then reads and handles the data in the same handler. So received bytes are
    // either still in the kernel, where has_unread_data() detects them, or already handled.
    void await_readable() {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](Error error) {
            if (self->is_closed_) return;
            if (error)
                self->end_call(DiscoveryError::connection_broken);
            else
                self->read_available();
        });
    }

    void read_available() {
        bool is_more_expected = true;
        while (is_more_expected) {
            if (parser_->is_header_done()) {
                parser_->get().body().data = body_buffer_.data();
                parser_->get().body().size = body_buffer_.size();
                parser_->get().body().more = true;
            }
            Error error;
            http::read_some(socket_, buffer_, *parser_, error);
            if (error == asio::error::would_block) {
                await_readable();
                return;
            }
            is_more_expected = on_body_read(error);
        }
    }

    // Handles the bytes that one read returned. Returns whether more of this response is expected.
    bool on_body_read(Error error) {
        if (error && error != http::error::need_buffer) {
            const bool is_end = error == http::error::end_of_stream;
            return end_call(is_end ? DiscoveryError::connection_closed : DiscoveryError::connection_broken);
        }
        if (parser_->is_header_done() && !check_head()) return false;
        if (parser_->get().body().data) {
            const std::size_t size = body_buffer_.size() - parser_->get().body().size;
            unparsed_text_.append(body_buffer_.data(), size);
            if (!handle_lines()) return false;
        }
        if (!parser_->is_done()) return true;
        if (is_watch_) return end_call(DiscoveryError::connection_closed);
        on_whole_list_received();
        return false;
    }

    // Checks the status of the response. Returns whether its body is to be read.
    bool check_head() {
        if (parser_->get().result() != http::status::ok) return end_call(DiscoveryError::unexpected_status);
        if (std::exchange(response_has_begun_, true)) return true;
        set_timeout(kMaxSilence);
        if (is_watch_) confirm_list_without_line();
        return true;
    }

    // A watch whose list is current may get no line before the first heartbeat.
    void confirm_list_without_line() {
        first_line_timer_ =
            owner_.timers_.set(owner_.clock_.now() + kFirstLineDelay, [self = shared_from_this()] {
                self->first_line_timer_ = {};
                self->owner_.handlers_.on_list_confirmed();
            });
    }

    // Applies the complete list, then opens the watch that starts at its version.
    void on_whole_list_received() {
        const bool can_reuse_connection = parser_->keep_alive();
        const std::string list = std::exchange(unparsed_text_, {});  // frees the text's memory on return
        if (!apply_list(list)) return;
        if (!is_current()) {
            end_call(DiscoveryError::connection_closed);
            return;
        }
        owner_.needs_whole_list_ = false;
        if (can_reuse_connection)
            send_request();
        else
            end_call(DiscoveryError::connection_closed);
    }

    // Handles all complete lines of a watch and keeps the incomplete rest. Returns whether the call
    // continues.
    bool handle_lines() {
        if (unparsed_text_.size() > kMaxListBytes) return end_call(DiscoveryError::line_too_long);
        if (!is_watch_) return true;
        std::size_t begin = 0;
        for (;;) {
            const std::size_t line_end = unparsed_text_.find('\n', begin);
            if (line_end == std::string::npos) break;
            set_timeout(kMaxSilence);  // only a complete line restarts the timeout, not single bytes of one
            if (!handle_line(std::string_view(unparsed_text_).substr(begin, line_end - begin))) return false;
            begin = line_end + 1;
        }
        unparsed_text_.erase(0, begin);
        if (unparsed_text_.empty() && unparsed_text_.capacity() > kMaxIdleLineBufferBytes)
            unparsed_text_.shrink_to_fit();
        return true;
    }

    // Handles one line of a watch. An empty line is a heartbeat. Returns whether the call continues.
    bool handle_line(std::string_view line) {
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (!line.empty() && !apply_list(line)) return false;
        owner_.last_message_at_ = owner_.clock_.now();
        owner_.handlers_.on_list_confirmed();
        return true;
    }

    // Parses a list and passes it on. A list that can't be parsed is discarded completely, so that it does
    // not affect the current list, and the whole list is fetched again. Returns whether the call continues.
    bool apply_list(std::string_view text) {
        EndpointList endpoint_list;
        try {
            endpoint_list = parse_endpoint_list(text);
        } catch (const ConfigError& error) {
            log_event("discovery", "list_rejected", error.what());
            if (is_current()) owner_.needs_whole_list_ = true;
            return end_call(DiscoveryError::invalid_list);
        }
        const bool is_complete = endpoint_list.is_complete;
        if (is_superseded_ && is_complete) return end_call(DiscoveryError::connection_closed);
        // Only another process at the service's address sends a change with an earlier version.
        const bool is_version_reset =
            !is_complete && is_current() && endpoint_list.revision < owner_.list_version_;
        const Millis now = owner_.clock_.now();
        endpoint_list.list_age_bound = now - std::exchange(owner_.last_message_at_, now);
        if (is_current()) {
            owner_.list_version_ = endpoint_list.revision;
            owner_.next_delay_ = owner_.backoff_.initial;
        }
        // What earlier calls have received is older than this list, so it is applied first.
        if (is_complete) owner_.close_calls_before(*this);
        owner_.handlers_.on_endpoint_list(std::move(endpoint_list));
        owner_.handlers_.on_list_confirmed();
        if (is_version_reset) {
            owner_.needs_whole_list_ = true;
            return end_call(DiscoveryError::version_reset);
        }
        return !is_closed_;
    }

    bool is_current() const { return owner_.call_.get() == this; }

    void set_timeout(Millis timeout) {
        owner_.timers_.cancel(timer_);
        timer_ = owner_.timers_.set(owner_.clock_.now() + timeout, [self = shared_from_this()] {
            self->timer_ = {};
            self->end_call(DiscoveryError::timed_out);
        });
    }

    // Closes the call and reports why it ended. Returns false, because the call does not continue.
    bool end_call(DiscoveryError error) {
        if (is_closed_) return false;
        close();
        owner_.on_call_ended(*this, error);
        return false;
    }

    Discovery& owner_;
    TcpSocket socket_;
    boost::beast::flat_buffer buffer_{kMaxReadAhead};
    http::request<http::empty_body> request_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::array<char, kBodyBufferBytes> body_buffer_{};
    std::string unparsed_text_;  // text of the whole list, or the incomplete line of the watch
    bool is_watch_ = true;
    bool is_closed_ = false;
    bool is_superseded_ = false;  // a later call has received the whole list
    bool response_has_begun_ = false;
    TimerQueue::Key timer_{};
    TimerQueue::Key first_line_timer_{};
};

Discovery::Discovery(asio::io_context& io, const Options& options, SocketBudget& socket_budget,
                     TimerQueue& timers, const Clock& clock, Handlers handlers)
    : io_(io),
      endpoint_(options.endpoint),
      socket_budget_(socket_budget),
      timers_(timers),
      clock_(clock),
      list_version_(options.known_version.value_or(0)),
      needs_whole_list_(!options.known_version),
      mode_(options.mode),
      backoff_(options.mode == Mode::pushed ? kPushedBackoff : kPolledBackoff),
      random_(options.seed),
      handlers_(std::move(handlers)),
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
    for (const auto& call : std::exchange(previous_calls_, {})) call->close();
}

bool Discovery::has_unread_data() const {
    if (call_ && call_->has_unread_data()) return true;
    return std::any_of(previous_calls_.begin(), previous_calls_.end(),
                       [](const auto& call) { return call->has_unread_data(); });
}

void Discovery::switch_endpoint(const Endpoint& endpoint) {
    keep_current_call();
    endpoint_ = endpoint;
    // Each service numbers its versions independently, so the current version is meaningless at the new one.
    needs_whole_list_ = true;
    list_version_ = 0;
    next_delay_ = backoff_.initial;
    watch();
}

// Makes the current call the latest of the previous ones, or closes it if there are enough of these.
void Discovery::keep_current_call() {
    if (const auto call = call_) call->read_pending();  // may end the call
    const auto call = std::exchange(call_, nullptr);
    if (!call) return;
    if (previous_calls_.size() < kMaxPreviousCalls)
        previous_calls_.push_back(call);
    else
        call->close();
}

// Closes the calls that began before `call`, which has received the whole list. The changes that they have
// received are applied, so the caller must apply that list afterwards.
void Discovery::close_calls_before(const Call& call) {
    while (!previous_calls_.empty() && previous_calls_.front().get() != &call) {
        const std::shared_ptr<Call> oldest = previous_calls_.front();
        previous_calls_.erase(previous_calls_.begin());
        oldest->supersede();
    }
}

void Discovery::begin_call() {
    if (!socket_budget_.acquire(SocketPurpose::servers)) {
        retry_after(DiscoveryError::no_socket);
        return;
    }
    call_ = std::make_shared<Call>(*this);
    call_->start();
}

void Discovery::on_call_ended(const Call& call, std::error_code error) {
    if (call_.get() != &call) {
        std::erase_if(previous_calls_, [&call](const auto& previous) { return previous.get() == &call; });
        return;
    }
    call_.reset();
    // The agent may have been replaced by another process, which numbers its versions anew.
    const bool may_be_replaced = mode_ == Mode::pushed && error != DiscoveryError::timed_out;
    if (may_be_replaced) needs_whole_list_ = true;
    retry_after(error);
}

void Discovery::retry_after(std::error_code error) {
    if (!is_watching_) return;
    if (next_delay_ >= backoff_.max) log_event("discovery", "call_failed", error.message());
    std::uniform_real_distribution<> jitter(1 - kJitter, 1 + kJitter);
    const Millis delay = next_delay_ * jitter(random_);
    const bool should_back_off = error != DiscoveryError::timed_out;
    if (should_back_off) next_delay_ = std::min(next_delay_ * 2, backoff_.max);
    retry_timer_ = timers_.set(clock_.now() + delay, [this] {
        retry_timer_ = {};
        begin_call();
    });
}

}  // namespace elmbay
