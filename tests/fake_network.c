#include "fake_network.h"

#include <string.h>

#include "wire.h"

static void
receive(struct fake_process *process, void *data, uint64_t number)
{
    (void)number;
    GBytes *payload = data;
    struct rp_wire_received received = {payload};
    if (process == NULL ||
        !rp_task_send_owned(rp_kernel_find_task(process->kernel, "wire"),
                            rp_kernel_find_task(process->kernel, "gossip"),
                            RP_MSG_WIRE_RECEIVED, &received, sizeof(received),
                            rp_wire_received_release))
    {
        g_bytes_unref(payload);
    }
}

static void
deliver(struct fake_network *network, uint32_t place, GBytes *payload)
{
    int64_t delay_ns =
        200000 + (int64_t)(g_rand_double(network->random) *
                           (double)MAX(network->delay_ns, 1000000));
    fake_process_input_at(network->at[place],
                          fake_clock_now_ns(network->clock) + delay_ns,
                          receive, g_bytes_ref(payload), 0);
}

static bool
happens(struct fake_network *network, uint32_t permille)
{
    return (uint32_t)g_rand_int_range(network->random, 0, 1000) < permille;
}

static void
send_packet(struct fake_network *network, const struct fake_process *from,
            const struct rp_wire_send *send)
{
    network->sent++;
    for (uint32_t place = 0; place < network->place_count; place++) {
        if (strcmp(network->address[place], send->peer_address) != 0) {
            continue;
        }
        if (network->at[place] == NULL || network->cut[from->index][place] ||
            happens(network, network->lose_permille))
        {
            network->lost++;
            return;
        }
        deliver(network, place, send->payload);
        if (happens(network, network->duplicate_permille)) {
            deliver(network, place, send->payload);
        }
    }
}

struct wire_task {
    struct fake_network *network;
    struct fake_process *process;
};

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    (void)now_ns;
    struct wire_task *wire = data;
    if (message->kind == RP_MSG_WIRE_SEND) {
        send_packet(wire->network, wire->process, message->body);
    }
}

static void
on_remove(struct rp_task *task, void *data)
{
    (void)task;
    g_free(data);
}

static const struct rp_task_ops wire_ops = {
    .on_message = on_message,
    .on_remove = on_remove,
};

/* Adds the task "wire" to a process, which lives at the place of its index
 * from now on. */
void
fake_network_attach(struct fake_network *network, struct fake_process *process)
{
    struct wire_task *wire = g_new0(struct wire_task, 1);
    wire->network = network;
    wire->process = process;
    network->at[process->index] = process;
    rp_kernel_add_task(process->kernel, "wire", &wire_ops, wire, NULL);
}
