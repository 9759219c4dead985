#include "status/members_command.hpp"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read.hpp>
#include <nlohmann/json.hpp>

#include "base/stream_socket.hpp"

namespace elmbay {

namespace {

// Far more than the status of thousands of members and servers takes.
constexpr std::size_t kMaxStatusBytes = 64U << 20U;

std::string seconds_or_never(const nlohmann::json& value) {
    return value.is_number() ? fmt::format("{:.1f}s", value.get<double>()) : "never";
}

int print_members(const std::string& socket, bool as_json) {
    try {
        const nlohmann::json status = read_status(socket);
        const auto cluster = status.find("cluster");
        if (cluster == status.end()) {
            fmt::print(stderr, "elmbay: {}: this sidecar does not take part: [cluster] is off\n", socket);
            return 1;
        }
        fmt::print("{}", as_json ? cluster->dump(1) + "\n" : members_table(*cluster));
        return 0;
    } catch (const std::exception& error) {
        fmt::print(stderr, "elmbay: {}: {}\n", socket, error.what());
        return 1;
    }
}

}  // namespace

nlohmann::json read_status(const std::string& socket) {
    boost::asio::io_context io;
    StreamSocket<boost::asio::local::stream_protocol> connection(io);
    boost::system::error_code error;
    for (int i = 0; i < kMaxInterruptions; ++i) {
        connection.connect(socket, error);
        if (error != boost::asio::error::interrupted) break;
    }
    if (error) throw boost::system::system_error(error);
    std::string text;
    boost::asio::read(connection, boost::asio::dynamic_buffer(text, kMaxStatusBytes), error);
    nlohmann::json status = nlohmann::json::parse(text, nullptr, false);
    if (!status.is_object()) throw StatusError("told no status");
    return status;
}

std::string members_table(const nlohmann::json& cluster) {
    const auto& count = cluster.at("count");
    std::string table =
        fmt::format("member {}: view {}, {} there, {} silent, {} ended of {}; divides by {}{}\n\n",
                    cluster.at("self").get<unsigned>(), cluster.at("view").get<std::string>(),
                    count.at("present").get<unsigned>(), count.at("silent").get<unsigned>(),
                    count.at("ended").get<unsigned>(), count.at("all").get<unsigned>(),
                    cluster.at("siblings").get<unsigned>(),
                    cluster.at("yielded").get<bool>() ? "; YIELDED to a younger process of its name" : "");
    table += fmt::format("{:>7}  {:<9}{:>10}{:>10}  {:<8}{:>7}{:>12}{:>9}\n", "member", "state", "since",
                         "heard", "view", "hears", "incarnation", "up");
    for (const auto& member : cluster.at("members")) {
        const bool self = member.at("number") == cluster.at("self");
        const bool differs =
            !self && member.at("state") == "alive" && member.at("view") != cluster.at("view");
        table += fmt::format(
            "{:>7}  {:<9}{:>10}{:>10}  {:<8}{:>7}{:>12}{:>8}s{}{}\n", member.at("number").get<unsigned>(),
            member.at("state").get<std::string>(), seconds_or_never(member.at("since_s")),
            self ? "itself" : seconds_or_never(member.at("heard_s")),
            self ? cluster.at("view").get<std::string>() : member.at("view").get<std::string>(),
            member.at("hears").get<unsigned>(), member.at("incarnation").get<unsigned>(),
            member.at("uptime_s").get<unsigned>(),
            member.at("by_way").get<bool>() ? "  by way of others" : "", differs ? "  *" : "");
    }
    return table + "\n* its view is another than ours\n";
}

void add_members_command(CLI::App& app, std::function<int()>& run) {
    CLI::App* command = app.add_subcommand("members", "who a running sidecar holds to be there");
    const auto socket = std::make_shared<std::string>();
    const auto as_json = std::make_shared<bool>(false);
    command->add_option("socket", *socket, "its status socket ([status] socket)")->required();
    command->add_flag("--json", *as_json, "as JSON");
    command->callback(
        [socket, as_json, &run] { run = [socket, as_json] { return print_members(*socket, *as_json); }; });
}

}  // namespace elmbay
