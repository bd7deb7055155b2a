#include "libraries/gateway_shell/runner.hpp"

#include "libraries/gateway/events.hpp"
#include "libraries/gateway_shell/events.hpp"

#include <algorithm>
#include <tuple>
#include <unistd.h>

namespace bulrushspring::gateway_shell
{
namespace
{

// Size limits of a leaf's header and body, and so of the answers to callers.
constexpr http::size_limits leaf_limits{64U * 1024, 8UL * 1024 * 1024};

// Incarnation numbers of a VM's daemon should increase, so they are derived
// from the system clock. If that was set back, membership raises the number.
incarnation_number new_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<incarnation_number>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace

runner::runner(const protocol& protocol, const clock& time,
               memory::account& account)
    : clock_(time), protocol_(protocol), account_(account),
      base_(client::make_event_base()), log_(STDOUT_FILENO, log_limits{}),
      timer_(event_new(base_.get(), -1, 0, on_timer, this))
{
}

result<std::unique_ptr<runner>>
runner::start(const settings& settings, const protocol& protocol,
              const make_store_function& make_store, const clock& time,
              memory::account& account)
{
    std::unique_ptr<runner> made(new runner(protocol, time, account));
    TRY(made->open(settings));
    made->call_store_ =
        make_store(made->base_.get(), [self = made.get()](auto what) {
            self->post(std::move(what));
        });
    return made;
}

result<void> runner::open(const settings& settings)
{
    set_up_memory(settings);
    const shell::sink out{
        [this](event what) { post_from_peer(std::move(what)); },
        [this](const error& cause) { log_rejected_input(cause); }, &metrics_,
        &account_};
    TRY(datagrams,
        shell::peer_datagrams::bind(base_.get(), settings.peers, out));
    peer_datagrams_ = std::move(datagrams);
    TRY(streams, shell::peer_streams::listen(base_.get(),
                                             peer_datagrams_->address(), out));
    peer_streams_ = std::move(streams);
    TRY(callers, serve_callers(settings.callers));
    caller_server_ = std::move(callers);
    TRY(directory, serve_directory(settings.directory));
    directory_server_ = std::move(directory);
    TRY(readiness, serve(settings.readiness, &runner::answer_readiness));
    readiness_server_ = std::move(readiness);
    TRY(metrics_page, serve(settings.metrics, &runner::answer_metrics));
    metrics_server_ = std::move(metrics_page);
    leaf_client_ = make_leaf_client();
    make_state(settings);
    return success();
}

void runner::make_state(const settings& settings)
{
    settings_ = settings;
    wire::member_record self;
    self.name = settings.name;
    self.data_centre = settings.data_centre;
    self.region = settings.region;
    self.peer = peer_datagrams_->address();
    self.caller = settings.callers;
    self.operators = settings.metrics;
    self.incarnation = new_incarnation();
    const auto now = clock_.now();
    state_ = std::make_unique<gateway::state>(
        gateway::make_state(self, settings.seeds, settings.gateway, now));
    log_.write(make_record(gateway::gateway_started, field("name", self.name),
                           field("data_centre", self.data_centre),
                           field("incarnation", self.incarnation),
                           field("callers", to_string(self.caller)),
                           field("peers", to_string(self.peer))),
               now);
}

result<std::unique_ptr<http::server>>
runner::serve(const endpoint& address,
              http::response (runner::*answer)(const http::request&))
{
    http::server_events events;
    auto made = std::make_shared<http::server*>(nullptr);
    events.on_request = [this, made, answer](caller_token token,
                                             const http::request& asked) {
        (*made)->respond(token, (this->*answer)(asked));
    };
    events.on_disconnected = [](caller_token) {};
    events.on_rejected = [](unsigned, const endpoint&) {};
    TRY(listening,
        http::server::listen(base_.get(), address, events, &account_));
    *made = listening.get();
    return std::move(listening);
}

result<std::unique_ptr<http::server>>
runner::serve_directory(const endpoint& address)
{
    http::server_events events;
    events.on_request = [this](caller_token token, const http::request& asked) {
        if (auto request = protocol_.read_entries_request(token, asked)) {
            post(std::move(*request));
        } else {
            directory_server_->respond(token, http::response{404, "", {}, ""});
        }
    };
    events.on_disconnected = [](caller_token) {};
    events.on_rejected = [](unsigned, const endpoint&) {};
    return http::server::listen(base_.get(), address, events, &account_);
}

result<std::unique_ptr<http::server>>
runner::serve_callers(const endpoint& address)
{
    http::server_events events;
    events.on_request = [this](caller_token token, http::request asked) {
        handle_request(token, std::move(asked));
    };
    events.on_disconnected = [this](caller_token token) {
        post(caller_disconnected{token});
    };
    events.on_rejected = [this](unsigned status, const endpoint& peer) {
        metrics::add(metrics_, metrics::counter::input_rejected);
        log_.write(make_record(gateway::input_refused, field("status", status),
                               field("peer", to_string(peer))),
                   clock_.now());
    };
    return http::server::listen(base_.get(), address, events, &account_);
}

std::unique_ptr<http::client> runner::make_leaf_client()
{
    http::client_events events;
    events.on_connected = [this](connection_id id) {
        post(gateway::leaf_connected{id});
    };
    events.on_answer = [this](connection_id id, http::response answer,
                              bool reusable) {
        const auto size = http::size_in_memory(answer);
        auto reply = protocol_.read_reply(std::move(answer));
        reply.held = memory::charge(&account_, size);
        post(gateway::leaf_replied{id, std::move(reply), reusable});
    };
    events.on_closed = [this](connection_id id, error cause) {
        post(gateway::leaf_disconnected{id, std::move(cause)});
    };
    events.on_unread = [this](connection_id id, bool unread) {
        post(gateway::leaf_unread{id, unread});
    };
    auto limits = leaf_limits;
    if (account_.limits.response_bytes != 0) {
        limits.body_bytes =
            std::min(limits.body_bytes, account_.limits.response_bytes);
    }
    return std::make_unique<http::client>(
        base_.get(), limits, protocol_.correlation_header, events, &account_);
}

void runner::handle_request(caller_token token, http::request message)
{
    const auto size = http::size_in_memory(message);
    auto request = protocol_.read_request(std::move(message));
    if (!request) {
        log_rejected_input(request.error());
        caller_server_->respond(token, http::response{400, "", {}, ""});
        return;
    }
    // The request is charged for as long as anything refers to it.
    struct charged_request {
        gateway::request_pointer request;
        memory::charge held;
    };
    auto charged = std::make_shared<charged_request>();
    charged->request = std::move(request).value();
    charged->held = memory::charge(&account_, size);
    const auto* content = charged->request.get();
    post(gateway::forward_requested{
        token, gateway::request_pointer(std::move(charged), content)});
}

http::response runner::answer_readiness(const http::request& asked)
{
    return protocol_.write_readiness(asked, gateway::accepts_callers(*state_));
}

http::response runner::answer_metrics(const http::request& asked)
{
    if (http::path_of(asked.target) != "/metrics") {
        return http::response{404, "", {}, ""};
    }
    return http::response{200,
                          "",
                          {{"Content-Type", "text/plain; version=0.0.4"}},
                          metrics::prometheus_text(metrics_) +
                              memory::prometheus_text(account_)};
}

void runner::run()
{
    post(tick{});
    event_base_dispatch(base_.get());
    log_.write(make_record(process_ended,
                           field("unanswered", caller_server_->unanswered()),
                           field("unsent", caller_server_->unsent())),
               clock_.now());
    log_.flush();
}

void runner::apply(const settings& changed)
{
    const auto identity = [](const settings& of) {
        return std::tie(of.name, of.data_centre, of.region, of.callers,
                        of.readiness, of.peers, of.directory, of.metrics);
    };
    const bool identity_changed = identity(changed) != identity(settings_);
    post(gateway::settings_changed{
        std::make_shared<const gateway::options>(changed.gateway),
        changed.seeds});
    log_settings_outcome(
        "in_force",
        identity_changed ? "names and addresses at the next start" : "");
}

void runner::log_settings_outcome(std::string_view outcome,
                                  std::string_view detail)
{
    log_.write(make_record(settings_read, field("outcome", outcome),
                           field("detail", detail)),
               clock_.now());
}

void runner::log_rejected_input(const error& cause)
{
    metrics::add(metrics_, metrics::counter::input_rejected);
    log_.write(
        make_record(input_unreadable, field("step", cause.step),
                    field("peer", cause.peer),
                    field("cause", cause.code.message() + " " + cause.detail)),
        clock_.now());
}

void runner::post_from_peer(event what)
{
    if (auto* datagram = std::get_if<datagram_received>(&what)) {
        post(std::move(*datagram));
    } else if (auto* asked = std::get_if<peer_request_received>(&what)) {
        post(std::move(*asked));
    } else if (auto* replied = std::get_if<peer_reply_received>(&what)) {
        handle_records(*replied);
    }
}

// Decodes the published records of a peer's reply; the reducer does not know
// their encoding.
void runner::handle_records(const peer_reply_received& replied)
{
    const auto begun_at = clock_.now();
    auto learned = replied.reply ? topology::read_reply(replied.reply.value(),
                                                        protocol_.decode_record)
                                 : std::nullopt;
    if (learned) {
        learned->decoding = clock_.now() - begun_at;
        post(std::move(*learned));
    } else {
        post(replied);
    }
}

void runner::post(gateway::any_event what)
{
    pending_.push_back(std::move(what));
    if (!handling_) {
        handle_pending();
    }
}

// Carrying out an effect may post further events. They are queued until all
// effects of the current event have been carried out.
void runner::handle_pending()
{
    handling_ = true;
    while (!pending_.empty()) {
        const auto what = std::move(pending_.front());
        pending_.pop_front();
        effects_.clear();
        shared_effects_.clear();
        const auto now = clock_.now();
        context shared{now, shared_effects_, last_identifier_};
        gateway::context context{now, effects_, shared};
        gateway::reduce(*state_, what, context);
        for (auto& each : effects_) {
            carry_out(each);
        }
        for (auto& each : shared_effects_) {
            carry_out_shared(each);
        }
    }
    handling_ = false;
    schedule_timer();
}

void runner::carry_out(gateway::effect& what)
{
    std::visit(
        [this](auto& concrete) {
            using kind = std::decay_t<decltype(concrete)>;
            if constexpr (std::is_same_v<kind, gateway::open_leaf>) {
                leaf_client_->open(concrete.connection, concrete.address);
            } else if constexpr (std::is_same_v<kind, gateway::close_leaf>) {
                leaf_client_->close(concrete.connection);
            } else if constexpr (std::is_same_v<kind, gateway::send_to_leaf>) {
                leaf_client_->send(concrete.connection,
                                   protocol_.write_leaf_request(concrete),
                                   concrete.repeatable);
            } else if constexpr (std::is_same_v<kind,
                                                gateway::answer_request>) {
                caller_server_->respond(concrete.token,
                                        protocol_.write_answer(concrete.answer),
                                        concrete.repeatable);
            } else if constexpr (std::is_same_v<kind,
                                                gateway::answer_entries>) {
                directory_server_->respond(concrete.token,
                                           protocol_.write_entries(concrete));
            } else if constexpr (std::is_same_v<kind, gateway::call_store>) {
                call_store_(concrete.call);
            } else if constexpr (std::is_same_v<kind,
                                                gateway::set_caller_limits>) {
                caller_server_->set_limits(
                    {{concrete.limits.header_bytes, concrete.limits.body_bytes},
                     concrete.limits.header_timeout,
                     concrete.limits.idle_timeout});
            } else if constexpr (std::is_same_v<kind, gateway::end_process>) {
                end(concrete.time_limit);
            } else {
                static_assert(
                    std::is_same_v<kind, gateway::close_caller_connections>);
                caller_server_->close_after_answers();
            }
        },
        what);
}

void runner::carry_out_shared(effect& what)
{
    if (const auto* record = std::get_if<write_log>(&what)) {
        log_.write(record->record, clock_.now());
    } else if (const auto* count = std::get_if<add_to_counter>(&what)) {
        metrics::add(metrics_, count->counter, count->amount);
    } else if (const auto* span = std::get_if<record_duration>(&what)) {
        metrics::record(metrics_, span->histogram, span->value);
    } else if (const auto* datagram = std::get_if<send_datagram>(&what)) {
        peer_datagrams_->carry_out(*datagram);
    } else if (const auto* ask = std::get_if<send_peer_request>(&what)) {
        peer_streams_->carry_out(*ask);
    } else if (const auto* reply = std::get_if<reply_to_peer>(&what)) {
        peer_streams_->carry_out(*reply);
    } else if (auto* raised = std::get_if<raise_event>(&what)) {
        if (std::holds_alternative<stop_requested>(raised->raised)) {
            pending_.push_back(stop_requested{});
        }
    }
}

void runner::end(duration time_limit)
{
    const timeval limit = shell::to_timeval(time_limit);
    event_base_loopexit(base_.get(), &limit);
    auto unfinished = std::make_shared<std::size_t>(0);
    for (auto* each : {caller_server_.get(), directory_server_.get(),
                       readiness_server_.get()}) {
        ++*unfinished;
        each->finish([this, unfinished] {
            if (--*unfinished == 0) {
                event_base_loopbreak(base_.get());
            }
        });
    }
}

void runner::schedule_timer()
{
    const boot_time due = gateway::next_wakeup(*state_);
    if (due == timer_due_at_ &&
        event_pending(timer_.get(), EV_TIMEOUT, nullptr)) {
        return;
    }
    timer_due_at_ = due;
    constexpr seconds max_sleep{1};
    const duration wait = std::min<duration>(due - clock_.now(), max_sleep);
    const timeval value = shell::to_timeval(wait);
    event_add(timer_.get(), &value);
}

void runner::on_timer(evutil_socket_t /*socket*/, short /*what*/, void* self)
{
    auto& daemon = *static_cast<runner*>(self);
    daemon.post(tick{});
    daemon.review_memory();
    daemon.log_.flush();
}

} // namespace bulrushspring::gateway_shell
