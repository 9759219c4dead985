#include "simulation/reports/sweep.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/math/distributions/students_t.hpp>
#include <charconv>
#include <cmath>
#include <mutex>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>
#include <thread>

#include "schema/toml.hpp"
#include "simulation/baselines/baseline_policies.hpp"
#include "simulation/drivers/virtual/virtual_run.hpp"

namespace elmbay::simulation {

namespace {

using nlohmann::ordered_json;

constexpr double kConfidence = 0.95;

struct Named {
    const char* name;
    enum class Of { all, rushes, restarts } of;
    double (*value)(const Report&);
};
const Named kFigures[] = {
    {"goodput", Named::Of::all, [](const Report& r) { return r.metrics.goodput; }},
    {"worst_class", Named::Of::all, [](const Report& r) { return r.metrics.min_class_goodput; }},
    {"worst_second", Named::Of::all, [](const Report& r) { return r.metrics.min_second_goodput; }},
    {"attempts", Named::Of::all, [](const Report& r) { return r.attempts_per_request; }},
    {"settled", Named::Of::rushes, [](const Report& r) { return r.metrics.surge.settled_goodput; }},
    {"onset", Named::Of::rushes, [](const Report& r) { return r.metrics.surge.onset_ratio; }},
    {"settle_ms", Named::Of::rushes, [](const Report& r) { return r.metrics.surge.settling_time; }},
    {"recover_ms", Named::Of::rushes, [](const Report& r) { return r.metrics.surge.recovery_time; }},
    {"restart_goodput", Named::Of::restarts, [](const Report& r) { return r.after_restart.goodput(); }},
    {"restart_failed", Named::Of::restarts,
     [](const Report& r) { return static_cast<double>(r.after_restart.failed); }},
};

struct Task {
    std::size_t row;
    std::uint64_t seed;
    std::string balancer;
    Report report{};
};

// All tasks, by as many threads; each knows its place, so the order of their ends changes nothing.
void run_all(std::vector<Task>& tasks, const std::vector<std::string>& texts, const std::string& name,
             const SweepOptions& options) {
    std::atomic<std::size_t> next = 0, done = 0;
    std::mutex mutex;
    std::exception_ptr wrong;
    const auto work = [&] {
        for (std::size_t i = next++; i < tasks.size(); i = next++) {
            try {
                Scenario scenario = parse_scenario(texts[tasks[i].row], name, tasks[i].seed);
                scenario.name = name;
                VirtualOptions how;
                how.balancer = tasks[i].balancer;
                tasks[i].report = run_virtual(scenario, how);
            } catch (...) {
                const std::lock_guard lock(mutex);
                if (!wrong) wrong = std::current_exception();
                next = tasks.size();
            }
            const std::size_t so_far = ++done;
            const std::lock_guard lock(mutex);
            if (options.progress)
                options.progress(static_cast<double>(so_far) / static_cast<double>(tasks.size()));
        }
    };
    const unsigned count =
        options.threads > 0 ? options.threads : std::max(1U, std::thread::hardware_concurrency());
    std::vector<std::jthread> threads;
    for (unsigned i = 1; i < count; ++i) threads.emplace_back(work);
    work();
    threads.clear();  // joins
    if (wrong) std::rethrow_exception(wrong);
}

std::vector<MetricSeries> figures_of(const std::vector<const Report*>& reports) {
    std::vector<MetricSeries> figures;
    for (const Named& f : kFigures) {
        if (f.of == Named::Of::rushes && !reports.front()->metrics.surge.present) continue;
        if (f.of == Named::Of::restarts && reports.front()->after_restart.offered_value == 0) continue;
        figures.push_back({f.name, {}});
        for (const Report* r : reports) figures.back().values.push_back(f.value(*r));
    }
    return figures;
}

double mean(const std::vector<double>& values) {
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

// A table of the file and, below it, the node that a part of the key names; lists count from 1.
toml::node* child(toml::node& node, const std::string& part) {
    if (toml::table* table = node.as_table()) return table->get(part);
    toml::array* list = node.as_array();
    std::size_t number = 0;
    const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), number);
    if (!list || error != std::errc() || end != part.data() + part.size() || number == 0) return nullptr;
    return list->get(number - 1);
}

ordered_json json_of(const std::vector<MetricSeries>& figures) {
    ordered_json j = ordered_json::object();
    for (const MetricSeries& f : figures) {
        const Summary s = spread_of(f.values);
        j[f.name] = {{"mean", s.mean},
                     {"deviation", s.deviation},
                     {"least", s.min},
                     {"most", s.max},
                     {"values", f.values}};
    }
    return j;
}

std::string strip(const Sweep& sweep, const std::string& figure) {
    constexpr double kRow = 34, kLeft = 150, kWidth = 960, kRight = 20, kTop = 30;
    double low = 1e300, high = -1e300;
    const auto widen = [&](const std::vector<double>& values) {
        for (const double v : values) low = std::min(low, v), high = std::max(high, v);
    };
    for (const SweepRow& row : sweep.rows) {
        if (const MetricSeries* f = row.metric(figure)) widen(f->values);
        for (const MetricSeries& f : row.oracle_metrics)
            if (f.name == figure) widen(f.values);
    }
    if (low > high) return "";
    const double span = std::max(high - low, 1e-6);
    const auto x = [&](double v) { return kLeft + (v - low) / span * (kWidth - kLeft - kRight); };
    std::string t = fmt::format("<text x='0' y='16' class='title'>{}</text>", figure);
    for (int i = 0; i <= 4; ++i) {
        const double v = low + span * i / 4;
        t += fmt::format(
            "<line x1='{0:.1f}' x2='{0:.1f}' y1='{1}' y2='{2}' class='grid'/><text x='{0:.1f}' y='16' "
            "class='tick' text-anchor='middle'>{3:.4g}</text>",
            x(v), kTop - 6, kTop + kRow * static_cast<double>(sweep.rows.size()), v);
    }
    double y = kTop + kRow / 2;
    for (const SweepRow& row : sweep.rows) {
        t += fmt::format("<text x='0' y='{:.1f}' class='label'>{}</text>", y + 4,
                         row.value.empty() ? sweep.balancer : row.value);
        const auto dots = [&](const std::vector<double>& values, const char* colour) {
            for (const double v : values)
                t += fmt::format("<circle cx='{:.1f}' cy='{:.1f}' r='3.5' fill='{}' opacity='.45'/>", x(v), y,
                                 colour);
            t += fmt::format(
                "<line x1='{0:.1f}' x2='{0:.1f}' y1='{1:.1f}' y2='{2:.1f}' stroke='{3}' "
                "stroke-width='2.5'/>",
                x(mean(values)), y - 11, y + 11, colour);
        };
        for (const MetricSeries& f : row.oracle_metrics)
            if (f.name == figure) dots(f.values, "#868e96");
        if (const MetricSeries* f = row.metric(figure)) dots(f->values, "#1864ab");
        y += kRow;
    }
    return fmt::format("<svg viewBox='0 0 {} {}' role='img'>{}</svg>", kWidth,
                       kTop + kRow * static_cast<double>(sweep.rows.size()) + 6, t);
}

}  // namespace

