#include "libraries/balancing/latency_model.hpp"

#include "libraries/limits/decay.hpp"

#include <algorithm>
#include <cmath>

namespace bulrushspring::balancing
{
namespace
{

// Samples that count as one that was as expected: their number keeps a leaf of
// which little is known near the others.
constexpr double prior_weight = 2.0;
constexpr double max_weight = 40.0;
constexpr double weight_of_recent = 0.35;
constexpr double weight_in_deviation = 0.05;
// A change is taken for real after this many samples in a row that differ from
// the usual ones by min_outlier_distance, if the recent average differs by
// min_change. Both are above what single slow answers of a leaf that has not
// changed give.
constexpr int outliers_for_change = 2;
constexpr double min_outlier_distance = 0.35;
constexpr double min_change = 0.4;
constexpr double weight_after_change = 4.0;

double weight_at(const latency_model& model, boot_time now)
{
    return model.weight *
           limits::decay_factor(now - model.sampled_at, sample_half_life);
}

void count_outlier(latency_model& model, double value)
{
    if (value > model.usual + min_outlier_distance) {
        model.outliers_in_row = std::max(model.outliers_in_row, 0) + 1;
    } else if (value < model.usual - min_outlier_distance) {
        model.outliers_in_row = std::min(model.outliers_in_row, 0) - 1;
    } else {
        model.outliers_in_row = 0;
    }
}

void replace_if_changed(latency_model& model)
{
    if (std::abs(model.outliers_in_row) >= outliers_for_change &&
        std::abs(model.recent - model.usual) > min_change) {
        model.usual = model.recent;
        model.weight = weight_after_change;
        model.outliers_in_row = 0;
    }
}

} // namespace

void add_sample(latency_model& model, double value, boot_time now)
{
    model.weight = std::min(weight_at(model, now) + 1.0, max_weight);
    model.sampled_at = now;
    model.recent += weight_of_recent * (value - model.recent);
    model.deviation +=
        weight_in_deviation * (std::abs(value - model.usual) - model.deviation);
    count_outlier(model, value);
    model.usual += (value - model.usual) / model.weight;
    replace_if_changed(model);
}

void add_lower_bound(latency_model& model, double value, boot_time now)
{
    if (value <= model.recent || value <= model.usual + min_outlier_distance) {
        return;
    }
    model.weight = weight_at(model, now);
    model.sampled_at = now;
    model.recent += weight_of_recent * (value - model.recent);
    count_outlier(model, value);
    replace_if_changed(model);
}

double expected_value(const latency_model& model, boot_time now)
{
    const double weight = weight_at(model, now);
    return (model.usual + model.recent) / 2 * weight / (weight + prior_weight);
}

double chance_above(const latency_model& model, double expected, double value)
{
    // The logistic function approximates the normal distribution, whose
    // standard deviation is 1.25 times its mean absolute deviation.
    constexpr double steepness = 1.7 / 1.25;
    const double distance = (value - expected) / model.deviation;
    return 1.0 / (1.0 + std::exp(steepness * distance));
}

} // namespace bulrushspring::balancing
