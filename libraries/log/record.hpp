#ifndef BULRUSHSPRING_LIBRARIES_LOG_RECORD_HPP
#define BULRUSHSPRING_LIBRARIES_LOG_RECORD_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace bulrushspring
{

enum class severity : std::uint8_t { info, warning, error };

// The definition of a log event; docs/EVENTS.md lists them all. Each library
// that logs defines its events in its events.hpp, with numbers from a range of
// its own (a thousand per library).
struct event_definition {
    std::uint16_t number;
    severity level;
    std::string_view name;
    std::string_view fields;  // names, separated by spaces
    std::string_view meaning; // what happened and why, for operators
};

// One value of a log line, written as key=value.
struct log_field {
    std::string_view key;
    std::string value;
};

// A log line as data. Reducers emit it as an effect and the shell writes it.
struct log_record {
    const event_definition* definition;
    std::vector<log_field> fields;
};

// Converts the value of a field to text.
inline std::string log_value(std::string value)
{
    return value;
}
inline std::string log_value(std::string_view value)
{
    return std::string(value);
}
inline std::string log_value(const char* value)
{
    return value;
}
template <typename Number>
requires std::is_arithmetic_v<Number> std::string log_value(Number value)
{
    return std::to_string(value);
}

// Builds a record from fields, in the order of the event's definition.
template <typename... Fields>
log_record make_record(const event_definition& definition, Fields&&... fields)
{
    log_record record{&definition, {}};
    record.fields.reserve(sizeof...(fields));
    (record.fields.push_back(std::forward<Fields>(fields)), ...);
    return record;
}

template <typename Value>
log_field field(std::string_view key, Value&& value)
{
    return {key, log_value(std::forward<Value>(value))};
}

// Formats a record, such as "E3001 query_routed service=quick-find shards=10".
// Values that are empty or contain a space, tab, line feed, '"' or '=' are
// quoted; control characters in quoted values become spaces.
std::string to_string(const log_record& record);

} // namespace bulrushspring

#endif
