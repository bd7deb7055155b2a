#include "fakes/leaf/record.hpp"

#include <nlohmann/json.hpp>

namespace bulrushspring::fakes
{
namespace
{

using nlohmann::json;

execution_record read_fields(const json& object)
{
    execution_record record;
    record.leaf = object.at("leaf").get<std::string>();
    record.request_id = object.at("request_id").get<std::string>();
    record.attempt = object.at("attempt").get<std::string>();
    record.service = object.at("service").get<std::string>();
    record.key = object.at("key").get<std::string>();
    record.snapshot = object.at("snapshot").get<manifest::snapshot_id>();
    record.shard = object.at("shard").get<manifest::shard_id>();
    record.idempotent = object.at("idempotent").get<bool>();
    record.started = boot_time{
        std::chrono::microseconds{object.at("started_us").get<std::int64_t>()}};
    return record;
}

} // namespace

std::string to_json(const execution_record& record)
{
    const auto started = std::chrono::duration_cast<std::chrono::microseconds>(
        record.started.time_since_epoch());
    const json object = {
        {"leaf", record.leaf},
        {"request_id", record.request_id},
        {"attempt", record.attempt},
        {"service", record.service},
        {"key", record.key},
        {"snapshot", record.snapshot},
        {"shard", record.shard},
        {"idempotent", record.idempotent},
        {"started_us", started.count()},
    };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<execution_record> parse_execution(std::string_view text)
{
    try {
        return read_fields(json::parse(text));
    } catch (const json::exception& failure) {
        return error{errc::malformed, "parse execution", "", failure.what()};
    }
}

} // namespace bulrushspring::fakes
