#include "status/members_command.hpp"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read.hpp>
#include <nlohmann/json.hpp>

#include "base/stream_socket.hpp"

namespace elmbay {

namespace {

// Much larger than a status with thousands of members and servers.
constexpr std::size_t kMaxStatusBytes = 64U << 20U;

std::string seconds_or_never(const nlohmann::json& value) {
    return value.is_number() ? fmt::format("{:.1f}s", value.get<double>()) : "never";
}

int print_members(const std::string& socket_path, bool as_json) {
    try {
        const nlohmann::json status = read_status(socket_path);
        const auto cluster = status.find("cluster");
        if (cluster == status.end()) {
            fmt::print(stderr, "elmbay: {}: the status has no members: [cluster] is off\n", socket_path);
            return 1;
        }
        fmt::print("{}", as_json ? cluster->dump(1) + "\n" : format_members_table(*cluster));
        return 0;
    } catch (const std::exception& error) {
        fmt::print(stderr, "elmbay: {}: {}\n", socket_path, error.what());
        return 1;
    }
}

}  // namespace

nlohmann::json read_status(const std::string& socket_path) {
    boost::asio::io_context io;
    StreamSocket<boost::asio::local::stream_protocol> connection(io);
    boost::system::error_code error;
    for (int interruptions = 0; interruptions < kMaxInterruptions; ++interruptions) {
        connection.connect(socket_path, error);
        if (error != boost::asio::error::interrupted) break;
    }
    if (error) throw boost::system::system_error(error);
    std::string text;
    boost::asio::read(connection, boost::asio::dynamic_buffer(text, kMaxStatusBytes), error);
    nlohmann::json status = nlohmann::json::parse(text, nullptr, false);
    if (!status.is_object()) throw StatusError("the status socket returned no JSON object");
    return status;
}

std::string format_members_table(const nlohmann::json& cluster) {
    const auto& counts = cluster.at("count");
    std::string table = fmt::format(
        "member {}: view {}, {} present, {} failed, {} ended of {}; siblings {}{}\n\n",
        cluster.at("self").get<unsigned>(), cluster.at("view").get<std::string>(),
        counts.at("present").get<unsigned>(), counts.at("silent").get<unsigned>(),
        counts.at("ended").get<unsigned>(), counts.at("all").get<unsigned>(),
        cluster.at("siblings").get<unsigned>(),
        cluster.at("yielded").get<bool>() ? "; YIELDED to a younger process with the same id" : "");
    table += fmt::format("{:>7}  {:<9}{:>10}{:>10}  {:<8}{:>7}{:>12}{:>9}\n", "member", "state", "since",
                         "last seen", "view", "present", "incarnation", "up");
    for (const auto& member : cluster.at("members")) {
        const bool is_self = member.at("number") == cluster.at("self");
        const bool view_differs =
            !is_self && member.at("state") == "alive" && member.at("view") != cluster.at("view");
        table += fmt::format(
            "{:>7}  {:<9}{:>10}{:>10}  {:<8}{:>7}{:>12}{:>8}s{}{}\n", member.at("number").get<unsigned>(),
            member.at("state").get<std::string>(), seconds_or_never(member.at("since_s")),
            is_self ? "itself" : seconds_or_never(member.at("heard_s")),
            is_self ? cluster.at("view").get<std::string>() : member.at("view").get<std::string>(),
            member.at("hears").get<unsigned>(), member.at("incarnation").get<unsigned>(),
            member.at("uptime_s").get<unsigned>(), member.at("by_way").get<bool>() ? "  indirect" : "",
            view_differs ? "  *" : "");
    }
    return table + "\n* its view differs from the view of the queried sidecar\n";
}

void add_members_command(CLI::App& app, std::function<int()>& run) {
    CLI::App* command = app.add_subcommand("members", "prints the member table of a running sidecar");
    const auto socket = std::make_shared<std::string>();
    const auto as_json = std::make_shared<bool>(false);
    command->add_option("socket", *socket, "path of the status socket ([status] socket)")->required();
    command->add_flag("--json", *as_json, "prints the members as JSON");
    command->callback(
        [socket, as_json, &run] { run = [socket, as_json] { return print_members(*socket, *as_json); }; });
}

}  // namespace elmbay
