// Tests StreamSocket, peek_socket_state() and the classification of socket errors while this process's own
// system calls fail.
#include "base/stream_socket.hpp"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>

#include "base/socket_failures.hpp"
#include "base/socket_state.hpp"
#include "faults.hpp"

namespace elmbay::test {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

struct StreamSocketTest : testing::Test {
    asio::io_context io{1};
    tcp::acceptor acceptor{io, {asio::ip::address_v4::loopback(), 0}};
    TcpSocket opened{io};      // the socket under test
    tcp::socket accepted{io};  // its peer

    ~StreamSocketTest() override { syscall_faults::configure(""); }
    void connect() {
        opened.connect(acceptor.local_endpoint());
        accepted = acceptor.accept();
        opened.non_blocking(true);
    }
    // Runs the event loop until no handler has run for 50 ms.
    void run_until_idle() {
        io.restart();
        while (io.run_one_for(std::chrono::milliseconds(50)) > 0) {
        }
    }

    // Runs the event loop until `condition` is true. Returns false if that takes longer than 10 s.
    template <class Condition>
    bool run_until(Condition condition) {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(100));
        }
        return condition();
    }
};

// Guards against waiting for EPOLLOUT after a short write. The socket's buffer has space all the time, so no
// edge is reported.
TEST_F(StreamSocketTest, ContinuesAfterShortWrites) {
    connect();
    syscall_faults::configure("send@out:SHORT=1");
    const std::string text(20000, 't');
    bool written = false;
    asio::async_write(opened, asio::buffer(text), [&](Error error, std::size_t size) {
        EXPECT_FALSE(error);
        EXPECT_EQ(size, text.size());
        written = true;
    });
    ASSERT_TRUE(run_until([&] { return written; }));
    std::string received(text.size(), '\0');
    asio::read(accepted, asio::buffer(received));
    EXPECT_EQ(received, text);
    EXPECT_GT(syscall_faults::failed_calls(0), 1U);
}

// The peer reads nothing until the socket's buffer is full, and then reads all data.
TEST_F(StreamSocketTest, WaitsForBufferSpaceAndContinuesWrite) {
    connect();
    syscall_faults::configure("send@out:SHORT=0.5 send@out:EINTR=0.5 recv@in:SHORT=0.5");
    const std::string text(16 << 20, 't');
    bool written = false;
    asio::async_write(opened, asio::buffer(text), [&](Error error, std::size_t) {
        EXPECT_FALSE(error);
        written = true;
    });
    run_until_idle();
    EXPECT_FALSE(written);
    std::string received(text.size(), '\0');
    bool read = false;
    asio::async_read(accepted, asio::buffer(received), [&](Error, std::size_t) { read = true; });
    ASSERT_TRUE(run_until([&] { return read && written; }));
    EXPECT_TRUE(received == text);
}

TEST_F(StreamSocketTest, AbortsWriteWhenSocketIsClosed) {
    connect();
    const std::string text(64 << 20, 't');
    Error result;
    bool ended = false;
    asio::async_write(opened, asio::buffer(text), [&](Error error, std::size_t) {
        result = error;
        ended = true;
    });
    run_until_idle();
    EXPECT_FALSE(ended);
    opened.close();
    ASSERT_TRUE(run_until([&] { return ended; }));
    EXPECT_EQ(result, asio::error::operation_aborted);
}

TEST_F(StreamSocketTest, CompletesInterruptedConnect) {
    syscall_faults::configure("connect:EINTR=x3");
    bool ended = false;
    opened.async_connect(acceptor.local_endpoint(), [&](Error error) {
        EXPECT_FALSE(error) << error.message();
        ended = true;
    });
    ASSERT_TRUE(run_until([&] { return ended; }));
    EXPECT_GT(syscall_faults::failed_calls(0), 0U);
    accepted = acceptor.accept();
    EXPECT_EQ(opened.remote_endpoint(), acceptor.local_endpoint());
}

TEST_F(StreamSocketTest, ReportsRefusedConnect) {
    const auto closed_endpoint = acceptor.local_endpoint();
    acceptor.close();
    Error result;
    bool ended = false;
    opened.async_connect(closed_endpoint, [&](Error error) {
        result = error;
        ended = true;
    });
    ASSERT_TRUE(run_until([&] { return ended; }));
    EXPECT_EQ(result, asio::error::connection_refused);
}

