#ifndef BULRUSHSPRING_LIBRARIES_CONFIGURATION_INTERNAL_HPP
#define BULRUSHSPRING_LIBRARIES_CONFIGURATION_INTERNAL_HPP

#include "libraries/configuration/configuration.hpp"

// Internal functions of the configuration reducer, grouped by source file. Not
// for use outside this library.
namespace bulrushspring::configuration
{

// refusals.cpp: bounded tables of refused manifests and version conflicts.
void record_refusal(state& self, const document_id& id, bool permanent,
                    const std::string& source, const std::string& reason,
                    context& context);
bool refused_permanently(const state& self, const content_hash& hash);
// Whether the document is refused at the time given, be it permanently or until
// its next retry.
bool is_refused(const state& self, const content_hash& hash, boot_time now);
// Records that `seen` has the version of the manifest in force, but another
// hash.
void record_version_conflict(state& self, const document_id& seen,
                             context& context);
// Returns an exponential backoff with jitter: the delay doubles with each
// failure up to max_backoff and is then reduced by a random part of up to half.
duration backoff(state& self, std::uint32_t failures);

// manifest_fetch.cpp: fetches, validates and activates a newer manifest.
void consider_peer_manifest(state& self, const document_id& seen,
                            const document_source& source, context& context);
void consider_platform_manifest(state& self, const std::string& content,
                                context& context);
void continue_fetch(state& self, context& context);
void handle_documents_reply(state& self, const result<wire::peer_reply>& reply,
                            context& context);
void handle_platform_section(state& self, const platform_read_finished& event,
                             context& context);
void abandon_fetch(state& self, boot_time now);

// configuration.cpp: compares another daemon's digest with what is in force
// here and starts to fetch what is newer.
void consider_digest(state& self, const wire::digest& seen,
                     const document_source& source, context& context);

// peer_check.cpp: checks the configuration with other daemons before callers
// are served.
void start_check(state& self, bool after_start, boot_time now);
void continue_check(state& self, const peers& fleet, context& context);
void handle_check_reply(state& self, const result<wire::peer_reply>& reply,
                        context& context);

// platform.cpp: the watches that readers keep on the platform's keys.
void handle_watch_answer(state& self, platform_watch& watch,
                         const platform_read_finished& event, context& context);
void continue_watches(state& self, const peers& fleet, context& context);
void record_platform_failure(state& self, platform_watch& watch,
                             const error& cause, context& context);
// Reads a key of the platform unless the rate limit is exceeded; returns
// whether the call was emitted.
bool call_platform(state& self, const std::string& key,
                   std::uint64_t known_revision, duration wait,
                   context& context);

// vms.cpp: updates of the list of VMs.
void consider_vms(state& self, const wire::digest& seen,
                  const document_source& source, context& context);
void handle_platform_vms(state& self, const platform_value& value,
                         context& context);
void handle_vms_reply(state& self, const result<wire::peer_reply>& reply,
                      context& context);
// The text to send to a daemon that requests the list of VMs.
struct vms_text {
    shared_text text;
    bool changes_only = false; // relative to the list that the daemon has
};
// `base` is the hash of the list that the requesting daemon has.
vms_text vms_text_for(const state& self, const content_hash& base);

// announce.cpp: notifies other daemons of what is in force.
void announce(state& self, const peers& fleet, context& context);

// serving.cpp: answers requests of other daemons for documents.
void serve_documents(state& self, const peer_request_received& event,
                     const wire::documents_request& request, context& context);

} // namespace bulrushspring::configuration

#endif
