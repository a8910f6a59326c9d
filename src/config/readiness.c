#include "readiness.h"

#include <string.h>

struct peer_report {
    enum rp_config_phase phase;
    int64_t received_ns;
};

struct rp_readiness {
    char *local_id;
    int64_t boot_wait_end_ns;
    bool has_records;      /* of a whole answer of the platform or of a peer */
    bool synced_with_peer; /* has all records of a peer that is in force */
    enum rp_config_phase phase;
    struct rp_vm_list *vms; /* NULL until the first list */
    GHashTable *peers;      /* id to struct peer_report */
};

/* Creates the state of a VM that starts now; local_id is copied. boot_wait_ns
 * is how long the VM waits for its peers before it serves with the platform's
 * records only. Free it with rp_readiness_free. */
struct rp_readiness *
rp_readiness_new(const char *local_id, int64_t boot_wait_ns, int64_t now_ns)
{
    struct rp_readiness *readiness = g_new0(struct rp_readiness, 1);
    readiness->local_id = g_strdup(local_id);
    readiness->boot_wait_end_ns = now_ns + boot_wait_ns;
    readiness->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return readiness;
}

/* Frees the state; NULL is allowed. */
void
rp_readiness_free(struct rp_readiness *readiness)
{
    if (readiness == NULL) {
        return;
    }
    rp_vm_list_unref(readiness->vms);
    g_hash_table_unref(readiness->peers);
    g_free(readiness->local_id);
    g_free(readiness);
}

/* Replaces the platform's list of VMs, which gains a reference. */
void
rp_readiness_set_vms(struct rp_readiness *readiness, struct rp_vm_list *list)
{
    rp_vm_list_ref(list);
    rp_vm_list_unref(readiness->vms);
    readiness->vms = list;
}

/* Records the phase that a peer reported. Peers above RP_VM_LIST_MAX are
 * ignored. */
void
rp_readiness_record_peer_phase(struct rp_readiness *readiness, const char *id,
                               enum rp_config_phase phase, int64_t now_ns)
{
    struct peer_report *report = g_hash_table_lookup(readiness->peers, id);
    if (report == NULL) {
        if (g_hash_table_size(readiness->peers) >= RP_VM_LIST_MAX) {
            return;
        }
        report = g_new0(struct peer_report, 1);
        g_hash_table_insert(readiness->peers, g_strdup(id), report);
    }
    report->phase = phase;
    report->received_ns = now_ns;
}

/* Records that all pages of an answer of the platform were received. */
void
rp_readiness_record_platform_read(struct rp_readiness *readiness)
{
    readiness->has_records = true;
}

/* Records that this VM has received all records of a peer. Start rule (a) is
 * met when the peer's last reported phase is IN_FORCE. */
void
rp_readiness_record_peer_sync(struct rp_readiness *readiness, const char *peer)
{
    const struct peer_report *report =
        g_hash_table_lookup(readiness->peers, peer);
    readiness->has_records = true;
    if (report != NULL && report->phase == RP_CONFIG_IN_FORCE) {
        readiness->synced_with_peer = true;
    }
}

/* Start rule (b): all other entry VMs in the list have recently reported that
 * they are not in force either. A list without this VM does not count: it was
 * made before this VM started, so it may lack others that start now. */
static bool
all_peers_are_starting(const struct rp_readiness *readiness, int64_t now_ns)
{
    bool lists_local_vm = false;
    if (readiness->vms == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < rp_vm_list_count(readiness->vms); i++) {
        const struct rp_vm *vm = rp_vm_list_get(readiness->vms, i);
        if (!vm->entry || vm->leaving) {
            continue;
        }
        if (strcmp(vm->id, readiness->local_id) == 0) {
            lists_local_vm = true;
            continue;
        }
        const struct peer_report *report =
            g_hash_table_lookup(readiness->peers, vm->id);
        if (report == NULL || report->phase == RP_CONFIG_IN_FORCE ||
            now_ns - report->received_ns > RP_READINESS_MAX_PHASE_AGE_NS)
        {
            return false;
        }
    }
    return lists_local_vm;
}

/* Returns the phase at this time. A VM that is in force stays so. */
enum rp_config_phase
rp_readiness_phase(struct rp_readiness *readiness, int64_t now_ns)
{
    if (readiness->phase == RP_CONFIG_IN_FORCE || !readiness->has_records) {
        return readiness->phase;
    }
    if (readiness->synced_with_peer ||
        all_peers_are_starting(readiness, now_ns)) {
        readiness->phase = RP_CONFIG_IN_FORCE;
    }
    else if (now_ns >= readiness->boot_wait_end_ns) {
        readiness->phase = RP_CONFIG_PROVISIONAL;
    }
    return readiness->phase;
}

/* Returns when the phase changes if nothing is recorded before: the end of the
 * boot wait, or INT64_MAX while there are no records to put in force. */
int64_t
rp_readiness_due_ns(const struct rp_readiness *readiness)
{
    if (readiness->phase != RP_CONFIG_STARTING || !readiness->has_records) {
        return INT64_MAX;
    }
    return readiness->boot_wait_end_ns;
}
