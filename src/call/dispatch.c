#include "dispatch.h"

#include <string.h>

#include <xxhash.h>

#include "budget_share.h"
#include "dispatch_call.h"
#include "dispatch_hint.h"
#include "dispatch_status.h"
#include "snapshot.h"
#include "status.h"
#include "steering.h"

/* Less than the capacity of a mailbox, so that a reply always fits. */
#define MAX_CALLS 16000
#define NOT_READY_RETRY_MS 1000
#define TOO_MANY_CALLS_RETRY_MS 100
/* One of them moves to calls nested in the first attempt, two remain here. */
#define DEFAULT_ATTEMPTS_LEFT 3u
#define MAX_ATTEMPTS_LEFT 5u
#define DEFAULT_MAX_FIRST_BYTE_TIMEOUT_MS 2000
#define MIN_FIRST_BYTE_TIMEOUT_MS 50
/* Interval at which this VM's load and ticket prefix are passed to gossip; the
 * next heartbeat carries them to the peers. */
#define LOCAL_STATE_INTERVAL_NS INT64_C(500000000)
/* Calls per LOCAL_STATE_INTERVAL_NS that occupy one core: 10,000 a second. */
#define FULL_LOAD_CALLS_PER_INTERVAL 5000u

enum dispatch_timer {
    TIMER_CALLS,
    TIMER_BALANCERS,
    TIMER_LOCAL_STATE,
};

/* Answers a call without a target. reason must be a constant string. */
void
dispatch_refuse(struct rp_dispatch *dispatch, uint64_t call_id,
                enum rp_outcome outcome, uint32_t status,
                int64_t retry_after_ms, const char *reason)
{
    struct rp_call_reply reply = {
        .call_id = call_id,
        .outcome = outcome,
        .status = status,
        .retry_after_ms = retry_after_ms,
        .reason = reason,
    };
    rp_counter_add(&dispatch->context->counters,
                   outcome == RP_OUTCOME_NOT_RUN ? RP_COUNTER_CALLS_REFUSED
                                                 : RP_COUNTER_CALLS_UNKNOWN,
                   1);
    struct rp_task *entry =
        rp_kernel_find_task(rp_task_kernel(dispatch->task), RP_TASK_ENTRY);
    rp_task_send(dispatch->task, entry, RP_MSG_CALL_REPLY, &reply,
                 sizeof(reply));
}

static struct dispatch_call *
find_call(struct rp_dispatch *dispatch, uint64_t id)
{
    return g_hash_table_lookup(dispatch->calls, GSIZE_TO_POINTER(id));
}

static void
update_open_calls_counter(struct rp_dispatch *dispatch)
{
    rp_counter_set(&dispatch->context->counters, RP_COUNTER_CALLS_OPEN,
                   g_hash_table_size(dispatch->calls));
}

/* Removes a call from the table of calls and frees it. */
void
dispatch_remove_call(struct dispatch_call *call)
{
    struct rp_dispatch *dispatch = call->dispatch;
    g_hash_table_remove(dispatch->calls, GSIZE_TO_POINTER(call->call->id));
    update_open_calls_counter(dispatch);
}

/* Sends a probe to a target. */
static void
start_probe(struct rp_dispatch *dispatch, struct dispatch_service *service,
            uint32_t target, int64_t now_ns)
{
    struct rp_probe_start start = {.target = target};
    struct rp_balancer *balancer = service->balancer;
    const struct rp_service *record = service->service;
    g_strlcpy(start.service, service->name, sizeof(start.service));
    g_strlcpy(start.address, rp_balancer_target_address(balancer, target),
              sizeof(start.address));
    g_strlcpy(start.path, record == NULL ? "/" : record->probe_path,
              sizeof(start.path));
    struct rp_task *upstream =
        rp_kernel_find_task(rp_task_kernel(dispatch->task), RP_TASK_UPSTREAM);
    rp_counter_add(&dispatch->context->counters, RP_COUNTER_PROBES, 1);
    if (!rp_task_send(dispatch->task, upstream, RP_MSG_PROBE_START, &start,
                      sizeof(start)))
    {
        rp_balancer_finish_probe(balancer, target, false, NULL, now_ns);
    }
}

