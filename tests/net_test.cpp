// The real sidecar over loopback sockets: one test for each thing that can go
// wrong between them.
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <thread>

#include "net_rig.hpp"
#include "pool_rig.hpp"

namespace elmbay::test {

namespace {

TEST(Requests, AreServedWithTheServersBodyOnAKeptConnection) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    for (int i = 1; i <= 3; ++i) {
        client->got.clear();
        client->send(NetRig::request("unsafe"));
        ASSERT_TRUE(rig.until([&] { return server.requests() == static_cast<std::size_t>(i); }));
        EXPECT_NE(server.last().got.find("POST /api?a=b HTTP/1.1"), std::string::npos);
        EXPECT_NE(server.last().got.find("X-Correlation-Id: id-"), std::string::npos);
        EXPECT_NE(server.last().got.find("X-Time-Left: "), std::string::npos);
        server.last().respond("200 OK", "answer");
        ASSERT_TRUE(rig.until([&] { return client->got.find("answer") != std::string::npos; }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
    }
    EXPECT_EQ(server.peers.size(), 1U) << "one connection serves them in turn";
    EXPECT_TRUE(rig.until([&] { return rig.sidecar->requests() == 0; }));
}

TEST(Requests, UpAnswersOnceAServerIsKnown) {
    NetRig rig;
    rig.config["known"]["targets"] = Json::array();
    rig.start();
    const auto client = rig.client();
    client->send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(rig.until([&] { return !client->got.empty(); }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 503");
    rig.watch_begins();
    const std::string whole = rig.line(rig.targets(), true);
    rig.chunk("\n" + whole.substr(0, 20));  // a heartbeat, and a list in two pieces
    rig.settle();
    rig.chunk(whole.substr(20));
    ASSERT_TRUE(rig.until([&] {
        client->got.clear();
        client->send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        return rig.until([&] { return client->got.size() > 12; }) && status_of(*client) == "HTTP/1.1 200";
    }));
}

TEST(Requests, BadOnesAreAnsweredAndReachNoServer) {
    NetRig rig;
    rig.start();
    const std::vector<std::pair<std::string, std::string>> cases{
        {"nonsense\r\n\r\n", "HTTP/1.1 400"},
        {"GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 404"},
        {"GET /api HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 400"},
        {"POST /api HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: "
         "1\r\nContent-Length: 300000\r\n\r\n",
         "HTTP/1.1 413"}};
    for (const auto& [text, status] : cases) {
        const auto client = rig.client();
        client->send(text);
        ASSERT_TRUE(rig.until([&] { return client->got.size() > 12; })) << text;
        EXPECT_EQ(status_of(*client), status) << text;
    }
    EXPECT_EQ(rig.servers.front().requests(), 0U);
}

std::string api(const std::string& method, const std::string& headers, const std::string& body = "") {
    return method + " /api HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}
const std::string kSafe = "X-Service-Class: safe\r\nX-Time-Left: 50000m\r\n";
const std::string kUnsafe = "X-Service-Class: unsafe\r\nX-Time-Left: 50000m\r\n";
const std::string kKeyed = "X-Service-Class: keyed\r\nX-Time-Left: 50000m\r\n";

// Whoever sends these is not the application that the settings describe: a guess at what is meant could run
// something twice, and what is passed on takes a server's time from the others.
TEST(Requests, WhatCantBeUsedIsAnsweredHereAndNeverSentOn) {
    const std::string id = "X-Correlation-Id: 1\r\n", four = "Content-Length: 4\r\n";
    const std::vector<std::string> cases{
        api("GET", id + "X-Service-Class: strange\r\nX-Time-Left: 50000m\r\n"),
        api("GET", id + "X-Time-Left: 50000m\r\n"),
        api("GET", id + "X-Service-Class: safe\r\n"),
        api("GET", id + "X-Service-Class: safe\r\nX-Time-Left: soon\r\n"),
        api("GET", id + "X-Service-Class: safe\r\nX-Time-Left: -5m\r\n"),
        api("GET", id + kSafe + "X-Time-Left: 50000m\r\n"),
        api("GET", id + kSafe + "X-Correlation-Id: 2\r\n"),
        api("GET", id + kSafe + "Content-Length: 4\r\n", "body"),
        api("GET", id + kSafe + "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        api("POST", id + kSafe + four, "body"),
        api("GET", id + kUnsafe),
        api("POST", id + kKeyed + four, "body"),
        api("POST", id + kKeyed + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n" + four, "body"),
        api("POST", id + kUnsafe + "Idempotency-Key: a\r\n" + four, "body"),
        api("PUT", id + kUnsafe + four, "body"),
        api("GET", "X-Correlation-Id: " + std::string(300, 'x') + "\r\n" + kSafe)};
    NetRig rig;
    rig.start();
    for (const std::string& text : cases) {
        const auto client = rig.client();
        client->send(text);
        ASSERT_TRUE(rig.until([&] { return client->got.size() > 12; })) << text;
        EXPECT_EQ(status_of(*client).substr(0, 10), "HTTP/1.1 4") << text;
    }
    EXPECT_EQ(rig.sidecar->requests(), 0U);
    EXPECT_EQ(rig.servers.front().requests(), 0U);
}

// One request hides in another's body where two readers differ on where that ends. Every mixture is turned
// away and the connection ended; none of it may reach a server.
TEST(Requests, FramingThatContradictsItselfIsTurnedAway) {
    const std::string hidden = "GET /api?hidden HTTP/1.1\r\nX-Correlation-Id: 2\r\n" + kSafe + "\r\n";
    for (const std::string& framing :
         {std::string("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
          std::string("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
          std::string("Content-Length: 4\r\nTransfer-Encoding: identity\r\n"),
          std::string("Transfer-Encoding: identity\r\nContent-Length: 4\r\n"),
          std::string("Content-Length: 4\r\nTransfer-Encoding: gzip, chunked\r\n"),
          std::string("Transfer-Encoding: gzip, chunked\r\n"),
          std::string("Transfer-Encoding: chunked, identity\r\n"),
          std::string("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
          std::string("Transfer-Encoding: identity\r\n"), std::string("Transfer-Encoding: xchunked\r\n"),
          std::string("Content-Length: 4\r\nContent-Length: 4\r\n"),
          std::string("Content-Length: 4\r\nContent-Length: 0\r\n"), std::string("Content-Length: 4, 4\r\n"),
          std::string("Content-Length: -4\r\n"), std::string("Content-Length: +4\r\n"),
          std::string("Content-Length: 0x4\r\n"), std::string("Content-Length: 18446744073709551620\r\n")}) {
        NetRig rig;
        rig.start();
        const auto client = rig.client();
        client->send(api("POST", "X-Correlation-Id: 1\r\n" + kUnsafe + framing, "0\r\n\r\n" + hidden));
        ASSERT_TRUE(rig.until([&] { return client->closed; })) << framing;
        EXPECT_EQ(status_of(*client).substr(0, 10), "HTTP/1.1 4") << framing;
        EXPECT_EQ(client->got.find("HTTP/1.1", 1), std::string::npos) << "one answer: " << framing;
        EXPECT_EQ(rig.servers.front().requests(), 0U) << framing;
    }
}

// An id names one request. Somebody else's with the same one must not go out beside it, nor right after it,
// while the first may still run at a server.
TEST(Requests, AnIdThatIsInWorkOrJustWasIsTurnedAway) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto first = rig.client(), second = rig.client();
    const std::string request = NetRig::request("safe");
    first->send(request);
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    second->send(request);
    ASSERT_TRUE(rig.until([&] { return second->got.size() > 12; }));
    EXPECT_EQ(status_of(*second), "HTTP/1.1 409");
    server.last().respond("200 OK", "answer");
    ASSERT_TRUE(rig.until([&] { return first->got.find("answer") != std::string::npos; }));
    const auto third = rig.client();
    third->send(request);
    ASSERT_TRUE(rig.until([&] { return third->got.size() > 12; }));
    EXPECT_EQ(status_of(*third), "HTTP/1.1 409");
    EXPECT_EQ(server.requests(), 1U);
}

// No usual client sends before its answer has begun. At once or later: none of it is served.
TEST(Requests, PipeliningIsTurnedAway) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto together = rig.client();
    together->send(NetRig::request("safe") + NetRig::request("safe"));
    ASSERT_TRUE(rig.until([&] { return together->closed; }));
    EXPECT_EQ(status_of(*together), "HTTP/1.1 400");
    EXPECT_EQ(server.requests(), 0U);
    const auto later = rig.client();
    later->send(NetRig::request("safe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    later->send(NetRig::request("safe"));
    ASSERT_TRUE(rig.until([&] { return later->closed && server.last().closed; }));
    EXPECT_EQ(status_of(*later), "HTTP/1.1 400");
    EXPECT_EQ(later->got.find("HTTP/1.1", 1), std::string::npos) << "one answer";
    EXPECT_EQ(server.requests(), 1U);
}

// What a client writes beside what the protocol names stays here.
TEST(Requests, AreBuiltAnewForTheServer) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    client->send(NetRig::request("keyed", "50000m",
                                 "Cookie: obj=7\r\nX-Facts: a=1\r\nX-Strange: 1\r\nConnection: X-Other\r\n"
                                 "X-Other: 2\r\nExpect: 100-continue\r\nX-Unprocessed: 1\r\n"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    const std::string& got = server.last().got;
    for (const char* kept : {"POST /api?a=b HTTP/1.1", "X-Correlation-Id: id-", "Idempotency-Key: k",
                             "X-Service-Class: keyed", "Cookie: obj=7", "X-Facts: a=1", "Content-Length: 4"})
        EXPECT_NE(got.find(kept), std::string::npos) << kept;
    for (const char* dropped : {"X-Strange", "X-Other", "Expect", "X-Unprocessed", "Connection"})
        EXPECT_EQ(got.find(dropped), std::string::npos) << dropped;
}

TEST(Requests, TimeLeftHasAUnit) {
    EXPECT_EQ(parse_time_left("480m"), 480.0);
    EXPECT_EQ(parse_time_left("1500u"), 1.5);
    for (const char* bad : {"", "m", "480", "480s", "-5m", "nanm", "4 m", "1e999m"})
        EXPECT_FALSE(parse_time_left(bad)) << bad;
}

struct End {
    const char* response;  // nullptr: a reset
    bool may_have_run;
};

// After an outcome that may have run an unsafe request fails; after one that
// proves it never ran it goes out again.
TEST(Attempts, OnlyAMarkedAnswerProvesThatItNeverRan) {
    for (const End& end :
         {End{"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", false},
          End{"HTTP/1.1 504 Over\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", false},
          End{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", true},
          End{"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", true},
          End{"HTTP/1.1 418 Teapot\r\nX-Unprocessed: 1\r\nContent-Length: "
              "0\r\n\r\n",
              true},
          End{"nonsense\r\n\r\n", true}, End{"HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n", true},
          End{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody", true},
          End{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true}, End{nullptr, true}}) {
        SCOPED_TRACE(end.response ? end.response : "reset");
        NetRig rig;
        rig.start();
        auto& server = rig.servers.front();
        const auto client = rig.client();
        client->send(NetRig::request("unsafe"));
        ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
        const auto first = server.peers.back();
        end.response ? first->send(end.response) : first->reset();
        if (end.may_have_run) {
            ASSERT_TRUE(rig.until([&] { return client->got.size() > 12; }));
            EXPECT_EQ(status_of(*client), "HTTP/1.1 502");
            EXPECT_EQ(server.requests(), 1U);
        } else {
            ASSERT_TRUE(rig.until([&] { return server.requests() == 2; }));
            server.last().respond("200 OK", "answer");
            ASSERT_TRUE(rig.until([&] { return client->got.find("answer") != std::string::npos; }));
        }
    }
}

// A break midway is the attempt's end and not the client's: nothing of a half
// answer is passed on.
TEST(Attempts, AHalfAnswerIsNotPassedOn) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    client->send(NetRig::request("safe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    const auto first = server.peers.back();
    first->send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    rig.settle();
    EXPECT_EQ(client->got, "");
    first->close();
    ASSERT_TRUE(rig.until([&] { return server.requests() == 2; }));
    server.last().respond("200 OK", "whole");
    ASSERT_TRUE(rig.until([&] { return client->got.find("whole") != std::string::npos; }));
    EXPECT_EQ(client->got.find("half"), std::string::npos);
}

// Each is spoilt, or can't be told from one that is, and shows it before the deadline: a failed attempt at
// once, and nothing of it goes to the client.
TEST(Attempts, SpoiltAnswersEndAtOnceAndAreNotPassedOn) {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    for (const std::string& spoilt :
         {std::string("\x89\x8f\x06 noise \xa2\r\n\r\n"),
          std::string("ICY 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
          std::string("HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nbody"),
          ok + "no colon here\r\nContent-Length: 4\r\n\r\nbody",
          ok + "Content-Length: -1\r\nContent-Length: 4\r\n\r\nbody",
          ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
          ok + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
          ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody",
          ok + "Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nbody",
          ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nzz\r\nbody\r\n0\r\n\r\n",
          ok + "Transfer-Encoding: chunked\r\n\r\n" + std::string(200000, '1'),
          ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + std::string(200000, 'x'),
          ok + "X-Pad: " + std::string(200000, 'p'), ok + "Content-Length: 3000000000\r\n\r\nbody",
          ok + "Content-Length: 2\r\n\r\nbody",
          ok + "Content-Length: 2\r\n\r\nboHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody"}) {
        SCOPED_TRACE(spoilt.substr(0, 120));
        NetRig rig;
        rig.start();
        auto& server = rig.servers.front();
        const auto client = rig.client();
        client->send(NetRig::request("unsafe"));
        ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
        server.last().send(spoilt);
        ASSERT_TRUE(rig.until([&] { return client->got.size() > 12; }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 502");
        ASSERT_TRUE(rig.until([&] { return server.last().closed; })) << "its connection is of no further use";
        EXPECT_EQ(client->got.find("body"), std::string::npos);
    }
}

// 1xx ahead of an answer and a second copy behind it don't spoil it; that copy is not the next request's
// answer.
TEST(Attempts, GoodAnswersMayBringMoreThanTheirOwn) {
    const auto answer = [](const std::string& body) {
        return "HTTP/1.1 200 OK\r\nX-Backend-Load: {\"\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    };
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    const auto ask = [&](const std::string& with, const std::string& expected) {
        client->got.clear();
        const std::size_t before = server.requests();
        client->send(NetRig::request("unsafe"));
        ASSERT_TRUE(rig.until([&] { return server.requests() == before + 1; }));
        server.last().send(with);
        ASSERT_TRUE(rig.until([&] { return client->got.find("\r\n\r\n" + expected) != std::string::npos; }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
    };
    ask("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + answer("first"),
        "first");
    EXPECT_EQ(server.peers.size(), 1U);
    ask(answer("second") + answer("second"), "second");
    ask(answer("third"), "third");
    EXPECT_EQ(server.peers.size(), 2U) << "a connection with bytes left over takes no request";
    std::string ahead;
    for (int i = 0; i < 20; ++i) ahead += "HTTP/1.1 102 Processing\r\n\r\n";
    client->got.clear();
    client->send(NetRig::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 4; }));
    server.last().send(ahead + answer("fourth"));
    ASSERT_TRUE(rig.until([&] { return client->got.size() > 12; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 502") << "a server has a few to say, not twenty";
}

// Bytes that come while a connection is idle, also if the loop has not seen them when the next request comes,
// must not be taken for that one's answer.
TEST(Attempts, WhatComesOnAnIdleConnectionAnswersNobody) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    for (const bool seen : {true, false}) {
        const std::size_t before = server.requests();
        const auto client = rig.client();
        client->send(NetRig::request("unsafe"));
        ASSERT_TRUE(rig.until([&] { return server.requests() == before + 1; }));
        server.last().respond("200 OK", "mine");
        ASSERT_TRUE(rig.until([&] { return client->got.find("mine") != std::string::npos; }));
        client->got.clear();
        // Unseen: the request comes to the loop first, with the copy behind it in the same turn.
        if (!seen) client->send(NetRig::request("unsafe"));
        server.last().respond("200 OK", "a late copy");
        if (seen) {
            rig.settle();
            client->send(NetRig::request("unsafe"));
        }
        ASSERT_TRUE(rig.until([&] { return server.requests() == before + 2; }));
        server.last().respond("200 OK", "the next");
        ASSERT_TRUE(rig.until([&] { return client->got.find("the next") != std::string::npos; }));
        EXPECT_EQ(client->got.find("a late copy"), std::string::npos);
    }
}

// A pooled connection that the server has closed must not get a request: it
// would be a reset, and an unsafe request would fail for nothing.
TEST(Attempts, AStalePooledConnectionIsNotUsed) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    for (const bool seen : {true, false}) {
        const auto client = rig.client();
        const std::size_t before = server.requests();
        client->send(NetRig::request("unsafe"));
        ASSERT_TRUE(rig.until([&] { return server.requests() == before + 1; }));
        server.last().respond("200 OK", "first");
        ASSERT_TRUE(rig.until([&] { return client->got.find("first") != std::string::npos; }));
        server.peers.back()->close();
        if (seen)
            rig.settle();  // else the loop has not seen the end when the next request
                           // comes
        client->got.clear();
        client->send(NetRig::request("unsafe"));
        ASSERT_TRUE(rig.until([&] { return server.requests() == before + 2; }));
        server.last().respond("200 OK", "second");
        ASSERT_TRUE(rig.until([&] { return client->got.find("second") != std::string::npos; }));
        server.peers.back()->close();
        rig.settle();
    }
}

TEST(Attempts, RefusedConnectionsNeverRan) {
    NetRig rig(2);
    rig.servers.front().acceptor.close();
    rig.start();
    auto& server = rig.servers.back();
    for (std::size_t i = 1; i <= 4; ++i) {  // whichever is drawn first
        const auto client = rig.client();
        client->send(NetRig::request("unsafe"));
        ASSERT_TRUE(rig.until([&] { return server.requests() == i; }));
        server.last().respond("200 OK", "answer");
        ASSERT_TRUE(rig.until([&] { return client->got.find("answer") != std::string::npos; }));
    }
}

// The client's time runs out: the connection to the server is closed, the
// client hears of it in time, once.
TEST(Attempts, ATimeOutClosesTheConnectionAndAnswersTheClient) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    client->send(NetRig::request("unsafe", "1500m"));
    ASSERT_TRUE(rig.until([&] { return client->got.size() > 12; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 504");
    ASSERT_TRUE(rig.until([&] { return server.last().closed; }));
    EXPECT_EQ(server.requests(), 1U);
    EXPECT_EQ(client->got.find("HTTP/1.1", 1), std::string::npos) << "one answer";
    EXPECT_TRUE(rig.until([&] { return rig.sidecar->requests() == 0; }));
}

TEST(Clients, LeavingIsNoticedWhileTheRequestIsInWork) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    client->send(NetRig::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    client->close();
    ASSERT_TRUE(rig.until([&] { return server.last().closed && rig.sidecar->requests() == 0; }));
}

// Silent or slow, from the connection on: an error while the client may still be waiting, and the socket is
// free again.
TEST(Clients, WhoNeverAsksOrNeverEndsIsToldSo) {
    NetRig rig;
    rig.start();
    const auto silent = rig.client(), slow = rig.client(), half = rig.client();
    slow->send("GET /api HTTP/1.1\r\nHost: h\r\nX-Slow: ");
    half->send(api("POST", "X-Correlation-Id: 1\r\n" + kUnsafe + "Content-Length: 400\r\n", "half"));
    for (const auto& client : {silent, slow, half}) {
        ASSERT_TRUE(rig.until([&] { return client->closed; }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 408");
    }
    EXPECT_EQ(rig.servers.front().requests(), 0U);
}

// Some ask once and keep their connection for good: it must not stay open for good here.
TEST(Clients, IdleConnectionsGoAfterAWhile) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    client->send(NetRig::request("safe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    server.last().respond("200 OK", "answer");
    ASSERT_TRUE(rig.until([&] { return client->closed; }));
    EXPECT_NE(client->got.find("answer"), std::string::npos);
    EXPECT_EQ(client->got.find("HTTP/1.1", 1), std::string::npos)
        << "closed between requests, without a word";
}

// A refused body is not taken whole: the client reads its answer, or the connection ends.
TEST(Clients, RefusedBodiesAreNotTaken) {
    NetRig rig;
    rig.start();
    const auto client = rig.client();
    client->send(api("POST", "X-Correlation-Id: 1\r\n" + kUnsafe + "Content-Length: 60000000\r\n"));
    ASSERT_TRUE(rig.until([&] { return client->got.size() > 12; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 413");
    const auto text = std::make_shared<const std::string>(60000000, 'x');
    bool ended = false;
    std::size_t sent = 0;
    asio::async_write(client->socket, asio::buffer(*text),
                      [&ended, &sent, text](boost::system::error_code error, std::size_t n) {
                          ended = bool(error);
                          sent = n;
                      });
    ASSERT_TRUE(rig.until([&] { return ended; }));
    EXPECT_LT(sent, 30000000U);
}

// Told that the server is leaving while the attempt waits for its connection:
// it must not go out any more.
TEST(Drains, NothingNewGoesToAServerThatIsLeaving) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    client->send(NetRig::request("safe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    const auto first = server.peers.back();
    rig.watch_begins();
    rig.chunk(rig.line(rig.targets("leaving"), false));
    rig.settle();
    first->respond("200 OK", "finished");  // what it has is finished
    ASSERT_TRUE(rig.until([&] { return client->got.find("finished") != std::string::npos; }));
    ASSERT_TRUE(rig.until([&] { return first->closed; })) << "it keeps no idle connection";
    client->got.clear();
    client->send(NetRig::request("safe", "1000m"));
    ASSERT_TRUE(rig.until([&] { return client->got.size() > 12; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 503") << "nobody may have it: refused";
    EXPECT_NE(client->got.find("Retry-After: "), std::string::npos) << "and told when to come back";
    EXPECT_EQ(server.requests(), 1U);
}

// Told between the attempt's start and its connection being up: not a byte may
// go out any more.
TEST(Drains, AnAttemptWaitingForItsConnectionStaysIn) {
    PoolRig rig(10);
    rig.send();
    rig.tell(false);
    rig.run_until_ended();
    EXPECT_EQ(rig.ended, std::vector<Outcome>{Outcome::not_sent});
    while (rig.server.peers.empty() || !rig.server.last().closed)
        ASSERT_GT(rig.io.run_one_for(std::chrono::seconds(60)), 0U);
    EXPECT_EQ(rig.server.last().got, "");
}

TEST(Limits, AnAttemptWithoutASocketNeverRan) {
    PoolRig rig(0);
    rig.send();
    rig.run_until_ended();
    EXPECT_EQ(rig.ended, std::vector<Outcome>{Outcome::not_sent});
}

TEST(Discovery, BrokenDataLeavesTheOldListAndIsAskedForAgain) {
    NetRig rig;
    rig.start();
    EXPECT_NE(rig.discovery.last().got.find("GET /discovery/hosts?stream=1&index=1 "), std::string::npos);
    rig.watch_begins();
    rig.chunk("{\"rev\":2,\"all\":true,\"targets\":[{\n");
    ASSERT_TRUE(rig.until([&] { return rig.discovery.requests() == 2; }));
    EXPECT_NE(rig.discovery.last().got.find("GET /discovery/hosts "), std::string::npos) << "the whole list";
    rig.discovery.last().respond("200 OK", rig.line(rig.targets(), true));
    ASSERT_TRUE(rig.until([&] { return rig.discovery.requests() == 3; }));
    EXPECT_NE(rig.discovery.last().got.find("stream=1&index=2 "), std::string::npos) << "goes on from there";
    const auto client = rig.client();
    client->send(NetRig::request("safe"));
    ASSERT_TRUE(rig.until([&] { return rig.servers.front().requests() == 1; })) << "the list is in force";
}

// The list tells of a new server at an address before it tells that the old one there has gone. What went to
// the old one's name would reach the new one, which is cold: it gets what a cold one may have.
TEST(Discovery, ANewServerAtAnOldAddressTakesItOver) {
    NetRig rig;
    rig.config["settings"]["rules"] = {
        {"cold-from", 0.2}, {"warm-within-ms", 600000.0}, {"fall-multiple", 2.5}};
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    client->send(NetRig::request("safe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    server.last().respond("200 OK", "answer");
    ASSERT_TRUE(rig.until([&] { return client->got.find("answer") != std::string::npos; }));
    rig.watch_begins();
    Json fresh = NetRig::target(1, server.address());
    fresh["boot_ms"] = std::floor(Clock().now());
    rig.chunk(rig.line(Json::array({fresh}), false));
    ASSERT_TRUE(rig.until([&] { return server.last().closed; })) << "the old one's connections are of no use";
    client->got.clear();
    client->send(NetRig::request("safe", "1000m"));
    ASSERT_TRUE(rig.until([&] { return client->got.size() > 12; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 503") << "one just started takes next to nothing";
    EXPECT_EQ(server.requests(), 1U);
}

// Of servers that the list calls unlike, the small one gets little, and what is no size counts as none told.
TEST(Discovery, AServersSizeIsHeeded) {
    NetRig rig(2);
    rig.config["known"]["targets"][0]["capacity_hint"] = 0.25;
    rig.config["known"]["targets"][1]["capacity_hint"] = 16.0;
    rig.start();
    auto &small = rig.servers.front(), &large = rig.servers.back();
    const auto client = rig.client();
    for (std::size_t i = 1; i <= 20; ++i) {
        client->got.clear();
        client->send(NetRig::request("safe"));
        ASSERT_TRUE(rig.until([&] { return small.requests() + large.requests() == i; }));
        for (FakeServer* server : {&small, &large})
            for (const auto& peer : server->peers)
                while (peer->answered < peer->requests()) ++peer->answered, peer->respond("200 OK", "answer");
        ASSERT_TRUE(rig.until([&] { return client->got.find("answer") != std::string::npos; }));
    }
    EXPECT_EQ(small.requests(), 0U) << "by count alone it would be half of them";
    for (const double nonsense : {0.0, -3.0, std::nan(""), std::numeric_limits<double>::infinity()})
        EXPECT_EQ(balancer::sanitize_weight(nonsense), 1) << nonsense;
    EXPECT_EQ(balancer::sanitize_weight(1e300), 1000);
    EXPECT_EQ(balancer::sanitize_weight(1e-300), 0.001);
}

TEST(Discovery, AServerThatMovesIsReachedAtItsNewAddress) {
    NetRig rig(1);
    rig.start();
    rig.watch_begins();
    FakeServer moved(rig.io);
    rig.chunk(rig.line(Json::array({NetRig::target(0, moved.address())}), false));
    rig.settle();
    const auto client = rig.client();
    client->send(NetRig::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return moved.requests() + rig.servers.front().requests() == 1; }));
    EXPECT_EQ(moved.requests(), 1U);
}

// A new configuration moves discovery while a request is in work: the new address is asked for the whole list
// at once, the old one is left, the old list and the request go on.
TEST(Reload, GoesToTheNewDiscoveryAndKeepsTheOldListMeanwhile) {
    NetRig rig;
    rig.start();
    rig.watch_begins();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    client->send(NetRig::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    FakeServer moved(rig.io), joined(rig.io);
    rig.config["discovery"] = moved.address();
    rig.sidecar->reload(parse_config(rig.config.dump()));
    ASSERT_TRUE(rig.until([&] { return moved.requests() == 1 && rig.discovery.last().closed; }));
    EXPECT_NE(moved.last().got.find("GET /discovery/hosts "), std::string::npos) << "the whole list";
    const auto second = rig.client();
    second->send(NetRig::request("safe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 2; })) << "by the old list";
    for (const auto& peer : server.peers) peer->respond("200 OK", "answer");
    for (const auto& c : {client, second})
        ASSERT_TRUE(rig.until([&] { return c->got.find("answer") != std::string::npos; }));
    rig.rev = 0;  // the new one counts from its own start
    moved.last().respond("200 OK", rig.line(Json::array({NetRig::target(7, joined.address())}), true));
    ASSERT_TRUE(rig.until([&] { return moved.requests() == 2; }));
    EXPECT_NE(moved.last().got.find("stream=1&index=1 "), std::string::npos);
    client->got.clear();
    client->send(NetRig::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return joined.requests() == 1; })) << "by the new list";
}

// The environment still names the discovery of the start: after a reload the file is right.
TEST(Reload, TheFilesDiscoveryWinsAndABadFileIsRefused) {
    NetRig rig;
    const std::string path = testing::TempDir() + "elmbay-reload-" + std::to_string(::getpid()) + ".json";
    const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
    const auto get = [&](const char* name) -> const char* {
        if (name == std::string("RELAY_CONFIG")) return path.c_str();
        return name == std::string("RELAY_DISCOVERY") ? "127.0.0.1:9" : nullptr;
    };
    write(rig.config.dump());
    EXPECT_EQ(text_of(load_config(get).discovery), "127.0.0.1:9");
    EXPECT_EQ(text_of(reload_config(get).discovery), rig.discovery.address());
    write(rig.config.dump().substr(0, 40));
    EXPECT_THROW(reload_config(get), ConfigError);
    std::remove(path.c_str());
}

// A callback that throws ends the loop's run, which main takes up again: the other timers must still fire.
TEST(Timers, FireAlsoAfterOneThatThrew) {
    asio::io_context io(1);
    const Clock clock;
    TimerQueue timers(io, clock);
    bool fired = false;
    timers.set(clock.now(), [] { throw std::runtime_error("trouble"); });
    timers.set(clock.now() + 1, [&] { fired = true; });
    EXPECT_THROW(io.run(), std::runtime_error);
    io.run_for(std::chrono::seconds(60));
    EXPECT_TRUE(fired);
}

// SIGTERM: what was taken is finished, new connections are served for a while,
// then all is closed.
TEST(Shutdown, FinishesWhatWasTakenAndServesLateComers) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto early = rig.client(), idle = rig.client();
    early->send(NetRig::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    bool done = false;
    rig.sidecar->drain([&] { done = true; });
    const auto late = rig.client();
    late->send(NetRig::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 2; }));
    ASSERT_TRUE(rig.until([&] { return idle->closed; }));
    EXPECT_FALSE(done);
    for (const auto& peer : server.peers) peer->respond("200 OK", "answer");
    for (const auto& client : {early, late}) {
        ASSERT_TRUE(rig.until([&] { return client->closed; }));
        EXPECT_NE(client->got.find("answer"), std::string::npos);
        EXPECT_NE(client->got.find("Connection: close"), std::string::npos);
    }
    EXPECT_TRUE(rig.until([&] { return done; }));
}

// Sends so many requests, one after another; `bad` fails each of its own, the others serve. Gives how many
// attempts bad got, -1 if anything went unanswered.
int ask(
    NetRig& rig, int requests, FakeServer& bad, const std::function<bool()>& enough = [] { return false; }) {
    std::size_t failed = 0;
    for (int i = 0; i < requests && !enough(); ++i) {
        const auto client = rig.client();
        client->send(NetRig::request("safe"));
        std::map<const Peer*, std::size_t> answered;
        const bool served = rig.until([&] {
            for (FakeServer& s : rig.servers)
                for (const auto& peer : s.peers)
                    while (!peer->closed && peer->answered < peer->requests()) {
                        ++peer->answered;
                        if (&s == &bad) ++failed;
                        &s == &bad ? peer->respond("500 Broken") : peer->respond("200 OK", "answer");
                    }
            return client->got.find("answer") != std::string::npos;
        });
        if (!served) return -1;
    }
    return static_cast<int>(failed);
}

// A life whose whole list names the servers the other way round from the short, old one that it starts with:
// they get other numbers than in a life before.
struct NextLife : NetRig {
    explicit NextLife(std::optional<Sidecar::RestoredState> remembered) : NetRig(5) {
        Json all = targets(), known = all;
        known.erase(4);
        config["known"]["targets"] = known;
        start(std::move(remembered));
        watch_begins();
        std::reverse(all.begin(), all.end());
        chunk(line(all, true));
        EXPECT_TRUE(until([&] { return sidecar->snapshot().uids.size() == 5; }));
    }
};

// What was learned goes by name.
TEST(Memory, TheNextLifeKeepsAwayFromAServerThatFailedInThisOne) {
    NetRig first(5);
    first.start();
    const auto removed = [](const NetRig& rig) {
        const state::Snapshot s = rig.sidecar->snapshot();
        for (std::size_t i = 0; i < s.uids.size(); ++i)
            if (s.uids[i] == "s-4" && s.learned_state.servers[i].ejection_remaining_ms) return true;
        return false;
    };
    ASSERT_GT(ask(first, 400, first.servers.back(), [&] { return removed(first); }), 0);
    ASSERT_TRUE(removed(first));
    const state::Snapshot learned = first.sidecar->snapshot();
    EXPECT_EQ(learned.instance, "n");
    EXPECT_EQ(learned.uids.size(), 5U);

    NextLife remembers(Sidecar::RestoredState{learned, 100});
    EXPECT_TRUE(removed(remembers));
    EXPECT_EQ(ask(remembers, 60, remembers.servers.back()), 0);
    NextLife blind({});
    EXPECT_GT(ask(blind, 60, blind.servers.back()), 0);
}

// At the limit of descriptors idle connections go, and accepting goes on.
TEST(Limits, IdleConnectionsMakeRoomForNewOnes) {
    NetRig rig;
    rig.config["limits"]["sockets"] = 24 + 12;
    rig.start();
    auto& server = rig.servers.front();
    std::vector<std::shared_ptr<Peer>> clients;
    for (std::size_t i = 1; i <= 40; ++i) {
        clients.push_back(rig.client());
        clients.back()->send(NetRig::request("safe"));
        ASSERT_TRUE(rig.until([&] { return server.requests() == i; }));
        server.last().respond("200 OK", "answer");
        ASSERT_TRUE(rig.until([&] { return clients.back()->got.find("answer") != std::string::npos; }));
    }
}

// All sockets in work: accepting waits, and goes on when one of them becomes
// idle, though none was closed. The servers keep a part of the sockets, else
// every request would find itself without one.
TEST(Limits, AcceptingGoesOnAfterAllSocketsWereInWork) {
    NetRig rig;
    rig.config["limits"]["sockets"] = 24 + 16;
    rig.start();
    auto& server = rig.servers.front();
    std::vector<std::shared_ptr<Peer>> clients;
    for (int i = 0; i < 30; ++i) {
        clients.push_back(rig.client());
        clients.back()->send(NetRig::request("safe"));
    }
    std::vector<std::size_t> answered;
    const auto served = [&] {
        for (const auto& p : server.peers) {
            answered.resize(server.peers.size());
            std::size_t& done = answered[&p - server.peers.data()];
            for (; done < p->requests(); ++done) p->respond("200 OK", "answer");
        }
        return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->got.size() > 12; });
    };
    ASSERT_TRUE(rig.until(served));
    for (const auto& c : clients)
        EXPECT_TRUE(status_of(*c) == "HTTP/1.1 200" || status_of(*c) == "HTTP/1.1 503") << c->got;
    EXPECT_GT(server.requests(), 4U);
}

// With every place taken, those that came next waited in the kernel's queue: for tens of milliseconds in a
// rush, and without an answer where that took longer than their time.
TEST(Limits, WhoComesWhenEveryPlaceIsTakenIsToldAtOnce) {
    NetRig rig;
    rig.config["limits"]["sockets"] = 24 + 20;
    rig.start();
    auto& server = rig.servers.front();
    std::vector<std::shared_ptr<Peer>> clients;
    for (int i = 0; i < 60; ++i) {
        clients.push_back(rig.client());
        clients.back()->send(NetRig::request("unsafe"));
    }
    const auto answered = [&] {
        return std::count_if(clients.begin(), clients.end(), [](const auto& c) { return !c->got.empty(); });
    };
    ASSERT_TRUE(rig.until([&] { return answered() == 54 && server.requests() == 6; }))
        << answered() << " answered, " << server.requests() << " in work";
    for (const auto& c : clients)
        if (!c->got.empty()) {
            EXPECT_EQ(status_of(*c), "HTTP/1.1 503");
        }
}

// A client's time runs from when it sent its request, also while that lies in the kernel because this process
// has no socket or no core for it.
TEST(Requests, TimeInTheKernelIsTheClientsTime) {
    NetRig rig;
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    client->send(NetRig::request("unsafe", "50000m"));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));  // the fault: nobody runs the sidecar
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    const std::string told = server.last().got;
    const std::size_t at = told.find("X-Time-Left: ");
    ASSERT_NE(at, std::string::npos) << told;
    EXPECT_LT(std::stod(told.substr(at + 13)) / 1000, 50000 - 400 + 20)
        << "its tick is 10 ms at the coarsest";
}

// A flood of clients that say nothing takes neither the warm connections to servers nor the place of those
// that ask.
TEST(Limits, SilentClientsGoFirstAndServersKeepTheirSockets) {
    NetRig rig;
    rig.config["limits"]["sockets"] = 24 + 24;
    rig.start();
    auto& server = rig.servers.front();
    const auto kept = rig.client();
    const auto ask = [&](const std::shared_ptr<Peer>& client) {
        client->got.clear();
        const std::size_t before = server.requests();
        client->send(NetRig::request("unsafe"));
        ASSERT_TRUE(rig.until([&] { return server.requests() == before + 1; }));
        server.last().respond("200 OK", "answer");
        ASSERT_TRUE(rig.until([&] { return client->got.find("answer") != std::string::npos; }));
    };
    ask(kept);
    std::vector<std::shared_ptr<Peer>> silent;
    for (int i = 0; i < 100; ++i) silent.push_back(rig.client());
    ask(rig.client());
    ask(kept);
    EXPECT_FALSE(kept->closed);
    EXPECT_EQ(server.peers.size(), 1U) << "the warm connection serves them all";
}

// Clients may hold a third of the descriptors for requests. With half of them open here, idle ones took the
// places of those that asked, and most requests never came.
TEST(Limits, ClientsHaveLessThanAThirdOfTheSockets) {
    SocketBudget budget(360);
    std::size_t clients = 0, servers = 0;
    while (budget.take(Side::clients)) ++clients;
    while (budget.take(Side::servers)) ++servers;
    EXPECT_LT(clients, 360U / 3);
    EXPECT_GT(clients, 360U / 4);
    EXPECT_EQ(clients + servers, 360U);
}

// A crowd that asks for GET /up, or nothing, and stays, must not keep those that ask waiting to be accepted:
// their time runs in the kernel's queue too. (It was once let in at some twenty a second.)
TEST(Limits, ACrowdThatStaysDoesNotHoldUpThoseThatAsk) {
    NetRig rig;
    rig.config["limits"]["sockets"] = 24 + 48;
    rig.start();
    auto& server = rig.servers.front();
    std::vector<std::shared_ptr<Peer>> clients;
    std::size_t asked = 0;
    for (int i = 0; i < 400; ++i) {
        clients.push_back(rig.client());
        if (i % 10 == 9) {
            clients.back()->send(NetRig::request("safe"));
            ASSERT_TRUE(rig.until([&] { return server.requests() == asked + 1; })) << i;
            ++asked;
            server.last().respond("200 OK", "answer");
            ASSERT_TRUE(rig.until([&] { return clients.back()->got.find("answer") != std::string::npos; }));
        } else if (i % 3 > 0) {
            clients.back()->send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        }
    }
}

// Servers close what has been idle for long; a request that crosses that would
// be a reset.
TEST(Limits, IdleConnectionsToServersAreRetiredBeforeTheServerWould) {
    NetRig rig;
    rig.config["settings"]["limits"]["idle-close-ms"] = 500.0;
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    client->send(NetRig::request("safe"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    server.last().respond("200 OK", "answer");
    ASSERT_TRUE(rig.until([&] { return server.last().closed; }));
    EXPECT_NE(client->got.find("answer"), std::string::npos);
    EXPECT_FALSE(client->closed);
}

TEST(Configuration, ErrorsNameTheField) {
    const auto error_of = [](const Json& config) -> std::string {
        try {
            parse_config(config.dump());
        } catch (const ConfigError& error) {
            return error.what();
        }
        return "";
    };
    const Json good = NetRig().config;
    EXPECT_EQ(error_of(good), "");
    Json bad = good;
    bad["listen"] = "nowhere";
    EXPECT_NE(error_of(bad).find("'listen'"), std::string::npos);
    bad = good;
    bad.erase("discovery");
    EXPECT_NE(error_of(bad).find("'discovery'"), std::string::npos);
    bad = good;
    bad["settings"]["classes"][0]["effect"] = "odd";
    EXPECT_NE(error_of(bad).find("'classes.0.effect'"), std::string::npos);
    bad = good;
    bad["known"]["targets"][0]["state"] = "asleep";
    EXPECT_NE(error_of(bad).find("'known.targets.0.state'"), std::string::npos);
    EXPECT_THROW(parse_config("{"), ConfigError);
    EXPECT_THROW(load_config([](const char*) { return nullptr; }), ConfigError);
}

// README's own: whoever tries elmbay for the first time starts with it.
TEST(Configuration, TheSmallExampleIsSound) {
    const std::string path = EXAMPLES "/minimal/config.json";
    const Config config = load_config(
        [&](const char* name) { return std::string(name) == "RELAY_CONFIG" ? path.c_str() : nullptr; });
    EXPECT_EQ(config.known.targets.size(), 1U);
    EXPECT_EQ(config.deployment.classes.size(), 3U);
}

}  // namespace

}  // namespace elmbay::test