const MetricSeries* SweepRow::metric(const std::string& name) const {
    for (const MetricSeries& f : metrics)
        if (f.name == name) return &f;
    return nullptr;
}

bool Sweep::invariants_hold() const {
    return std::all_of(rows.begin(), rows.end(), [](const SweepRow& r) { return r.violating_runs == 0; });
}

std::string with_value(const std::string& text, const std::string& key, const std::string& value) {
    toml::table file = toml::parse(text);
    toml::table parsed;
    try {
        parsed = toml::parse("value = " + value);
    } catch (const toml::parse_error&) {
        parsed.insert("value", value);  // a bare word, as a person would type 2s
    }
    std::vector<std::string> parts;
    std::istringstream words(key);
    for (std::string part; std::getline(words, part, '.');) parts.push_back(part);
    toml::node* at = &file;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        toml::node* next = child(*at, parts[i]);
        // A table that the file leaves out has its defaults: it can be begun here. A list's entry can't.
        if (!next && at->as_table() && at == &file) {
            at->as_table()->insert(parts[i], toml::table{});
            next = child(*at, parts[i]);
        }
        if (!next) throw std::invalid_argument("'" + key + "' names nothing: there is no '" + parts[i] + "'");
        at = next;
    }
    toml::table* table = at->as_table();
    if (!table || parts.empty()) throw std::invalid_argument("'" + key + "' names no key of the file");
    table->insert_or_assign(parts.back(), *parsed.get("value"));
    std::ostringstream out;
    out << file;
    return out.str();
}