static void
record_probe_result(struct rp_dispatch *dispatch,
                    const struct rp_probe_done *done, int64_t now_ns)
{
    struct dispatch_service *service =
        g_hash_table_lookup(dispatch->services, done->service);
    if (service == NULL) {
        return;
    }
    if (done->leaving) {
        dispatch_drain_record_notice(dispatch, service, done->target, now_ns);
    }
    if (done->retry_after_ms > 0) {
        dispatch_hint_record_wait(dispatch, service, done->target,
                                  done->retry_after_ms, now_ns);
    }
    if (done->load.has_cold) {
        rp_balancer_record_cold(service->balancer, done->target,
                                done->load.cold_ms, now_ns);
    }
    if (!done->answered) {
        rp_counter_add(&dispatch->context->counters, RP_COUNTER_PROBES_FAILED,
                       1);
    }
    rp_balancer_finish_probe(
        service->balancer, done->target, done->answered,
        done->answered && done->has_load ? &done->load : NULL, now_ns);
    dispatch_poll_balancer(dispatch, service, now_ns);
}

/* Applies all verdicts that a balancer has ready. Call this after anything
 * that may have changed the state of the balancer. */
void
dispatch_poll_balancer(struct rp_dispatch *dispatch,
                       struct dispatch_service *service, int64_t now_ns)
{
    struct rp_balancer_verdict verdict;
    while (rp_balancer_next(service->balancer, now_ns, &verdict)) {
        if (verdict.action == RP_BALANCER_PROBE) {
            start_probe(dispatch, service, verdict.target, now_ns);
            continue;
        }
        struct dispatch_call *call = find_call(dispatch, verdict.call_id);
        if (call != NULL) {
            dispatch_call_verdict(call, &verdict, now_ns);
        }
    }
    int64_t due_ns = rp_balancer_due_ns(service->balancer);
    if (due_ns < dispatch->balancer_due_ns) {
        dispatch->balancer_due_ns = due_ns;
        rp_task_set_timer(dispatch->task, TIMER_BALANCERS, due_ns);
    }
}

static void
poll_all_balancers(struct rp_dispatch *dispatch, int64_t now_ns)
{
    dispatch->balancer_due_ns = RP_KERNEL_NEVER_NS;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, dispatch->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        dispatch_poll_balancer(dispatch, value, now_ns);
    }
}

/* Returns a hash of the method and the first two segments of the path. Later
 * segments usually identify individual objects. */
static uint64_t
call_kind(const struct rp_call *call)
{
    size_t bytes = 0;
    for (uint32_t slashes = 0; call->target[bytes] != '\0'; bytes++) {
        slashes += call->target[bytes] == '/';
        if (slashes == 3 || call->target[bytes] == '?') {
            break;
        }
    }
    return XXH3_64bits_withSeed(call->target, bytes, call->method_flag);
}

static int64_t
first_byte_timeout_ns(const struct rp_dispatch *dispatch,
                      const struct rp_route *route, int64_t timeout_ms)
{
    int64_t max_ms = dispatch->config.max_first_byte_timeout_ms;
    if (route->length_class == RP_LENGTH_LONG) {
        max_ms = timeout_ms / 2;
    }
    int64_t limit_ms = CLAMP(timeout_ms / 4, MIN_FIRST_BYTE_TIMEOUT_MS,
                             MAX(max_ms, MIN_FIRST_BYTE_TIMEOUT_MS));
    return limit_ms * 1000000;
}

/* Returns how many further attempts a call may make after its first. */
static uint32_t
attempts_left(const struct rp_call *call, const struct rp_route *route)
{
    uint32_t max_retries =
        route->attempts > 0 ? route->attempts - 1 : DEFAULT_ATTEMPTS_LEFT;
    if (call->attempts_left != RP_ATTEMPTS_UNSET) {
        max_retries = route->attempts > 0
                          ? MIN(max_retries, call->attempts_left)
                          : call->attempts_left;
    }
    return MIN(max_retries, MAX_ATTEMPTS_LEFT);
}

