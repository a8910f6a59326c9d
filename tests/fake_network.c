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
schedule_delivery(struct fake_network *network, uint32_t vm_index,
                  GBytes *payload)
{
    int64_t delay_ns =
        200000 + (int64_t)(g_rand_double(network->random) *
                           (double)MAX(network->max_delay_ns, 1000000));
    fake_process_input_at(network->processes[vm_index],
                          fake_clock_now_ns(network->clock) + delay_ns,
                          receive, g_bytes_ref(payload), 0);
}

static bool
random_chance(struct fake_network *network, uint32_t permille)
{
    return (uint32_t)g_rand_int_range(network->random, 0, 1000) < permille;
}

static void
send_message(struct fake_network *network, const struct fake_process *from,
             const struct rp_wire_send *send)
{
    network->sent_count++;
    for (uint32_t vm_index = 0; vm_index < network->vm_count; vm_index++) {
        if (strcmp(network->addresses[vm_index], send->peer_address) != 0) {
            continue;
        }
        if (network->processes[vm_index] == NULL ||
            network->cut[from->vm_index][vm_index] ||
            random_chance(network, network->loss_permille))
        {
            network->lost_count++;
            return;
        }
        schedule_delivery(network, vm_index, send->payload);
        if (random_chance(network, network->duplicate_permille)) {
            schedule_delivery(network, vm_index, send->payload);
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
        send_message(wire->network, wire->process, message->body);
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

/* Adds the task "wire" to a process and makes it the receiver of the messages
 * to its VM. */
void
fake_network_attach(struct fake_network *network, struct fake_process *process)
{
    struct wire_task *wire = g_new0(struct wire_task, 1);
    wire->network = network;
    wire->process = process;
    network->processes[process->vm_index] = process;
    rp_kernel_add_task(process->kernel, "wire", &wire_ops, wire, NULL);
}
