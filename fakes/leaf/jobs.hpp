#ifndef BULRUSHSPRING_FAKES_LEAF_JOBS_HPP
#define BULRUSHSPRING_FAKES_LEAF_JOBS_HPP

#include "fakes/leaf/leaf.hpp"

#include <string_view>

namespace bulrushspring::fakes
{

// Handles a request at once, without regard to faults that hold requests.
void handle_request(leaf& fake, evhttp_request& request);

// Keeps a request unhandled: in the phase `connecting` until the given time, in
// the phase `frozen` until the leaf resumes.
void hold_request(leaf& fake, evhttp_request& request,
                  open_connection& connection, job_phase phase,
                  boot_time until);

// Parses a work request, then starts, queues or refuses it.
void admit_work(leaf& fake, evhttp_request& request, std::string_view service);

// Cancels the queued or running job of an attempt, if there is one, and answers
// its request with status 499.
void cancel_attempt(leaf& fake, std::string_view attempt);

// Starts queued jobs while slots are free.
void start_queued(leaf& fake);

// Resumes a frozen leaf: sends the answers of jobs that finished meanwhile,
// then handles the requests received meanwhile in order of arrival.
void resume(leaf& fake);

// Discards the pending answers of a closed connection and removes its jobs.
// Running jobs continue, because the leaf cannot undo work.
void release_connection(leaf& fake, open_connection& closed);

} // namespace bulrushspring::fakes

#endif
