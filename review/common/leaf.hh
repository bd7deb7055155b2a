// A leaf as PROTOCOL.md describes it: processes `slots` requests at a time and
// queues a few more; refuses further ones with 503 and Not-Executed.
#ifndef REVIEW_COMMON_LEAF_HH
#define REVIEW_COMMON_LEAF_HH

#include "review/common/harness.hh"

namespace review
{

// What ran, of all leafs: the runs of each Attempt-Id.
class run_log
{
public:
    void add(const std::string& id, const std::string& leaf)
    {
        const std::lock_guard lock(mutex_);
        runs_[id].push_back(leaf + "@" + std::to_string(elapsed_ms()));
    }
    std::map<std::string, std::vector<std::string>> all()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> runs_;
};

struct leaf_options {
    std::string id;
    std::string service;
    address at;
    std::string zone;
    unsigned slots = 3;
    unsigned queue = 3;
    long work_ms = 100;
    // The share of its answers that it sends a second time, late: where the
    // next answer on the connection is expected. They are all refusals.
    std::function<double()> extra_share = [] { return 0.0; };
    // The share of its runs that end with its own failure: 503 with its seal,
    // without Not-Executed.
    std::function<double()> failure_share = [] { return 0.0; };
};

class leaf
{
public:
    leaf(leaf_options options, run_log& runs, record_file& record)
        : options_(std::move(options)), runs_(runs), record_(record),
          acceptor_(options_.at, [this](int socket) { serve(socket); })
    {
    }

    std::string entry() const
    {
        return server_entry(options_.service, options_.at, options_.zone,
                            options_.slots);
    }
    const leaf_options& options() const { return options_; }
    std::atomic<long> refused{0};
    std::atomic<long> extras{0};
    std::atomic<long> failures{0};

private:
    bool draws(double share)
    {
        const std::lock_guard lock(random_mutex_);
        return std::uniform_real_distribution<>()(random_) < share;
    }

    // Whether the share of answers sent twice allows one more.
    bool repeats(const std::string& answer)
    {
        const double share = options_.extra_share();
        if (share <= 0) {
            return false;
        }
        const std::lock_guard lock(random_mutex_);
        ++answered_;
        if (answer.find("Not-Executed") == std::string::npos ||
            static_cast<double>(repeated_ + 1) >
                share * static_cast<double>(answered_)) {
            return false;
        }
        ++repeated_;
        return true;
    }

    // Returns false if the leaf is full.
    bool begin_run()
    {
        std::unique_lock lock(mutex_);
        if (running_ >= options_.slots) {
            if (waiting_ >= options_.queue) {
                return false;
            }
            ++waiting_;
            freed_.wait(lock, [&] { return running_ < options_.slots; });
            --waiting_;
        }
        ++running_;
        return true;
    }

    void end_run()
    {
        const std::lock_guard lock(mutex_);
        --running_;
        freed_.notify_one();
    }

    std::string answer_to(const message& asked)
    {
        const auto id = asked.header("attempt-id");
        if (asked.header("target-instance") != options_.id) {
            return answer_text(
                421, "Misdirected Request",
                {{"Attempt-Id", id}, {"Instance-Id", options_.id}}, "");
        }
        if (asked.target() == "/health") {
            return answer_text(200, "OK", {{"Instance-Id", options_.id}}, "");
        }
        if (!begin_run()) {
            ++refused;
            record_.line("leaf " + options_.id + " refuses " + id);
            return answer_text(503, "Service Unavailable",
                               {{"Attempt-Id", id}, {"Not-Executed", "1"}}, "");
        }
        runs_.add(id, options_.id);
        record_.line("leaf " + options_.id + " runs " + id);
        sleep_ms(options_.work_ms);
        end_run();
        if (draws(options_.failure_share())) {
            ++failures;
            record_.line("leaf " + options_.id + " has run " + id +
                         " and fails with 503");
            return answer_text(
                503, "Service Unavailable",
                {{"Attempt-Id", id}, {"Server-Seal", options_.id + "." + id}},
                "failed " + id);
        }
        return answer_text(
            200, "OK",
            {{"Attempt-Id", id}, {"Server-Seal", options_.id + "." + id}},
            "done " + id);
    }

    void serve(int socket)
    {
        reader from(socket);
        std::string extra;
        std::string extra_of;
        while (const auto asked = from.read()) {
            if (!extra.empty()) {
                ++extras;
                record_.line("leaf " + options_.id +
                             " sends the second copy of its answer to " +
                             extra_of + " while it has " +
                             asked->header("attempt-id"));
                if (!send_all(socket, extra)) {
                    return;
                }
                extra.clear();
            }
            const auto answer = answer_to(*asked);
            if (!send_all(socket, answer)) {
                return;
            }
            if (repeats(answer)) {
                extra = answer;
                extra_of = asked->header("attempt-id");
            }
        }
    }

    leaf_options options_;
    run_log& runs_;
    record_file& record_;
    std::mutex mutex_;
    std::condition_variable freed_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    long answered_ = 0; // while it sends some twice
    long repeated_ = 0;
    std::mutex random_mutex_;
    std::mt19937 random_{std::random_device{}()};
    acceptor acceptor_;
};

} // namespace review

#endif
