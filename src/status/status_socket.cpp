#include "status/status_socket.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

namespace elmbay {

namespace asio = boost::asio;
using local = asio::local::stream_protocol;
using Error = boost::system::error_code;

StatusSocket::StatusSocket(asio::io_context& io, const std::string& path, Tell tell)
    : acceptor_(io), path_(path), tell_(std::move(tell)) {
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
    acceptor_.listen(kMostConnections);
    accept();
}

StatusSocket::~StatusSocket() { ::unlink(path_.c_str()); }

void StatusSocket::accept() {
    acceptor_.async_accept([this](Error error, local::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error && *open_ < kMostConnections) {
            ++*open_;
            const auto peer = std::make_shared<local::socket>(std::move(socket));
            const auto text = std::make_shared<std::string>(tell_().dump() + "\n");
            asio::async_write(*peer, asio::buffer(*text),
                              [peer, text, open = open_](Error, std::size_t) { --*open; });
        }
        accept();
    });
}

}  // namespace elmbay
