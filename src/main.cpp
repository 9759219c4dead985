// The real sidecar: reads what it is told, puts the parts together, waits for signals.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "operator/operator_file.hpp"
#include "sidecar/sidecar.hpp"
#include "state/command.hpp"
#include "state/log_events.hpp"
#include "state/snapshot_writer.hpp"
#include "state/timestamp.hpp"
#include "status/members_command.hpp"
#include "status/status_socket.hpp"

namespace {

const char* environment(const char* name) { return std::getenv(name); }

// SIGHUP: the file has been replaced. One that can't be used changes nothing.
void reload(elmbay::Sidecar& sidecar) {
    try {
        sidecar.reload(elmbay::reload_config(environment));
    } catch (const std::exception& error) {
        std::cerr << "elmbay: the new configuration can't be used, the old one stays: " << error.what()
                  << std::endl;
    }
}

void await_reload(boost::asio::signal_set& signals, elmbay::Sidecar& sidecar) {
    signals.async_wait([&](boost::system::error_code error, int) {
        if (error) return;
        await_reload(signals, sidecar);
        reload(sidecar);
    });
}

// [state] of the operator's file: what was learned, kept while the sidecar runs and when it ends.
class Memory {
public:
    // The last write may take as long as a planned restart leaves over; the disk is not waited for beyond it.
    static constexpr std::chrono::milliseconds kLastWrite{500};

    Memory(boost::asio::io_context& io, const elmbay::StateSettings& settings, const std::string& instance)
        : writer_(elmbay::state::posix_file_system(), settings.folder, instance),
          folder_(settings.folder),
          every_(static_cast<std::int64_t>(settings.every)),
          timer_(io) {}

    std::optional<elmbay::Sidecar::RestoredState> load() {
        auto loaded = writer_.start();
        failures_.started(writer_.status());
        for (const std::string& line : elmbay::state::load_events(loaded, folder_)) log(line);
        if (!loaded.snapshot) return {};
        const double age = elmbay::state::age_of(loaded.snapshot->taken, elmbay::state::current_timestamp());
        return elmbay::Sidecar::RestoredState{std::move(*loaded.snapshot), age};
    }
    void keep(const elmbay::Sidecar& sidecar) {
        timer_.expires_after(every_);
        timer_.async_wait([this, &sidecar](boost::system::error_code error) {
            if (error) return;
            tell();  // of the save before, while the next one has not begun
            post(sidecar);
            keep(sidecar);
        });
    }
    void last(const elmbay::Sidecar& sidecar) {
        tell();
        post(sidecar);
        if (!writer_.stop(kLastWrite)) log(elmbay::state::final_write_abandoned_event(kLastWrite));
        tell();
    }

private:
    void post(const elmbay::Sidecar& sidecar) {
        auto snapshot = sidecar.snapshot();
        snapshot.taken = elmbay::state::current_timestamp();
        writer_.post(std::move(snapshot));
    }
    void tell() {
        if (const auto line = failures_.observe(writer_.status())) log(*line);
    }
    static void log(const std::string& line) {
        std::cerr.clear();  // a log on a disk that was full would say nothing ever again
        std::cerr << "elmbay: " << line << std::endl;
    }

    elmbay::state::SnapshotWriter writer_;
    const std::string folder_;
    std::chrono::milliseconds every_;
    boost::asio::steady_timer timer_;
    elmbay::state::WriteFailureLog failures_;
};

// Tells every problem of the operator's file; whether it can be used.
bool told_no_problem(const std::string& path, const elmbay::schema::Problems& problems) {
    std::cerr << elmbay::schema::text_of(path, problems);
    return problems.empty();
}

int check(const std::string& path) {
    elmbay::schema::Problems problems;
    elmbay::read_operator_file(path, problems);
    if (!told_no_problem(path, problems)) return 2;
    std::cout << path << ": sound" << std::endl;
    return 0;
}

int serve(const std::string& operator_path) {
    elmbay::OperatorFile settings;
    if (!operator_path.empty()) {
        elmbay::schema::Problems problems;
        settings = elmbay::read_operator_file(operator_path, problems);
        if (!told_no_problem(operator_path, problems)) return 2;
    }
    // A log whose reader has gone must not end the process; writes to sockets never raise the signal.
    std::signal(SIGPIPE, SIG_IGN);
    // Its default ends the process when the log, or any file, would grow beyond RLIMIT_FSIZE: EFBIG is
    // enough.
    std::signal(SIGXFSZ, SIG_IGN);
    try {
        boost::asio::io_context io(1);
        // Before all else: without a handler SIGHUP ends the process. One that comes too early for us waits
        // here.
        boost::asio::signal_set reloads(io, SIGHUP), ends(io, SIGTERM, SIGINT);
        elmbay::Config config = elmbay::load_config(environment);
        std::optional<Memory> memory;
        if (!settings.state.folder.empty()) memory.emplace(io, settings.state, config.name);
        auto remembered = memory ? memory->load() : std::nullopt;
        elmbay::Sidecar sidecar(io, std::move(config), std::move(remembered), settings.websocket,
                                elmbay::Clock(settings.proof.clock_off()));
        std::optional<elmbay::StatusSocket> status;
        if (!settings.status.socket.empty())
            status.emplace(io, settings.status.socket, [&sidecar] { return sidecar.status(); });
        if (settings.cluster.on) sidecar.join(settings.cluster);
        if (memory) memory->keep(sidecar);
        await_reload(reloads, sidecar);
        ends.async_wait([&](boost::system::error_code error, int) {
            if (!error) sidecar.drain([&io] { io.stop(); });
        });
        while (!io.stopped()) {
            try {
                io.run();
            } catch (const std::exception& error) {
                // One request's trouble must not lose all the others that are in work.
                std::cerr << "elmbay: " << error.what() << std::endl;
            }
        }
        if (memory) memory->last(sidecar);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "elmbay: " << error.what() << std::endl;
        return 2;
    }
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "The sidecar of voices-archive: takes the application's requests, balances them over the archive\n"
        "servers that discovery names. Runs in the foreground until SIGTERM; SIGHUP re-reads the file."};
    app.set_version_flag("--version", "elmbay " ELMBAY_VERSION);
    app.footer(
        "What it is told comes by the environment:\n"
        "  RELAY_CONFIG     the configuration, a JSON file (README has a small one)\n"
        "  RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY  in place of name, listen and discovery there\n"
        "Exit: 0 ended as told, 1 a command's work failed, 2 wrong use or a configuration that can't be "
        "used.");
    std::string operator_path, checked;
    app.add_option("--operator", operator_path,
                   "the operator's own file (TOML; `elmbay keys` lists what it may say)");
    CLI::App* check_command = app.add_subcommand("check", "says what is wrong with an operator's file");
    check_command->add_option("file", checked, "the file")->required();
    CLI::App* keys_command = app.add_subcommand("keys", "every key of the operator's file");
    std::function<int()> command;
    elmbay::state::add_command(app, command);
    elmbay::add_members_command(app, command);
    app.require_subcommand(0, 1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    try {
        if (command) return command();
        if (*check_command) return check(checked);
        if (*keys_command) {
            std::cout << elmbay::operator_manual();
            return 0;
        }
    } catch (const std::exception& error) {
        std::cerr << "elmbay: " << error.what() << std::endl;
        return 1;
    }
    return serve(operator_path);
}