TEST_F(StreamSocketTest, RetriesInterruptedReadAndWrite) {
    connect();
    syscall_faults::configure("recv@out:EINTR=x3 send@out:EINTR=x3");
    Error error;
    EXPECT_EQ(opened.write_some(asio::buffer("there", 5), error), 5U);
    EXPECT_FALSE(error);
    asio::write(accepted, asio::buffer("back", 4));
    ASSERT_TRUE(run_until([&] { return opened.available() == 4; }));
    std::array<char, 8> received{};
    EXPECT_EQ(opened.read_some(asio::buffer(received), error), 4U);
    EXPECT_FALSE(error) << error.message();
    EXPECT_EQ(syscall_faults::failed_calls(0), 3U);
    EXPECT_EQ(syscall_faults::failed_calls(1), 3U);
}

// Signals never interrupt a call this often. The bound on retries keeps the event loop from spinning: the
// call reports would_block, and the loop calls it again later.
TEST_F(StreamSocketTest, ReportsWouldBlockAfterTooManyInterruptions) {
    connect();
    syscall_faults::configure("recv@out:EINTR=1 send@out:EINTR=1");
    asio::write(accepted, asio::buffer("back", 4));
    Error error;
    std::array<char, 8> received{};
    EXPECT_EQ(opened.read_some(asio::buffer(received), error), 0U);
    EXPECT_EQ(error, asio::error::would_block);
    EXPECT_EQ(opened.write_some(asio::buffer("there", 5), error), 0U);
    EXPECT_EQ(error, asio::error::would_block);
    EXPECT_EQ(peek_socket_state(opened.native_handle()), SocketState::interrupted);
}

TEST_F(StreamSocketTest, StateOfDistinguishesEndOfStreamFromInterruption) {
    connect();
    const int socket = opened.native_handle();
    syscall_faults::configure("recv@out:EINTR=x3");
    EXPECT_EQ(peek_socket_state(socket), SocketState::idle);
    asio::write(accepted, asio::buffer("x", 1));
    ASSERT_TRUE(run_until([&] { return opened.available() == 1; }));
    syscall_faults::configure("recv@out:EINTR=x3");
    EXPECT_EQ(peek_socket_state(socket), SocketState::readable);
    char byte = 0;
    opened.read_some(asio::buffer(&byte, 1));

    accepted.shutdown(tcp::socket::shutdown_send);
    ASSERT_TRUE(run_until([&] { return peek_socket_state(socket) != SocketState::idle; }));
    syscall_faults::configure("recv@out:EINTR=x3");
    EXPECT_EQ(peek_socket_state(socket), SocketState::peer_closed);
    EXPECT_EQ(syscall_faults::failed_calls(0), 3U);

    for (const char* error : {"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"}) {
        opened = TcpSocket(io);
        connect();
        syscall_faults::configure("recv@out:" + std::string(error) + "=x1");
        EXPECT_EQ(peek_socket_state(opened.native_handle()), SocketState::failed) << error;
    }
}

TEST(SocketFailure, IsClassifiedByCause) {
    const auto error = [](int number) { return Error(number, boost::system::system_category()); };
    EXPECT_EQ(classify_accept_error(error(EMFILE)), SocketFailure::process_limit);
    for (const int number : {ENFILE, ENOBUFS, ENOMEM}) {
        EXPECT_EQ(classify_accept_error(error(number)), SocketFailure::host_resources) << number;
    }
    for (const int number : {ECONNABORTED, EPROTO, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH,
                             EOPNOTSUPP, ENETUNREACH, EPERM, EINTR}) {
        EXPECT_EQ(classify_accept_error(error(number)), SocketFailure::connection) << number;
    }
    EXPECT_EQ(classify_connect_error(error(EMFILE)), SocketFailure::process_limit);
    for (const int number : {ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, EAGAIN, ENETUNREACH, ENETDOWN}) {
        EXPECT_EQ(classify_connect_error(error(number)), SocketFailure::host_resources) << number;
    }
    for (const int number : {ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ECONNRESET}) {
        EXPECT_EQ(classify_connect_error(error(number)), SocketFailure::connection) << number;
    }
}

}  // namespace
}  // namespace elmbay::test
