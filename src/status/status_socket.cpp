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

// Delay of the next accept while no descriptor is free. Connections wait in the kernel's queue meanwhile.
constexpr std::chrono::milliseconds kAcceptPause{100};
// Number of consecutive accepts of aborted connections after which accepting pauses, so that the event loop's
// other work can run.
constexpr int kMaxFailedAccepts = 16;

namespace {

// Removes the socket file of a process that has ended. Keeps any other file, as the path may be mistyped.
void remove_stale_socket(const std::string& path) {
    struct stat file_status {};
    const bool is_socket = ::lstat(path.c_str(), &file_status) == 0 && S_ISSOCK(file_status.st_mode);
    if (is_socket) ::unlink(path.c_str());
}

}  // namespace

StatusSocket::StatusSocket(asio::io_context& io, const std::string& path, StatusSource source)
    : acceptor_(io), accept_timer_(io), path_(path), source_(std::move(source)) {
    local::socket probe(io);
    Error error;
    probe.connect(local::endpoint(path), error);
    if (!error) throw boost::system::system_error(asio::error::address_in_use, "status socket " + path);
    remove_stale_socket(path);
    acceptor_.open();
    acceptor_.bind(local::endpoint(path));
    ::chmod(path.c_str(), S_IRUSR | S_IWUSR);
    acceptor_.listen(kMaxConnections);
    // Without this option, Asio skips the error and waits for the next event.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    accept();
}

StatusSocket::~StatusSocket() { ::unlink(path_.c_str()); }

void StatusSocket::accept() {
    acceptor_.async_accept([this](Error error, local::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
            accept_failed(error);
            return;
        }
        failed_accepts_ = 0;
        if (*connections_ < kMaxConnections) write_status(std::move(socket));
        accept();
    });
}

void StatusSocket::write_status(local::socket socket) {
    ++*connections_;
    const auto peer = std::make_shared<LocalSocket>(std::move(socket));
    const auto text = std::make_shared<std::string>(source_().dump() + "\n");
    asio::async_write(*peer, asio::buffer(*text),
                      [peer, text, connections = connections_](Error, std::size_t) { --*connections; });
}

void StatusSocket::accept_failed(const Error& error) {
    if (classify_accept_error(error) == SocketFailure::connection) {
        ++failed_accepts_;
        if (failed_accepts_ < kMaxFailedAccepts) {
            accept();
            return;
        }
    }
    failed_accepts_ = 0;
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([this](Error stopped) {
        if (!stopped) accept();
    });
}

}  // namespace elmbay
