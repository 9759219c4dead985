// The real driver of the decision module: turns what happens on sockets into events and actions into calls on
// them. It chooses no server, repeats nothing and refuses nothing by itself.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "hollybeam/balancer.hpp"
#include "net/config.hpp"
#include "net/discovery.hpp"
#include "net/intake.hpp"
#include "net/listener.hpp"
#include "net/sockets.hpp"
#include "net/timing.hpp"
#include "net/upstream.hpp"

namespace elmbay {

class Sidecar {
public:
    // Throws boost::system::system_error if it can't listen, std::invalid_argument for settings that make no
    // sense.
    Sidecar(asio::io_context& io, Config config);
    Sidecar(const Sidecar&) = delete;
    Sidecar& operator=(const Sidecar&) = delete;

    // Takes over what a new configuration may change while requests are in work: where discovery is, and how
    // many sockets there may be. The rest of it needs a restart.
    void reload(const Config& config);
    // Finishes what it has taken, for SIGTERM; done is called when nothing is left.
    void drain(std::function<void()> done);

    Endpoint local_endpoint() const { return listener_.local_endpoint(); }
    std::size_t requests() const { return requests_.size(); }

private:
    struct Request {
        std::shared_ptr<const HttpRequest> message;
        std::uint32_t sent = 0, out = 0;  // attempts
        bool over = false;                // it has its final answer, or its client has gone
        Outcome last = Outcome::superseded;
    };
    struct Known {
        ServerId id = 0;
        bool listed = false;
        Endpoint endpoint{};
        hollybeam::ServerInfo info{};
    };

    void arrived(RequestId id, HttpRequest request);
    void gone(RequestId id);
    void attempt_ended(AttemptKey key, Outcome outcome, Millis duration, HttpResponse response);
    void listed(hollybeam::ListKind kind, const Listing& listing);

    void displace(const Target& t, Known& arrived, hollybeam::ServerList& list);
    static std::uint32_t name_number(std::vector<std::string>& names, const std::string& name);

    void give(hollybeam::Event event);
    void run(const hollybeam::Action& action);
    void answer(RequestId id, HttpResponse response);
    void settle(RequestId id);

    Clock clock_;
    Config config_;
    TimerQueue timers_;
    SocketBudget budget_;
    hollybeam::Balancer balancer_;
    std::unordered_map<RequestId, Request> requests_;
    std::map<std::string, Known> servers_;  // by uid
    ServerId next_server_ = 1;
    bool ready_ = false;
    std::deque<hollybeam::Event> events_;  // in order; an action may bring about the next
    bool handling_ = false;
    Upstream upstream_;
    Discovery discovery_;
    Listener listener_;
};

}  // namespace elmbay
