#include "process_testbed/link_observers.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "process_testbed/request_reader.hpp"

namespace elmbay::process_testbed {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using fault_proxy::EventLoopContext;
using fault_proxy::StreamLink;
using nlohmann::json;

namespace {

/// Finds the ends of the responses in the bytes that a server sends on one connection.
class ResponseEndReader {
public:
    /// Consumes the next bytes and calls `on_end()` for each response that ends among them. Bytes that are
    /// not HTTP also end a response.
    template <class OnEnd>
    void feed(std::string_view bytes, OnEnd on_end) {
        pending_ += bytes;
        while (!pending_.empty()) {
            if (!parser_) {
                parser_.emplace();
                parser_->body_limit(kMaxBodyBytes);
                parser_->eager(true);
            }
            Error error;
            const std::size_t used = parser_->put(asio::buffer(pending_), error);
            pending_.erase(0, used);
            const bool is_done = parser_->is_done();
            const bool is_malformed = error && error != http::error::need_more;
            if (is_done || is_malformed) on_end();
            if (is_done) parser_.reset();
            if (used == 0 || (error && !is_done)) return;
        }
    }

private:
    std::string pending_;
    std::optional<http::response_parser<http::string_body>> parser_;
};

/// The readers of the connections of one link, by connection number.
struct AttemptReaders {
    std::map<std::uint64_t, RequestReader> requests;
    std::map<std::uint64_t, ResponseEndReader> responses;
};

/// Finds endpoint lists in the bytes of one connection: in the body of a response or in a line of a watch.
///
/// Each list is a JSON object that begins with its member "all". No other braces occur between two lists.
class EndpointListReader {
public:
    /// Consumes the next bytes and calls `on_list(json)` for each list that ends among them.
    template <class OnList>
    void feed(std::string_view bytes, OnList on_list) {
        pending_ += bytes;
        for (;;) {
            const std::size_t begin = pending_.find("{\"all\"");
            if (begin == std::string::npos) return;
            json list;
            const std::size_t end = find_end(begin, list);
            if (end == std::string::npos) return;
            on_list(list);
            pending_.erase(0, end + 1);
        }
    }

private:
    // Returns the position of the first closing brace that completes the JSON object at `begin`; npos if the
    // object is incomplete.
    std::size_t find_end(std::size_t begin, json& list) const {
        std::size_t end = begin;
        while ((end = pending_.find('}', end)) != std::string::npos) {
            const std::string_view text = std::string_view(pending_).substr(begin, end + 1 - begin);
            list = json::parse(text, nullptr, false);
            if (!list.is_discarded()) return end;
            ++end;
        }
        return end;
    }

    std::string pending_;
};

}  // namespace

void observe_attempts(StreamLink& link, const EventLoopContext& context, RequestHistory& history,
                      const std::string& sidecar, const std::string& server) {
    const auto readers = std::make_shared<AttemptReaders>();
    const auto end_attempt = [&context, &history, sidecar, server](std::uint64_t connection) {
        history.on_attempt_ended(context.now(), {sidecar, server, connection});
    };
    StreamLink::Observer observer;
    observer.on_client_sent = [readers, &context, &history, sidecar, server](std::uint64_t connection,
                                                                             std::string_view bytes) {
        const auto on_request = [&](const std::string& id, Millis first_byte) {
            history.on_attempt_sent(context.now(), id, {sidecar, server, connection}, first_byte);
        };
        readers->requests[connection].feed(bytes, context.now(), on_request);
    };
    observer.on_client_received = [readers, end_attempt](std::uint64_t connection, std::string_view bytes) {
        readers->responses[connection].feed(bytes, [&] { end_attempt(connection); });
    };
    observer.on_client_ended = [readers, end_attempt](std::uint64_t connection) {
        end_attempt(connection);
        readers->requests.erase(connection);
        readers->responses.erase(connection);
    };
    link.observe(std::move(observer));
}

void observe_endpoint_list(StreamLink& link, const EventLoopContext& context, RequestHistory& history,
                           const std::string& sidecar) {
    const auto readers = std::make_shared<std::map<std::uint64_t, EndpointListReader>>();
    StreamLink::Observer observer;
    observer.on_client_received = [readers, &context, &history, sidecar](std::uint64_t connection,
                                                                         std::string_view bytes) {
        (*readers)[connection].feed(bytes, [&](const json& list) {
            for (const json& target : list["targets"]) {
                const bool may_send = target["state"] == "active";
                history.on_endpoint_listed(context.now(), sidecar, target["uid"], may_send);
            }
        });
    };
    observer.on_client_ended = [readers](std::uint64_t connection) { readers->erase(connection); };
    link.observe(std::move(observer));
}

}  // namespace elmbay::process_testbed
