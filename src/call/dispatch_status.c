#include "dispatch_status.h"

#include <string.h>

#include "balancer.h"
#include "dispatch_call.h"

/* Returns how many requests of a service were sent to targets of an estate;
 * NULL for all estates. */
static uint64_t
sum_sent(struct rp_balancer *balancer, const char *estate, int64_t now_ns)
{
    uint64_t sum = 0;
    uint32_t count = rp_balancer_target_count(balancer);
    for (uint32_t i = 0; i < count; i++) {
        struct rp_balancer_target_view view;
        rp_balancer_view(balancer, i, now_ns, &view);
        if (estate == NULL || strcmp(view.estate, estate) == 0) {
            sum += view.sent;
        }
    }
    return sum;
}

static json_t *
describe_estates(const struct dispatch_service *service, int64_t now_ns)
{
    json_t *list = json_array();
    uint64_t total = sum_sent(service->balancer, NULL, now_ns);
    for (uint32_t i = 0; i < service->service->estate_count; i++) {
        const struct rp_estate *estate = &service->service->estates[i];
        uint64_t sent = sum_sent(service->balancer, estate->name, now_ns);
        json_array_append_new(
            list,
            json_pack("{s:s, s:i, s:I}", "name", estate->name,
                      "wanted_permille", (int)estate->share_permille,
                      "given_permille",
                      (json_int_t)(total == 0 ? 0 : sent * 1000 / total)));
    }
    return list;
}

static void
describe_cold(const struct rp_balancer_target_view *view, json_t *target)
{
    json_object_set_new(target, "cold_ms",
                        json_integer(view->cold_ns / 1000000));
    json_object_set_new(target, "cold_calls_per_s",
                        json_real(view->cold_calls_per_s));
    json_object_set_new(target, "cold_sent",
                        json_integer((json_int_t)view->cold_sent));
}

static json_t *
describe_targets(struct rp_balancer *balancer, int64_t now_ns)
{
    json_t *list = json_array();
    uint32_t count = rp_balancer_target_count(balancer);
    for (uint32_t i = 0; i < count; i++) {
        struct rp_balancer_target_view view;
        rp_balancer_view(balancer, i, now_ns, &view);
        json_int_t age_ms =
            view.report_age_ns < 0 ? -1 : view.report_age_ns / 1000000;
        json_t *target = json_pack(
            "{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I}", "name", view.name,
            "address", view.address, "estate", view.estate, "state",
            view.state, "in_flight", (json_int_t)view.in_flight, "limit",
            (json_int_t)view.limit, "report_age_ms", age_ms, "sent",
            (json_int_t)view.sent);
        if (view.cold_limited) {
            describe_cold(&view, target);
        }
        json_array_append_new(list, target);
    }
    return list;
}

/* Describes how many of a service's calls may leave the failure domain. */
static json_t *
describe_crossing(const struct rp_balancer *balancer)
{
    const struct rp_crossing *crossing = rp_balancer_crossing(balancer);
    return json_pack(
        "{s:s, s:I, s:I}", "rule", crossing->automatic ? "auto" : "fixed",
        "share_permille", (json_int_t)(rp_crossing_share(crossing) * 1000),
        "local_use_permille", (json_int_t)(crossing->local.recent * 1000));
}

static json_int_t
count_in_progress(const struct rp_dispatch *dispatch,
                  const struct dispatch_service *service)
{
    json_int_t sum = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, dispatch->calls);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct dispatch_call *call = value;
        sum += call->service == service;
    }
    return sum;
}

static gint
compare_services(gconstpointer a, gconstpointer b)
{
    const struct dispatch_service *left = a;
    const struct dispatch_service *right = b;
    return strcmp(left->name, right->name);
}

/* Returns the section "services" of the status document: each configured
 * service, sorted by name, with its estates, targets, queue and calls in
 * progress. The caller owns the reference. */
json_t *
rp_dispatch_status(const struct rp_dispatch *dispatch, int64_t now_ns)
{
    json_t *list = json_array();
    GList *services = g_list_sort(g_hash_table_get_values(dispatch->services),
                                  compare_services);
    for (GList *link = services; link != NULL; link = link->next) {
        const struct dispatch_service *service = link->data;
        if (service->service == NULL) {
            continue;
        }
        json_array_append_new(
            list,
            json_pack("{s:s, s:I, s:I, s:o, s:o, s:o}", "name", service->name,
                      "queued",
                      (json_int_t)rp_balancer_queued(service->balancer),
                      "in_progress", count_in_progress(dispatch, service),
                      "crossing", describe_crossing(service->balancer),
                      "estates", describe_estates(service, now_ns), "targets",
                      describe_targets(service->balancer, now_ns)));
    }
    g_list_free(services);
    return list;
}