Sweep run_sweep(const std::string& text, const std::string& name, const SweepOptions& options) {
    if (options.seeds == 0 || options.seeds > SweepOptions::kMaxSeeds)
        throw std::invalid_argument("seeds: 1 to " + std::to_string(SweepOptions::kMaxSeeds));
    Sweep sweep{name, options.balancer, options.key, options.first_seed, options.seeds, {}};
    std::vector<std::string> texts;
    if (options.key.empty()) {
        texts.push_back(text);
        sweep.rows.push_back({});
    }
    for (const std::string& value : options.key.empty() ? std::vector<std::string>{} : options.values) {
        texts.push_back(with_value(text, options.key, value));
        sweep.rows.push_back({value, 0, {}, "", {}});
    }
    if (texts.empty()) throw std::invalid_argument("no values for '" + options.key + "'");
    std::vector<std::string> balancers{options.balancer};
    if (options.oracle)
        balancers.insert(balancers.end(), oracle_policy_names().begin(), oracle_policy_names().end());
    std::vector<Task> tasks;
    for (std::size_t row = 0; row < texts.size(); ++row)
        for (const std::string& balancer : balancers)
            for (std::uint64_t i = 0; i < options.seeds; ++i)
                tasks.push_back({row, options.first_seed + i, balancer});
    run_all(tasks, texts, name, options);
    for (auto task = tasks.begin(); task != tasks.end();) {
        SweepRow& row = sweep.rows[task->row];
        const bool ours = task->balancer == options.balancer;
        std::vector<const Report*> reports;
        const std::string balancer = task->balancer;
        const std::size_t of = task->row;
        for (; task != tasks.end() && task->row == of && task->balancer == balancer; ++task) {
            reports.push_back(&task->report);
            if (ours) row.violating_runs += !task->report.invariants_hold();
        }
        auto figures = figures_of(reports);
        if (ours) {
            row.metrics = std::move(figures);
        } else if (row.oracle_metrics.empty() ||
                   mean(figures.front().values) > mean(row.oracle_metrics.front().values)) {
            row.oracle_metrics = std::move(figures);
            row.oracle = balancer;
        }
    }
    return sweep;
}

Summary spread_of(const std::vector<double>& values) {
    if (values.empty()) return {};
    Summary s;
    s.mean = mean(values);
    s.min = *std::min_element(values.begin(), values.end());
    s.max = *std::max_element(values.begin(), values.end());
    double squares = 0;
    for (const double v : values) squares += (v - s.mean) * (v - s.mean);
    if (values.size() > 1) s.deviation = std::sqrt(squares / static_cast<double>(values.size() - 1));
    return s;
}

PairedDifference paired(const std::vector<double>& a, const std::vector<double>& b) {
    if (a.size() != b.size() || a.size() < 2)
        throw std::invalid_argument("a paired comparison needs the same seeds, at least two");
    std::vector<double> differences;
    for (std::size_t i = 0; i < a.size(); ++i) differences.push_back(b[i] - a[i]);
    const Summary s = spread_of(differences);
    const boost::math::students_t law(static_cast<double>(a.size() - 1));
    const double t = boost::math::quantile(law, 0.5 + kConfidence / 2);
    return {s.mean, t * s.deviation / std::sqrt(static_cast<double>(a.size()))};
}

std::string text_of(const Sweep& sweep) {
    std::string t = fmt::format("{} ({}): seeds {} to {}\n", sweep.scenario, sweep.balancer, sweep.first_seed,
                                sweep.first_seed + sweep.seeds - 1);
    for (const SweepRow& row : sweep.rows) {
        if (!row.value.empty()) t += fmt::format("\n{} = {}\n", sweep.key, row.value);
        t += fmt::format("  rules: {}\n", row.violating_runs == 0
                                              ? "kept in each run"
                                              : fmt::format("BROKEN in {} runs", row.violating_runs));
        t += fmt::format("  {:<14}{:>10}{:>11}{:>10}{:>10}{}\n", "", "mean", "deviation", "least", "most",
                         row.oracle_metrics.empty() ? "" : "   " + row.oracle + "  share of it");
        for (const MetricSeries& f : row.metrics) {
            const Summary s = spread_of(f.values);
            t += fmt::format("  {:<14}{:>10.4f}{:>11.4f}{:>10.4f}{:>10.4f}", f.name, s.mean, s.deviation,
                             s.min, s.max);
            for (const MetricSeries& b : row.oracle_metrics)
                if (b.name == f.name && (f.name == "goodput" || f.name == "settled"))
                    t += fmt::format("   {:>{}.4f}{:>13.3f}", mean(b.values), row.oracle.size(),
                                     s.mean / mean(b.values));
            t += "\n";
        }
    }
    return t;
}