static struct dispatch_call *
make_call(struct rp_dispatch *dispatch, struct rp_call *call,
          const struct rp_route *route, struct dispatch_service *service)
{
    uint32_t timeout_ms =
        call->timeout_ms > 0 ? call->timeout_ms : route->timeout_ms;
    timeout_ms = MIN(timeout_ms, route->max_timeout_ms);
    struct dispatch_call *new_call = g_new0(struct dispatch_call, 1);
    new_call->dispatch = dispatch;
    new_call->call = rp_call_ref(call);
    new_call->service = service;
    new_call->route.name = g_strdup(route->name);
    new_call->route.hash = XXH3_64bits(route->name, strlen(route->name));
    new_call->route.aim_ms = route->aim_ms;
    new_call->route.rank = route->rank;
    new_call->route.repeat_errors = route->repeat_errors;
    new_call->repeatable =
        route->repeatable_methods == RP_METHODS_ALL ||
        (call->method_flag & route->repeatable_methods) != 0;
    new_call->flags =
        (new_call->repeatable ? RP_CALL_REPEATABLE : 0) |
        (route->length_class == RP_LENGTH_LONG ? RP_CALL_LONG : 0);
    if (call->timeout_ms > 0) {
        struct rp_caller_return *callers =
            &dispatch_route_state(dispatch, route->name)->callers;
        uint32_t elapsed_ms = rp_caller_return_elapsed_ms(callers, timeout_ms);
        new_call->elapsed_ns = (int64_t)elapsed_ms * 1000000;
        if (elapsed_ms > 0) {
            new_call->flags |= RP_CALL_RETURNING;
            rp_counter_add(&dispatch->context->counters,
                           RP_COUNTER_CALLS_RETURNING, 1);
        }
    }
    new_call->kind = call_kind(call);
    new_call->attempts_left = attempts_left(call, route);
    new_call->deadline_ns = call->received_ns + (int64_t)timeout_ms * 1000000;
    new_call->first_byte_timeout_ns =
        first_byte_timeout_ns(dispatch, route, timeout_ms);
    new_call->hedge_due_ns = RP_KERNEL_NEVER_NS;
    new_call->first_byte_due_ns = RP_KERNEL_NEVER_NS;
    new_call->retry_due_ns = RP_KERNEL_NEVER_NS;
    return new_call;
}

static void
free_route(gpointer data)
{
    struct dispatch_route_state *state = data;
    rp_split_clear(&state->split);
    g_free(state);
}

/* Returns the state of a route, creating it if necessary. It is freed when a
 * snapshot no longer has the route. */
struct dispatch_route_state *
dispatch_route_state(struct rp_dispatch *dispatch, const char *name)
{
    struct dispatch_route_state *state =
        g_hash_table_lookup(dispatch->routes, name);
    if (state == NULL) {
        state = g_new0(struct dispatch_route_state, 1);
        g_hash_table_insert(dispatch->routes, g_strdup(name), state);
    }
    return state;
}

/* Returns the service that the next call of a route is sent to, or NULL when
 * the route has none or no record describes it. */
static struct dispatch_service *
choose_service(struct rp_dispatch *dispatch, const struct rp_route *route)
{
    uint32_t part = 0;
    if (route->part_count > 1) {
        part = rp_split_choose(
            &dispatch_route_state(dispatch, route->name)->split, route);
    }
    else if (route->parts[0].weight == 0) {
        part = RP_SPLIT_NO_PART;
    }
    if (part == RP_SPLIT_NO_PART) {
        return NULL;
    }
    return g_hash_table_lookup(dispatch->services, route->parts[part].service);
}

static gboolean
route_is_unused(gpointer key, gpointer value, gpointer data)
{
    (void)value;
    return !rp_snapshot_has_route(data, key);
}

