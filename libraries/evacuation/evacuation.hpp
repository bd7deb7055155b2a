#ifndef BULRUSHSPRING_LIBRARIES_EVACUATION_EVACUATION_HPP
#define BULRUSHSPRING_LIBRARIES_EVACUATION_EVACUATION_HPP

#include "libraries/reducer/effect.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

// Evacuations of data centres, as one daemon obeys them. While a data centre is
// evacuated, its leafs are closed: they get no request and no connection, and
// requests that run there are left to end.
namespace bulrushspring::evacuation
{

// What this daemon has at the leafs of a data centre.
struct usage {
    std::size_t leafs = 0;
    std::size_t connections = 0;
    std::size_t running = 0; // requests that have not ended
};

// A data centre that is or was evacuated.
struct data_centre {
    bool evacuated = false;
    bool drained = false;       // nothing of this daemon has been left there
    boot_time changed_at{};     // the evacuation began, or was revoked
    boot_time begun_at{};       // the last evacuation
    std::uint64_t revision = 0; // of the record that changed it
};

struct state {
    std::map<std::string, data_centre, std::less<>> data_centres; // by name
};

// The operator has evacuated a data centre.
void begin(state&, const std::string& name, std::uint64_t revision,
           const usage&, context&);

// The operator has revoked it. Ignored if the data centre is not evacuated.
void revoke(state&, const std::string& name, std::uint64_t revision,
            const usage&, context&);

// Notes what is left in each data centre, as the function returns it for a
// name. Logs once that nothing is left, and forgets evacuations that were
// revoked long ago.
void note_usage(state&, const std::function<usage(std::string_view)>&,
                context&);

// Whether the leafs of the data centre may get no request and no connection.
bool is_closed(const state&, std::string_view data_centre);

} // namespace bulrushspring::evacuation

#endif
