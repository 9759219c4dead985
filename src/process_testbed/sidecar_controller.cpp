#include "process_testbed/sidecar_controller.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <string_view>

namespace elmbay::process_testbed {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace {

constexpr std::string_view kReadinessRequest = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n";
constexpr std::size_t kMaxProbeResponseBytes = 16UL * 1024;  // bytes

/// One GET /up request and its response.
struct ReadinessProbe {
    explicit ReadinessProbe(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer{kMaxProbeResponseBytes};
    http::response<http::string_body> response;
};

}  // namespace

SidecarController::SidecarController(fault_proxy::EventLoopContext& context, RequestHistory& history,
                                     fault_proxy::DatagramNet& datagrams, std::string name,
                                     Endpoints endpoints, const std::string& command,
                                     std::filesystem::path folder)
    : context_(context),
      history_(history),
      datagrams_(datagrams),
      name_(std::move(name)),
      endpoints_(std::move(endpoints)),
      process_(name_, command, std::move(folder)) {}

void SidecarController::start() {
    ++runs_;
    is_termination_requested_ = false;
    is_ready_ = false;
    datagrams_.set_listening(name_, true);
    process_.start();
    history_.record_note(context_.now(), name_, "started");
    probe_readiness();
}

void SidecarController::probe_readiness() {
    const auto probe = std::make_shared<ReadinessProbe>(context_.io());
    const auto report = [this, run = runs_](bool is_up) { on_probe_result(run, is_up); };
    probe->socket.async_connect(endpoints_.listen, [probe, report](Error connect_error) {
        if (connect_error) return report(false);
        asio::async_write(probe->socket, asio::buffer(kReadinessRequest), [probe](Error, std::size_t) {});
        http::async_read(probe->socket, probe->buffer, probe->response,
                         [probe, report](Error error, std::size_t) {
                             report(!error && probe->response.result_int() == 200);
                         });
    });
}

void SidecarController::on_probe_result(std::uint64_t run, bool is_up) {
    if (runs_ != run || is_ready_ || !process_.is_running()) return;
    is_ready_ = is_up;
    if (is_up) return history_.record_note(context_.now(), name_, "ready");
    context_.schedule(context_.now() + kReadinessProbePeriod, [this, run] {
        if (runs_ == run) probe_readiness();
    });
}

void SidecarController::freeze() {
    process_.freeze();
    history_.on_process_frozen(context_.now(), name_);
}

void SidecarController::thaw() {
    history_.on_process_thawed(context_.now(), name_);
    process_.thaw();
}

void SidecarController::limit_cpu(double share) {
    context_.cancel(cpu_slice_end_);
    cpu_share_ = share;
    history_.record_note(context_.now(), name_, "CPU limit: " + std::to_string(share) + " of a core");
    if (share >= 1) return process_.thaw();
    run_cpu_slice(false);
}

void SidecarController::run_cpu_slice(bool is_running) {
    if (is_running) {
        process_.thaw();
    } else {
        process_.freeze();
    }
    const Millis duration = kCpuPeriod * (is_running ? cpu_share_ : 1 - cpu_share_);
    cpu_slice_end_ = context_.schedule(context_.now() + duration, [this, is_running] {
        cpu_slice_end_ = {};
        run_cpu_slice(!is_running);
    });
}

void SidecarController::kill() {
    datagrams_.set_listening(name_, false);
    context_.cancel(cpu_slice_end_);
    process_.kill();
    is_ready_ = false;
    history_.on_process_ended(context_.now(), name_);
}

void SidecarController::terminate() {
    is_termination_requested_ = true;
    history_.record_note(context_.now(), name_, "SIGTERM");
    process_.signal(SIGTERM);
}

bool SidecarController::has_crashed() {
    const auto status = process_.poll_exit();
    if (!status) return false;
    is_ready_ = false;
    datagrams_.set_listening(name_, false);
    history_.on_process_ended(context_.now(), name_);
    if (is_termination_requested_) return false;
    history_.record_note(
        context_.now(), name_,
        "process ended unexpectedly, status " + std::to_string(*status) + ": " + log_excerpt());
    return true;
}

std::string SidecarController::log_excerpt() const {
    std::ifstream file(process_.log_path());
    const std::string log((std::istreambuf_iterator<char>(file)), {});
    return log.size() > kMaxLogExcerptBytes ? "..." + log.substr(log.size() - kMaxLogExcerptBytes) : log;
}

}  // namespace elmbay::process_testbed