static void
start_call(struct rp_dispatch *dispatch, struct rp_call *call, int64_t now_ns)
{
    rp_counter_add(&dispatch->context->counters, RP_COUNTER_CALLS, 1);
    dispatch->calls_since_local_state++;
    if (!dispatch->ready) {
        dispatch_ticket_refuse(dispatch, call, 503, NOT_READY_RETRY_MS,
                               "this entry VM has no configuration yet",
                               now_ns);
        return;
    }
    const struct rp_route *route =
        rp_snapshot_match(dispatch->snapshot, call->host, call->target);
    if (route == NULL) {
        dispatch_ticket_refuse(dispatch, call, 404, 0,
                               "no service has this host and path", now_ns);
        return;
    }
    if (call->body_bytes > 0 &&
        (uint64_t)call->body_bytes > route->max_body_bytes) {
        dispatch_ticket_refuse(dispatch, call, 413, 0,
                               "the body is over the limit of the service",
                               now_ns);
        return;
    }
    if (g_hash_table_size(dispatch->calls) >= dispatch->config.max_calls) {
        dispatch_ticket_refuse(dispatch, call, 503, TOO_MANY_CALLS_RETRY_MS,
                               "too many calls in progress", now_ns);
        return;
    }
    struct dispatch_service *service = choose_service(dispatch, route);
    if (service == NULL) {
        dispatch_ticket_refuse(dispatch, call, 503, NOT_READY_RETRY_MS,
                               "no record describes the service of this route",
                               now_ns);
        return;
    }
    struct dispatch_call *new_call = make_call(dispatch, call, route, service);
    if (call->ticket != NULL && !new_call->repeatable) {
        struct dispatch_ticket ticket = {0};
        if (!dispatch_ticket_admit(dispatch, call, &ticket, now_ns)) {
            dispatch_call_free(new_call);
            return;
        }
        new_call->ticket = ticket;
    }
    g_hash_table_insert(dispatch->calls, GSIZE_TO_POINTER(call->id), new_call);
    update_open_calls_counter(dispatch);
    if (call->request != NULL && route->max_body_bytes < UINT64_MAX) {
        rp_stream_set_limit(call->request, route->max_body_bytes);
        if (rp_stream_over_limit(call->request)) {
            dispatch_call_abort(new_call, RP_ABORT_BODY_TOO_LARGE, now_ns);
            return;
        }
    }
    dispatch_call_begin(new_call, now_ns);
    dispatch_poll_balancer(dispatch, service, now_ns);
}

static struct dispatch_service *
find_or_add_service(struct rp_dispatch *dispatch, const char *name)
{
    struct dispatch_service *service =
        g_hash_table_lookup(dispatch->services, name);
    if (service != NULL) {
        return service;
    }
    const struct rp_identity *identity = &dispatch->context->identity;
    struct rp_balancer_config config = {
        .domain = identity->domain,
        .fleet_size = MAX(identity->fleet_size, 1),
        .deciders = MAX(identity->fleet_size, 1),
        .queue_limit = 1024,
        .probes_per_s = dispatch->config.probes_per_s,
        .retry_ratio = dispatch->config.retry_ratio,
        .retry_allowance = dispatch->config.retry_allowance,
        .retry_window_ns = dispatch->config.retry_window_ns,
        .cold_overage = dispatch->config.cold_overage,
        .cold_slack = dispatch->config.cold_slack,
        .automatic_crossing = dispatch->config.automatic_crossing,
        .seed =
            XXH3_64bits_withSeed(name, strlen(name), identity->incarnation),
    };
    service = g_new0(struct dispatch_service, 1);
    service->name = g_strdup(name);
    service->fresh_connection_tokens = DISPATCH_MAX_FRESH_CONNECTION_TOKENS;
    service->balancer = rp_balancer_new(&config);
    service->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(dispatch->services, service->name, service);
    return service;
}

