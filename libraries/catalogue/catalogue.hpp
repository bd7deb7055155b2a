#ifndef BULRUSHSPRING_LIBRARIES_CATALOGUE_CATALOGUE_HPP
#define BULRUSHSPRING_LIBRARIES_CATALOGUE_CATALOGUE_HPP

#include "libraries/log/record.hpp"

#include <string>
#include <vector>

namespace bulrushspring::catalogue
{

// Every event that a daemon can log, ordered by number.
std::vector<const event_definition*> all_events();

// Renders the catalogue as the Markdown page docs/EVENTS.md.
std::string to_markdown();

} // namespace bulrushspring::catalogue

#endif
