// A TCP link on loopback: it listens where one end connects and passes on to the other, as the rules of both
// directions allow. What can't be had from a socket is stated:
//
//  - While the link is cut either way a connection does not come up: the listening queue is kept full, so the
//    kernel drops what comes and the opener's connect() hangs, as it would for lost segments.
//  - A rule that refuses every connection, and a target that is down, close the listening socket, so that the
//    kernel refuses. Some connections only (chance, nth): they come up and are reset before a byte is read.
//  - The target's own refusal of a connection that has come up here becomes a reset, and from then on the
//  link
//    refuses until the target listens again.
//  - Bytes that are on their way while the link is cut wait, as they would for retransmission.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <vector>

#include "fault_proxy/event_loop_context.hpp"
#include "fault_proxy/flow.hpp"

namespace elmbay::fault_proxy {

using tcp = asio::ip::tcp;

class StreamLink {
public:
    // Bytes of one direction that wait here; beyond them nothing more is read from the sender.
    static constexpr std::size_t kMaxWaiting = 256 * 1024;
    // A read of so much is followed by splice(2), where no rule and no tap looks at the bytes.
    static constexpr std::size_t kBulk = 16 * 1024;
    static constexpr Millis kProbe = 10;  // between two looks at a target that refused
    static constexpr int kBacklog = 1024;

    // listen: port 0 takes any. Throws boost::system::system_error if the address can't be had.
    StreamLink(EventLoopContext& context, Link link, tcp::endpoint listen, tcp::endpoint target);
    ~StreamLink();
    StreamLink(const StreamLink&) = delete;
    StreamLink& operator=(const StreamLink&) = delete;

    tcp::endpoint endpoint() const { return endpoint_; }
    const Link& link() const { return link_; }
    // What stands behind it: up; down (connections are refused); deaf (a machine that is cut off: they hang).
    // Connections that are open already stay as they are.
    enum class Target { up, down, deaf };
    void target(Target state);
    void move_target(tcp::endpoint target) { target_ = std::move(target); }
    // Resets every open connection.
    void reset_all();

    // What the opener does and gets, as it happens at its end: for whoever watches it. Connections by number.
    struct Tap {
        std::function<void(std::uint64_t nth, std::string_view bytes)> sent, got;
        std::function<void(std::uint64_t nth)> over;  // the opener has closed, or the link has
    };
    void tap(Tap tap) { tap_ = std::move(tap); }

    std::uint64_t opened() const { return opened_; }
    std::size_t open() const { return pairs_.size(); }
    std::uint64_t bytes_forth() const { return forth_; }
    std::uint64_t bytes_back() const { return back_; }
    std::size_t held() const;  // bytes of both directions that have come and not been passed on

private:
    class Pair;
    friend class Pair;
    enum class State { listening, deaf, closed };

    void look();
    void enter(State state);
    void open_listener();
    void accept();
    bool is_filler(const tcp::endpoint& from) const;
    void target_refused();
    void probe();

    EventLoopContext& context_;
    const Link link_;
    tcp::endpoint endpoint_, target_;
    tcp::acceptor acceptor_;
    State state_ = State::closed;
    Target behind_ = Target::up;
    bool refused_ = false, accepting_ = false, cut_forth_ = false, cut_back_ = false;
    std::vector<tcp::socket> fillers_;
    std::set<std::shared_ptr<Pair>> pairs_;
    std::uint64_t opened_ = 0, forth_ = 0, back_ = 0;
    Tap tap_;
    EventLoopContext::Place place_;
    EventLoopContext::Key probing_{};
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);  // handlers look whether this still is
};

}  // namespace elmbay::fault_proxy