static void
free_service(gpointer data)
{
    struct dispatch_service *service = data;
    rp_balancer_free(service->balancer);
    g_hash_table_unref(service->targets);
    g_free(service->name);
    g_free(service);
}

static void
update_loan(struct rp_dispatch *dispatch, uint32_t fleet_size, int64_t now_ns)
{
    int64_t last_retry_ns = INT64_MIN;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, dispatch->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct dispatch_service *service = value;
        last_retry_ns =
            MAX(last_retry_ns, rp_balancer_last_retry_ns(service->balancer));
    }
    rp_budget_loan_update(&dispatch->loan, dispatch->members, fleet_size,
                          last_retry_ns, now_ns, &dispatch->loan_state);
    struct rp_counters *counters = &dispatch->context->counters;
    rp_counter_set(counters, RP_COUNTER_RETRY_BORROWED,
                   (uint64_t)(dispatch->loan_state.borrowed_share * 1e6));
    rp_counter_set(counters, RP_COUNTER_RETRY_LENT,
                   dispatch->loan_state.lent_ppm);
}

/* Updates in each balancer the number of entry VMs that choose targets for its
 * service, and its share of budgets. */
static void
update_deciders(struct rp_dispatch *dispatch, int64_t now_ns)
{
    if (dispatch->members == NULL) {
        return;
    }
    uint32_t fleet_size = dispatch->context->identity.fleet_size;
    double share = rp_budget_share(dispatch->members, fleet_size);
    const struct rp_budget_loan_state *loan = &dispatch->loan_state;
    if (dispatch->config.retry_loans) {
        update_loan(dispatch, fleet_size, now_ns);
    }
    if (dispatch->config.cold_overage > 0) {
        rp_cold_fleet_set(&dispatch->cold_fleet, dispatch->members,
                          fleet_size);
    }
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, dispatch->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct dispatch_service *service = value;
        struct rp_steering_choice choice;
        rp_steering_update(dispatch->steering, service->name,
                           dispatch->members, now_ns, &choice);
        uint32_t deciders = rp_steering_deciders(&choice, fleet_size);
        rp_balancer_set_deciders(service->balancer, deciders, now_ns);
        rp_balancer_set_share(service->balancer, share);
        if (dispatch->config.retry_loans) {
            rp_balancer_set_retry_share(service->balancer, loan->own_share,
                                        loan->borrowed_share,
                                        loan->borrowed_until_ns);
        }
        rp_balancer_set_cold_fleet(service->balancer, &dispatch->cold_fleet,
                                   now_ns);
    }
}

/* Applies a configuration. A service that is not in it keeps its balancer,
 * without targets. */
static void
apply_snapshot(struct rp_dispatch *dispatch,
               const struct rp_snapshot_message *message, int64_t now_ns)
{
    struct rp_snapshot *old = dispatch->snapshot;
    dispatch->snapshot = rp_snapshot_ref(message->snapshot);
    dispatch->ready = message->ready;
    for (uint32_t i = 0; i < rp_snapshot_service_count(message->snapshot); i++)
    {
        find_or_add_service(
            dispatch, rp_snapshot_get_service(message->snapshot, i)->name);
    }
    struct rp_service empty = {0};
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, dispatch->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct dispatch_service *service = value;
        service->service =
            rp_snapshot_find_service(message->snapshot, service->name);
        empty.name = service->name;
        rp_balancer_set_service(
            service->balancer,
            service->service == NULL ? &empty : service->service, now_ns);
        dispatch_drain_apply_records(service, now_ns);
    }
    rp_snapshot_unref(old);
    g_hash_table_foreach_remove(dispatch->routes, route_is_unused,
                                dispatch->snapshot);
    update_deciders(dispatch, now_ns);
    poll_all_balancers(dispatch, now_ns);
}

static void
handle_pause(struct rp_dispatch *dispatch, const struct rp_pause *pause,
             int64_t now_ns)
{
    dispatch->pause_end_ns = now_ns;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, dispatch->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct dispatch_service *service = value;
        rp_balancer_handle_pause(service->balancer, pause->gap_ns, now_ns);
    }
}

