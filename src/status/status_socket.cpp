#include "status/status_socket.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/write.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "base/socket_failures.hpp"
#include "base/stream_socket.hpp"

namespace elmbay {

namespace asio = boost::asio;
using local = asio::local::stream_protocol;
using LocalSocket = StreamSocket<local>;
using Error = boost::system::error_code;

// Where no descriptor is to be had, whoever asks waits in the kernel's queue for this long.
constexpr std::chrono::milliseconds kAcceptPause{100};
// Connections that were given up before they were accepted, in a row: after so many the process's other work
// has its turn.
constexpr int kMaxFailedAccepts = 16;

StatusSocket::StatusSocket(asio::io_context& io, const std::string& path, StatusSource source)
    : acceptor_(io), accept_again_(io), path_(path), source_(std::move(source)) {
    local::socket probe(io);
    Error error;
    probe.connect(local::endpoint(path), error);
    if (!error) throw boost::system::system_error(asio::error::address_in_use, "status socket " + path);
    struct stat there {};
    // Only a socket is ours to replace; a mistyped path must not cost a file.
    if (::lstat(path.c_str(), &there) == 0 && S_ISSOCK(there.st_mode)) ::unlink(path.c_str());
    acceptor_.open();
    acceptor_.bind(local::endpoint(path));
    ::chmod(path.c_str(), S_IRUSR | S_IWUSR);
    acceptor_.listen(kMaxConnections);
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));  // else Asio waits for an edge
    accept();
}

StatusSocket::~StatusSocket() { ::unlink(path_.c_str()); }

void StatusSocket::accept() {
    acceptor_.async_accept([this](Error error, local::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) return accept_failed(error);
        failed_accepts_ = 0;
        if (*connections_ < kMaxConnections) {
            ++*connections_;
            const auto peer = std::make_shared<LocalSocket>(std::move(socket));
            const auto text = std::make_shared<std::string>(source_().dump() + "\n");
            asio::async_write(
                *peer, asio::buffer(*text),
                [peer, text, connections = connections_](Error, std::size_t) { --*connections; });
        }
        accept();
    });
}

void StatusSocket::accept_failed(const Error& error) {
    if (accept_failure(error) == SocketFailure::connection && ++failed_accepts_ < kMaxFailedAccepts)
        return accept();
    failed_accepts_ = 0;
    accept_again_.expires_after(kAcceptPause);
    accept_again_.async_wait([this](Error stopped) {
        if (!stopped) accept();
    });
}

}  // namespace elmbay
