#include "libraries/node/node.hpp"

namespace bulrushspring::node
{
namespace
{

// Derives a separate random seed for each library, so that random numbers drawn
// by one do not change the sequences of the others.
std::uint64_t seed_for(const wire::member_record& self,
                       std::string_view library)
{
    return stable_hash(self.name, stable_hash(library, self.incarnation));
}

} // namespace

state make_state(const wire::member_record& self, std::vector<endpoint> seeds,
                 const options& settings, std::size_t readers, boot_time now)
{
    configuration::options configuration;
    configuration.readers_per_data_centre = readers;
    requests::options requests;
    requests.grant_validity = settings.grant_validity;
    return state{
        settings,
        membership::make_state(self, std::move(seeds), {},
                               seed_for(self, "membership"), now),
        configuration::make_state(configuration,
                                  seed_for(self, "configuration"), now),
        targets::make_state(self.name, {}, seed_for(self, "targets"), now),
        queries::make_state({}),
        requests::make_state(self.name, self.incarnation, requests,
                             seed_for(self, "requests")),
        admission::make_state({}, seed_for(self, "admission")),
        nullptr,
        std::nullopt,
        false,
        false,
    };
}

} // namespace bulrushspring::node