static void
run_due_calls(struct rp_dispatch *dispatch, int64_t now_ns)
{
    struct rp_due_item *first;
    while ((first = rp_due_queue_first(&dispatch->due)) != NULL &&
           first->at_ns <= now_ns)
    {
        struct dispatch_call *call = (struct dispatch_call *)first;
        struct dispatch_service *service = call->service;
        dispatch_call_due(call, now_ns);
        dispatch_poll_balancer(dispatch, service, now_ns);
    }
}

static void
set_call_timer(struct rp_dispatch *dispatch)
{
    struct rp_due_item *first = rp_due_queue_first(&dispatch->due);
    if (first == NULL) {
        rp_task_cancel_timer(dispatch->task, TIMER_CALLS);
    }
    else {
        rp_task_set_timer(dispatch->task, TIMER_CALLS, first->at_ns);
    }
}

static void
on_call_message(struct rp_dispatch *dispatch, const struct rp_message *message,
                int64_t now_ns)
{
    /* The bodies of these messages all begin with the call's id. */
    uint64_t id;
    memcpy(&id, message->body, sizeof(id));
    struct dispatch_call *call = find_call(dispatch, id);
    if (call == NULL) {
        return; /* late: the call has ended */
    }
    struct dispatch_service *service = call->service;
    switch (message->kind) {
    case RP_MSG_CALL_ABORT:
        dispatch_call_abort(
            call, ((const struct rp_call_abort *)message->body)->reason,
            now_ns);
        break;
    case RP_MSG_ATTEMPT_HEAD:
        dispatch_call_head(call, message->body, now_ns);
        break;
    case RP_MSG_ATTEMPT_DONE:
        dispatch_call_done(call, message->body, now_ns);
        break;
    default:
        break;
    }
    dispatch_poll_balancer(dispatch, service, now_ns);
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    struct rp_dispatch *dispatch = data;
    switch (message->kind) {
    case RP_MSG_PAUSE_DETECTED:
        handle_pause(dispatch, message->body, now_ns);
        break;
    case RP_MSG_SNAPSHOT:
        apply_snapshot(dispatch, message->body, now_ns);
        break;
    case RP_MSG_MEMBERS: {
        const struct rp_member_message *members = message->body;
        struct rp_member_view *old = dispatch->members;
        dispatch->members = rp_member_view_ref(members->view);
        rp_member_view_unref(old);
        update_deciders(dispatch, now_ns);
        break;
    }
    case RP_MSG_PROBE_DONE:
        record_probe_result(dispatch, message->body, now_ns);
        break;
    case RP_MSG_TARGET_HINT:
        dispatch_hint_receive(dispatch, message->body, now_ns);
        break;
    case RP_MSG_CALL_START:
        start_call(dispatch,
                   ((const struct rp_call_start *)message->body)->call,
                   now_ns);
        break;
    case RP_MSG_STATUS_REQUEST:
        rp_status_reply(task, message, "services",
                        rp_dispatch_status(dispatch, now_ns));
        break;
    case RP_MSG_CALL_ABORT:
    case RP_MSG_ATTEMPT_HEAD:
    case RP_MSG_ATTEMPT_DONE:
        on_call_message(dispatch, message, now_ns);
        break;
    default:
        break;
    }
    set_call_timer(dispatch);
}

static void
on_timer(struct rp_task *task, uint32_t timer, int64_t now_ns, void *data)
{
    (void)task;
    struct rp_dispatch *dispatch = data;
    if (timer == TIMER_BALANCERS) {
        poll_all_balancers(dispatch, now_ns);
    }
    if (timer == TIMER_LOCAL_STATE) {
        dispatch_send_local_state(dispatch,
                                  dispatch->calls_since_local_state * 1000 /
                                      FULL_LOAD_CALLS_PER_INTERVAL,
                                  now_ns);
        dispatch->calls_since_local_state = 0;
        rp_task_set_timer(dispatch->task, TIMER_LOCAL_STATE,
                          now_ns + LOCAL_STATE_INTERVAL_NS);
    }
    run_due_calls(dispatch, now_ns);
    set_call_timer(dispatch);
}

