#include "base/time.hpp"
#include "libraries/client/answer.hpp"
#include "libraries/client/caller.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <optional>
#include <random>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, entries, {},
          "bootstrap addresses of entries, as ADDRESS:PORT,...");
ABSL_FLAG(std::string, data_centre, "", "data centre of the caller");
ABSL_FLAG(std::string, kind, "query", "query, read or request");
ABSL_FLAG(std::string, service, "", "name of the service");
ABSL_FLAG(std::string, key, "", "key of a read or a request");
ABSL_FLAG(std::string, caller, "",
          "caller name that admission control uses for fair sharing");
ABSL_FLAG(std::string, id, "", "request id; a new one is generated if empty");
ABSL_FLAG(
    std::uint32_t, sending, 1,
    "number of this attempt of the caller: 1 for a new id; for an id that "
    "was sent before, one more than the attempts that may have been run");
ABSL_FLAG(std::uint32_t, deadline_ms, 5000,
          "deadline of the call in milliseconds");
ABSL_FLAG(bool, json, false, "print the outcome as one JSON object");

namespace
{

using namespace bulrushspring;

// Exit codes; documented in docs/CALLERS.md.
enum exit_code : int {
    exit_answered = 0,
    exit_usage = 2,
    exit_partial = 10,
    exit_not_run = 11,
    exit_unknown = 12,
    exit_failed = 13,
    exit_unreachable = 14,
};

std::optional<manifest::service_kind> parse_kind(std::string_view text)
{
    if (text == "query") {
        return manifest::service_kind::query;
    }
    if (text == "read") {
        return manifest::service_kind::read;
    }
    if (text == "request") {
        return manifest::service_kind::request;
    }
    return std::nullopt;
}

exit_code exit_code_of(const client::call_outcome& outcome)
{
    if (!outcome.reached && outcome.answer.run == execution::not_run) {
        return exit_unreachable;
    }
    switch (outcome.answer.status) {
    case answer_status::answered:
        return exit_answered;
    case answer_status::partial:
        return exit_partial;
    case answer_status::refused:
        return outcome.answer.run == execution::not_run ? exit_not_run
                                                        : exit_unknown;
    case answer_status::failed:
        return exit_failed;
    case answer_status::outcome_unknown:
        return exit_unknown;
    }
    return exit_failed;
}

void print_text(const client::call_outcome& outcome)
{
    const auto& answer = outcome.answer;
    std::cout << answer.body;
    std::cout << "# id=" << answer.request_id
              << " status=" << to_string(answer.status)
              << " run=" << client::to_string(answer.run);
    if (answer.shards > 0) {
        std::cout << " snapshot=" << answer.snapshot
                  << " shards=" << answer.shards
                  << " covered=" << client::covered_text(answer);
    }
    for (const auto& it : answer.missing) {
        std::cout << " missing=" << it.shard << ":" << to_string(it.reason);
    }
    if (!answer.leaf.empty()) {
        std::cout << " leaf=" << answer.leaf;
    }
    if (!answer.reason.empty()) {
        std::cout << " reason=" << answer.reason;
    }
    if (answer.retry_after > duration{0}) {
        std::cout << " retry_after_ms=" << to_milliseconds(answer.retry_after);
    }
    std::cout << " entry=" << to_string(outcome.entry)
              << " sendings=" << outcome.caller_attempts << "\n";
}

int print(const client::call_outcome& outcome)
{
    const auto code = exit_code_of(outcome);
    if (code == exit_unreachable) {
        std::cerr << "no entry is reachable; the call was not run\n";
        return code;
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << client::answer_json(outcome.answer) << "\n";
        return code;
    }
    print_text(outcome);
    return code;
}

int usage_error(std::string_view message)
{
    std::cerr << message << "; see --help\n";
    return exit_usage;
}

random_source make_random_source()
{
    std::random_device device;
    std::seed_seq seeds{device(), device(), device(), device()};
    return random_source{seeds};
}

int run(std::string body)
{
    const auto kind = parse_kind(absl::GetFlag(FLAGS_kind));
    if (!kind) {
        return usage_error("--kind must be query, read or request");
    }
    client::address_book book;
    for (const auto& text : absl::GetFlag(FLAGS_entries)) {
        const auto entry = parse_endpoint(text);
        if (entry.has_error()) {
            return usage_error("--entries: " + to_string(entry.error()));
        }
        book.bootstrap.push_back(entry.value());
    }
    client::call call;
    call.kind = *kind;
    call.service = absl::GetFlag(FLAGS_service);
    call.key = absl::GetFlag(FLAGS_key);
    call.id = absl::GetFlag(FLAGS_id);
    if (call.id.empty()) {
        auto random = make_random_source();
        call.id = client::make_request_id(random);
        call.bind_id = true;
    }
    call.data_centre = absl::GetFlag(FLAGS_data_centre);
    call.caller = absl::GetFlag(FLAGS_caller);
    call.deadline = milliseconds{absl::GetFlag(FLAGS_deadline_ms)};
    call.first_caller_attempt = absl::GetFlag(FLAGS_sending);
    call.body = std::move(body);
    if (book.bootstrap.empty() || call.service.empty()) {
        return usage_error("--entries and --service are required");
    }
    if (call.kind != manifest::service_kind::query && call.key.empty()) {
        return usage_error("--key is required for a read or a request");
    }
    return print(
        client::run_call(book, client::http_transport(), std::move(call)));
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "sends one call to the query tier and prints the answer "
        "(docs/CALLERS.md)\n"
        "usage: bulrushspring-ask --entries A:P,... --service NAME [TEXT...]\n"
        "exit codes: 0 answered, 2 usage, 10 partial, 11 refused and not run, "
        "12 outcome unknown, 13 failed, 14 no entry reachable");
    client::ignore_broken_pipes();
    const auto arguments = absl::ParseCommandLine(argc, argv);
    std::string body;
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        body += (i > 1 ? " " : "") + std::string(arguments[i]);
    }
    return run(std::move(body));
}