ordered_json json_of(const Sweep& sweep) {
    ordered_json j{{"sweep", sweep.scenario}, {"balancer", sweep.balancer},
                   {"key", sweep.key},        {"first_seed", sweep.first_seed},
                   {"seeds", sweep.seeds},    {"rows", ordered_json::array()}};
    for (const SweepRow& row : sweep.rows) {
        ordered_json r{
            {"value", row.value}, {"broken", row.violating_runs}, {"figures", json_of(row.metrics)}};
        if (!row.oracle_metrics.empty())
            r["oracle"] = {{"name", row.oracle}, {"figures", json_of(row.oracle_metrics)}};
        j["rows"].push_back(std::move(r));
    }
    return j;
}

Sweep sweep_from_json(const std::string& text) {
    try {
        const ordered_json j = ordered_json::parse(text);
        Sweep s;
        s.scenario = j.at("sweep").get<std::string>();
        s.balancer = j.at("balancer").get<std::string>();
        s.key = j.at("key").get<std::string>();
        s.first_seed = j.at("first_seed").get<std::uint64_t>();
        s.seeds = j.at("seeds").get<std::uint64_t>();
        for (const auto& r : j.at("rows")) {
            SweepRow row;
            row.value = r.at("value").get<std::string>();
            row.violating_runs = r.at("broken").get<std::uint64_t>();
            for (const auto& [name, figure] : r.at("figures").items())
                row.metrics.push_back({name, figure.at("values").get<std::vector<double>>()});
            s.rows.push_back(std::move(row));
        }
        return s;
    } catch (const ordered_json::exception& error) {
        throw std::invalid_argument(std::string("not a sweep's JSON: ") + error.what());
    }
}

std::string page_of(const Sweep& sweep) {
    std::string page = fmt::format(
        "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>{0}: sweep</title><style>"
        "body{{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:62em;padding:0 "
        "1em;color:#212529}}"
        "svg{{width:100%;height:auto;margin:.8em "
        "0;display:block}}.grid{{stroke:#dee2e6}}.tick{{font-size:11px;"
        "fill:#495057}}.label{{font-size:12px}}.title{{font-size:13px;font-weight:600}}pre{{overflow-x:auto}}"
        "</style></head><body><h1>{0}</h1><p>{1}, seeds {2} to {3}{4}. A dot is a run, a bar their mean; "
        "grey: the best "
        "oracle.</p>",
        sweep.scenario, sweep.balancer, sweep.first_seed, sweep.first_seed + sweep.seeds - 1,
        sweep.key.empty() ? "" : ", by " + sweep.key);
    for (const Named& f : kFigures) page += strip(sweep, f.name);
    return page + "<pre>" + text_of(sweep) + "</pre></body></html>\n";
}

std::string comparison_of(const Sweep& a, const Sweep& b) {
    if (a.scenario != b.scenario || a.key != b.key || a.first_seed != b.first_seed || a.seeds != b.seeds ||
        a.rows.size() != b.rows.size())
        throw std::invalid_argument("the two are not of one incident, key and seeds");
    std::string t = fmt::format("{}, seeds {} to {}: A = {}, B = {}\n", a.scenario, a.first_seed,
                                a.first_seed + a.seeds - 1, a.balancer, b.balancer);
    for (std::size_t i = 0; i < a.rows.size(); ++i) {
        if (!a.rows[i].value.empty()) t += fmt::format("\n{} = {}\n", a.key, a.rows[i].value);
        t += fmt::format("  rules broken in {} runs of A, {} of B\n", a.rows[i].violating_runs,
                         b.rows[i].violating_runs);
        t += fmt::format("  {:<14}{:>10}{:>10}{:>11}{:>13}\n", "", "A", "B", "B - A", "chance (95%)");
        for (const MetricSeries& f : a.rows[i].metrics) {
            const MetricSeries* other = b.rows[i].metric(f.name);
            if (!other) continue;
            const PairedDifference p = paired(f.values, other->values);
            t += fmt::format("  {:<14}{:>10.4f}{:>10.4f}{:>+11.4f}{:>13.4f}  {}\n", f.name, mean(f.values),
                             mean(other->values), p.mean, p.chance, p.differs() ? "more than chance" : "");
        }
    }
    return t;
}

}  // namespace elmbay::simulation
