#include "simulation/reports/sweep.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <iterator>
#include <mutex>
#include <stdexcept>
#include <thread>

#include "simulation/baselines/baseline_policies.hpp"
#include "simulation/drivers/virtual/virtual_run.hpp"
#include "simulation/reports/statistics.hpp"
#include "simulation/scenario/scenario_key.hpp"

namespace elmbay::simulation {

namespace {

/// The reports in which a metric is present.
enum class MetricScope { every_run, load_surges, restarts };

/// A metric of a sweep, with its name in reports.
struct Metric {
    const char* name;
    MetricScope scope;
    double (*value)(const Report&);
};

constexpr auto kMetrics = std::to_array<Metric>({
    {"goodput", MetricScope::every_run, [](const Report& report) { return report.metrics.goodput; }},
    {"worst_class", MetricScope::every_run,
     [](const Report& report) { return report.metrics.min_class_goodput; }},
    {"worst_second", MetricScope::every_run,
     [](const Report& report) { return report.metrics.min_second_goodput; }},
    {"attempts", MetricScope::every_run, [](const Report& report) { return report.attempts_per_request; }},
    {"settled", MetricScope::load_surges,
     [](const Report& report) { return report.metrics.surge.settled_goodput; }},
    {"onset", MetricScope::load_surges,
     [](const Report& report) { return report.metrics.surge.onset_ratio; }},
    {"settle_ms", MetricScope::load_surges,
     [](const Report& report) { return report.metrics.surge.settling_time; }},
    {"recover_ms", MetricScope::load_surges,
     [](const Report& report) { return report.metrics.surge.recovery_time; }},
    {"restart_goodput", MetricScope::restarts,
     [](const Report& report) { return report.after_restart.goodput(); }},
    {"restart_failed", MetricScope::restarts,
     [](const Report& report) { return static_cast<double>(report.after_restart.failed); }},
});

bool has_metric(const Report& report, const Metric& metric) {
    switch (metric.scope) {
        case MetricScope::load_surges:
            return report.metrics.surge.present;
        case MetricScope::restarts:
            return report.after_restart.offered_value != 0;
        default:
            return true;
    }
}

std::vector<MetricSeries> collect_metrics(const std::vector<const Report*>& reports) {
    std::vector<MetricSeries> collected;
    for (const Metric& metric : kMetrics) {
        if (!has_metric(*reports.front(), metric)) continue;
        MetricSeries series{metric.name, {}};
        for (const Report* report : reports) series.values.push_back(metric.value(*report));
        collected.push_back(std::move(series));
    }
    return collected;
}

/// One run of a sweep.
struct Task {
    std::size_t row = 0;
    std::uint64_t seed = 0;
    std::string balancer;
    Report report{};
};

/// Executes all tasks on several threads. Each task stores its own report, so the order of completion does
/// not matter. The first exception stops the execution and is rethrown.
class TaskExecutor {
public:
    TaskExecutor(std::vector<Task>& tasks, const std::vector<std::string>& texts, const std::string& name,
                 const SweepOptions& options)
        : tasks_(tasks), texts_(texts), name_(name), options_(options) {}

    void execute() {
        const unsigned count =
            options_.threads > 0 ? options_.threads : std::max(1U, std::thread::hardware_concurrency());
        {
            std::vector<std::jthread> additional_threads;
            for (unsigned i = 1; i < count; ++i) additional_threads.emplace_back([this] { execute_tasks(); });
            execute_tasks();
        }  // joins the additional threads
        if (first_error_) std::rethrow_exception(first_error_);
    }

private:
    void execute_tasks() {
        for (std::size_t i = next_task_++; i < tasks_.size(); i = next_task_++) {
            try {
                run(tasks_[i]);
            } catch (...) {
                const std::lock_guard lock(mutex_);
                if (!first_error_) first_error_ = std::current_exception();
                next_task_ = tasks_.size();
            }
            report_progress(++done_count_);
        }
    }

    void run(Task& task) const {
        Scenario scenario = parse_scenario(texts_[task.row], name_, task.seed);
        scenario.name = name_;
        VirtualRunOptions options;
        options.balancer = task.balancer;
        task.report = run_virtual_simulation(scenario, options);
    }

