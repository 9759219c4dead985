// The clients of one sidecar: PROTOCOL's "The application to its sidecar" on kept connections.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "simulation/drivers/sockets/loopback_testbed.hpp"
#include "simulation/models/client_model.hpp"

namespace elmbay::simulation {

class ClientEmulator {
public:
    // An answer that is longer is none that a server made.
    static constexpr std::uint64_t kMaxAnswer = 64 * 1024;
    // A client looks at its clock this much late, as the rules on sockets do.
    static constexpr Millis kSlack = 50;

    enum class End {
        answered,   // a whole answer
        cut,        // one that broke off
        closed,     // the connection was closed with nothing
        unreached,  // no connection came up: the try has not been taken
        silence,    // its time is over
        left        // this client has gone away
    };
    struct Outcome {
        End end = End::silence;
        ResponseKind answer = ResponseKind::none;
        bool genuine = true;  // a served answer's body is the one made for this try
        Millis retry_after = 0;
    };
    // taken: the first byte is about to be written to a connection that came up. Each try has one ended().
    struct Handlers {
        std::function<void(const ClientRequest&)> taken;
        std::function<void(const ClientRequest&, const Outcome&)> ended;
    };

    ClientEmulator(LoopbackTestbed& testbed, const Scenario& scenario, const ClientModel& clients,
                   tcp::endpoint sidecar, Handlers handlers);
    ~ClientEmulator();
    ClientEmulator(const ClientEmulator&) = delete;
    ClientEmulator& operator=(const ClientEmulator&) = delete;

    void ask(const ClientRequest& t);
    // Whether GET /up answers 200; told once.
    void up(std::function<void(bool)> told);

private:
    class Connection;
    friend class Connection;

    std::string message(const ClientRequest& t) const;

    LoopbackTestbed& testbed_;
    const Scenario& scenario_;
    const ClientModel& clients_;
    const tcp::endpoint sidecar_;
    const Handlers handlers_;
    std::vector<std::shared_ptr<Connection>> idle_;
    std::set<std::shared_ptr<Connection>> busy_;
};

}  // namespace elmbay::simulation
