/// @file
/// The HTTP parser of client requests, which bounds the memory of each request.
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "http/message.hpp"
#include "net/request_memory.hpp"

namespace elmbay {

/// A Beast Body that keeps the payload in a string whose memory is taken from a RequestMemory.
struct RequestBody {
    /// The payload, and the owner of its memory grants. `memory` must be set before the body is read.
    struct value_type {
        std::string text{};
        RequestMemory* memory = nullptr;
    };

    /// Appends the payload as it arrives. Fails with errc::not_enough_memory if its memory is not available.
    class reader {
    public:
        template <bool is_request, class Fields>
        reader(http::header<is_request, Fields>&, value_type& body) : body_(body) {}

        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }

        template <class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence& buffers, boost::system::error_code& error) {
            const std::size_t size = boost::asio::buffer_size(buffers);
            if (!body_.memory->reserve_body(body_.text, body_.text.size() + size)) {
                error = make_error_code(boost::system::errc::not_enough_memory);
                return 0;
            }
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.text.append(static_cast<const char*>(buffer.data()), buffer.size());
            }
            error = {};
            return size;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };

    static std::uint64_t size(const value_type& body) { return body.text.size(); }
};

/// Parses one request. Limits the number of fields, because each takes many times the bytes of a short one.
class RequestParser : public http::request_parser<RequestBody> {
public:
    /// Largest number of fields in the head and the trailers together. The protocol's requests have a dozen.
    static constexpr std::size_t kMaxFields = 100;

    /// @param memory must outlive the parser.
    explicit RequestParser(RequestMemory& memory) { get().body().memory = &memory; }

    /// Moves the request out. Must be called only if it is complete.
    HttpRequest release_request() {
        auto message = release();
        HttpRequest request(std::move(message.base()));
        request.body() = std::move(message.body().text);
        return request;
    }

private:
    void on_field_impl(http::field field, boost::beast::string_view name, boost::beast::string_view value,
                       boost::system::error_code& error) override {
        ++field_count_;
        if (field_count_ > kMaxFields) {
            error = http::error::header_limit;
            return;
        }
        get().insert(field, name, value);
    }

    std::size_t field_count_ = 0;
};

}  // namespace elmbay
