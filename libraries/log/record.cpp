#include "libraries/log/record.hpp"

namespace bulrushspring
{
namespace
{

bool needs_quotes(std::string_view value)
{
    return value.empty() ||
           value.find_first_of(" \"\n\t=") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        const bool control = static_cast<unsigned char>(character) < ' ';
        line += control ? ' ' : character;
    }
    line += '"';
}

} // namespace

std::string to_string(const log_record& record)
{
    std::string line = "E" + std::to_string(record.definition->number) + " ";
    line += record.definition->name;
    for (const auto& field : record.fields) {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    return line;
}

} // namespace bulrushspring