static void
free_call(gpointer data)
{
    dispatch_call_free(data);
}

static void
on_remove(struct rp_task *task, void *data)
{
    (void)task;
    struct rp_dispatch *dispatch = data;
    g_hash_table_unref(dispatch->calls);
    g_hash_table_unref(dispatch->services);
    g_hash_table_unref(dispatch->routes);
    rp_snapshot_unref(dispatch->snapshot);
    rp_member_view_unref(dispatch->members);
    rp_steering_free(dispatch->steering);
    rp_cold_fleet_clear(&dispatch->cold_fleet);
    rp_ticket_table_free(dispatch->tickets);
    g_free(dispatch->key_bytes);
    rp_due_queue_clear(&dispatch->due);
    g_free(dispatch);
}

static const struct rp_task_ops dispatch_ops = {on_message, on_timer,
                                                on_remove};

/* Adds the task "dispatch", which decides where calls are sent. It has no
 * clock and no socket, so that it can run in virtual time. It is freed with
 * the kernel. Returns NULL with an error set when the task cannot be added. */
struct rp_dispatch *
rp_dispatch_new(struct rp_kernel *kernel,
                const struct rp_dispatch_config *config, int64_t now_ns,
                GError **error)
{
    struct rp_dispatch *dispatch = g_new0(struct rp_dispatch, 1);
    dispatch->task = rp_kernel_add_task(kernel, RP_TASK_DISPATCH,
                                        &dispatch_ops, dispatch, error);
    if (dispatch->task == NULL) {
        g_free(dispatch);
        return NULL;
    }
    dispatch->context = rp_kernel_context(kernel);
    dispatch->steering = rp_steering_new();
    rp_budget_loan_init(&dispatch->loan,
                        config->retry_window_ns > 0
                            ? config->retry_window_ns
                            : RP_BALANCER_DEFAULT_RETRY_WINDOW_NS,
                        now_ns);
    dispatch->config = *config;
    if (dispatch->config.max_first_byte_timeout_ms == 0) {
        dispatch->config.max_first_byte_timeout_ms =
            DEFAULT_MAX_FIRST_BYTE_TIMEOUT_MS;
    }
    if (config->max_calls == 0 || config->max_calls > MAX_CALLS) {
        dispatch->config.max_calls = MAX_CALLS;
    }
    dispatch->calls = g_hash_table_new_full(NULL, NULL, NULL, free_call);
    dispatch->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    dispatch->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_route);
    dispatch->balancer_due_ns = RP_KERNEL_NEVER_NS;
    if (config->ticket_key.byte_count > 0) {
        struct rp_ticket_config tickets = {
            .id = dispatch->context->identity.id,
            .incarnation = dispatch->context->identity.incarnation,
            .key = config->ticket_key,
        };
        dispatch->key_bytes =
            g_memdup2(config->ticket_key.bytes, config->ticket_key.byte_count);
        dispatch->config.ticket_key.bytes = dispatch->key_bytes;
        dispatch->tickets = rp_ticket_table_new(&tickets, now_ns);
    }
    rp_task_set_timer(dispatch->task, TIMER_LOCAL_STATE, now_ns);
    return dispatch;
}

/* Returns the number of calls in progress. */
uint32_t
rp_dispatch_call_count(const struct rp_dispatch *dispatch)
{
    return g_hash_table_size(dispatch->calls);
}

/* Calls visit for each service and its balancer, in no particular order. */
void
rp_dispatch_each_service(struct rp_dispatch *dispatch,
                         void (*visit)(const char *service,
                                       struct rp_balancer *balancer,
                                       void *data),
                         void *data)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, dispatch->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct dispatch_service *service = value;
        visit(service->name, service->balancer, data);
    }
}