    void report_progress(std::size_t done_count) {
        const std::lock_guard lock(mutex_);
        if (!options_.progress) return;
        options_.progress(static_cast<double>(done_count) / static_cast<double>(tasks_.size()));
    }

    std::vector<Task>& tasks_;
    const std::vector<std::string>& texts_;
    const std::string& name_;
    const SweepOptions& options_;
    std::atomic<std::size_t> next_task_ = 0;
    std::atomic<std::size_t> done_count_ = 0;
    std::mutex mutex_;  // protects first_error_ and serializes the calls of progress
    std::exception_ptr first_error_;
};

/// Returns the scenario text of each row.
std::vector<std::string> row_texts(const std::string& text, const SweepOptions& options) {
    if (options.key.empty()) return {text};
    std::vector<std::string> texts;
    for (const std::string& value : options.values)
        texts.push_back(set_scenario_value(text, options.key, value));
    if (texts.empty()) throw std::invalid_argument("key '" + options.key + "' needs at least one value");
    return texts;
}

/// Creates the tasks of all rows. The runs of one row with one policy are adjacent, in order of their seeds.
std::vector<Task> make_tasks(std::size_t rows, const SweepOptions& options) {
    std::vector<std::string> balancers{options.balancer};
    if (options.oracle) {
        balancers.insert(balancers.end(), oracle_policy_names().begin(), oracle_policy_names().end());
    }
    std::vector<Task> tasks;
    for (std::size_t row = 0; row < rows; ++row) {
        for (const std::string& balancer : balancers) {
            for (std::uint64_t i = 0; i < options.seeds; ++i) {
                tasks.push_back({row, options.first_seed + i, balancer});
            }
        }
    }
    return tasks;
}

/// Adds the runs of one row with one policy. Only the oracle with the best mean goodput is kept.
void add_runs(const std::vector<const Report*>& reports, const std::string& balancer,
              const SweepOptions& options, SweepRow& row) {
    std::vector<MetricSeries> metrics = collect_metrics(reports);
    if (balancer == options.balancer) {
        for (const Report* report : reports) {
            if (!report->invariants_hold()) ++row.violating_runs;
        }
        row.metrics = std::move(metrics);
        return;
    }
    const bool is_best =
        row.oracle_metrics.empty() || mean(metrics.front().values) > mean(row.oracle_metrics.front().values);
    if (!is_best) return;
    row.oracle_metrics = std::move(metrics);
    row.oracle = balancer;
}

}  // namespace

std::vector<std::string> sweep_metric_names() {
    std::vector<std::string> names;
    names.reserve(kMetrics.size());
    for (const Metric& metric : kMetrics) names.emplace_back(metric.name);
    return names;
}

const MetricSeries* SweepRow::metric(const std::string& name) const {
    const auto found = std::find_if(metrics.begin(), metrics.end(),
                                    [&](const MetricSeries& series) { return series.name == name; });
    return found == metrics.end() ? nullptr : &*found;
}

bool Sweep::invariants_hold() const {
    return std::all_of(rows.begin(), rows.end(), [](const SweepRow& row) { return row.violating_runs == 0; });
}

Sweep run_sweep(const std::string& text, const std::string& name, const SweepOptions& options) {
    if (options.seeds == 0 || options.seeds > SweepOptions::kMaxSeeds) {
        throw std::invalid_argument("the number of seeds must be between 1 and " +
                                    std::to_string(SweepOptions::kMaxSeeds));
    }
    const std::vector<std::string> texts = row_texts(text, options);
    Sweep sweep{name, options.balancer, options.key, options.first_seed, options.seeds, {}};
    sweep.rows.resize(texts.size());
    if (!options.key.empty()) {
        for (std::size_t i = 0; i < texts.size(); ++i) sweep.rows[i].value = options.values[i];
    }
    std::vector<Task> tasks = make_tasks(texts.size(), options);
    TaskExecutor(tasks, texts, name, options).execute();
    for (auto first = tasks.begin(); first != tasks.end();) {
        const auto last = std::find_if(first, tasks.end(), [&](const Task& task) {
            return task.row != first->row || task.balancer != first->balancer;
        });
        std::vector<const Report*> reports;
        for (auto task = first; task != last; ++task) reports.push_back(&task->report);
        add_runs(reports, first->balancer, options, sweep.rows[first->row]);
        first = last;
    }
    return sweep;
}

}  // namespace elmbay::simulation
