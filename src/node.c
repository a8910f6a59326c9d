#include "node.h"

#include <ev.h>
#include <signal.h>
#include <sys/random.h>

#include "admin.h"
#include "loop.h"

struct rp_node {
    struct rp_context *context;
    struct rp_kernel *kernel;
    struct rp_loop *loop;
    ev_signal terminate;
    ev_signal interrupt;
};

/* Incarnations rise from start to start of a VM even if its clock is set
 * back by less than the time between two starts: microseconds of wall time,
 * with random low bits so that two VMs given one id by mistake differ. */
static uint64_t
choose_incarnation(void)
{
    uint8_t noise = 0;
    if (getrandom(&noise, sizeof(noise), 0) != sizeof(noise)) {
        noise = 0;
    }
    return ((uint64_t)g_get_real_time() << 8 | noise) & INT64_MAX;
}

static struct rp_context *
create_context(const struct rp_settings *settings)
{
    struct rp_identity identity = {
        .incarnation = choose_incarnation(),
        .fleet_size =
            (uint32_t)rp_settings_number(settings, RP_SETTING_FLEET_SIZE),
    };
    g_strlcpy(identity.id, rp_settings_text(settings, RP_SETTING_ID),
              sizeof(identity.id));
    g_strlcpy(identity.domain, rp_settings_text(settings, RP_SETTING_DOMAIN),
              sizeof(identity.domain));
    g_strlcpy(identity.address,
              rp_settings_text(settings, RP_SETTING_CALLER_ADDRESS),
              sizeof(identity.address));
    g_strlcpy(identity.peer_address,
              rp_settings_text(settings, RP_SETTING_PEER_ADDRESS),
              sizeof(identity.peer_address));
    return rp_context_new(&identity, (uint32_t)identity.incarnation);
}

/* The first signal asks for a graceful shutdown, the second ends at once. */
static void
on_stop_signal(struct ev_loop *ev, ev_signal *watcher, int events)
{
    (void)ev;
    (void)events;
    struct rp_node *node = watcher->data;
    if (rp_kernel_stopping(node->kernel)) {
        g_warning("second signal: ending now, requests in flight are cut");
        rp_loop_end(node->loop);
        return;
    }
    g_message("signal received: no new work is taken; a second signal ends "
              "the process at once");
    rp_kernel_request_stop(node->kernel);
}

static void
watch_signal(struct rp_node *node, ev_signal *watcher, int signal_number)
{
    ev_signal_init(watcher, on_stop_signal, signal_number);
    watcher->data = node;
    ev_signal_start(rp_loop_ev(node->loop), watcher);
    ev_unref(rp_loop_ev(node->loop));
}

static bool
start_tasks(struct rp_node *node, const struct rp_settings *settings,
            GError **error)
{
    const char *admin = rp_settings_text(settings, RP_SETTING_ADMIN_ADDRESS);
    return rp_admin_start(node->loop, admin, error) != NULL;
}

/* Creates an entry process from checked settings and opens its ports. Returns
 * NULL with an error set when one cannot be opened. Free it with
 * rp_node_free. */
struct rp_node *
rp_node_start(const struct rp_settings *settings, GError **error)
{
    struct rp_node *node = g_new0(struct rp_node, 1);
    node->context = create_context(settings);
    node->kernel = rp_kernel_new(node->context);
    node->loop = rp_loop_new(node->kernel);
    if (!start_tasks(node, settings, error)) {
        rp_node_free(node);
        return NULL;
    }
    signal(SIGPIPE, SIG_IGN);
    watch_signal(node, &node->terminate, SIGTERM);
    watch_signal(node, &node->interrupt, SIGINT);
    rp_event_add(node->context->events, RP_EVENT_STARTED, rp_loop_now_ns(),
                 node->context->identity.id);
    return node;
}

/* Serves until the shutdown is complete. */
void
rp_node_run(struct rp_node *node)
{
    g_message("serving callers on %s, peers on %s",
              node->context->identity.address,
              node->context->identity.peer_address);
    rp_loop_run(node->loop);
}

static void
unwatch_signal(struct rp_node *node, ev_signal *watcher)
{
    if (ev_is_active(watcher)) {
        ev_ref(rp_loop_ev(node->loop));
        ev_signal_stop(rp_loop_ev(node->loop), watcher);
    }
}

/* Closes all ports and frees an entry process. */
void
rp_node_free(struct rp_node *node)
{
    unwatch_signal(node, &node->terminate);
    unwatch_signal(node, &node->interrupt);
    rp_kernel_free(node->kernel);
    rp_loop_free(node->loop);
    rp_context_free(node->context);
    g_free(node);
}
