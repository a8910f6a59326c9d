#include "readiness.h"

#include <string.h>

struct peer_word {
    enum rp_config_phase phase;
    int64_t heard_ns;
};

struct rp_readiness {
    char *own_id;
    int64_t boot_wait_end_ns;
    bool holds;  /* a whole answer of the platform or of a peer */
    bool joined; /* the whole state of an in-force peer */
    enum rp_config_phase phase;
    struct rp_vm_list *vms; /* NULL until the platform has answered */
    GHashTable *peers;      /* id to struct peer_word */
};

/* Creates the rule's state for a VM that starts now. boot_wait_ns is how long
 * it waits for the word of others before it serves with platform data only.
 * Free it with rp_readiness_free. */
struct rp_readiness *
rp_readiness_new(const char *own_id, int64_t boot_wait_ns, int64_t now_ns)
{
    struct rp_readiness *readiness = g_new0(struct rp_readiness, 1);
    readiness->own_id = g_strdup(own_id);
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
    g_free(readiness->own_id);
    g_free(readiness);
}

/* Takes note of the platform's list of VMs, which gains a reference. */
void
rp_readiness_set_vms(struct rp_readiness *readiness, struct rp_vm_list *list)
{
    rp_vm_list_ref(list);
    rp_vm_list_unref(readiness->vms);
    readiness->vms = list;
}

/* Takes note of what a peer says of itself. */
void
rp_readiness_record_peer_phase(struct rp_readiness *readiness, const char *id,
                               enum rp_config_phase phase, int64_t now_ns)
{
    struct peer_word *word = g_hash_table_lookup(readiness->peers, id);
    if (word == NULL) {
        if (g_hash_table_size(readiness->peers) >= RP_VM_LIST_MAX) {
            return;
        }
        word = g_new0(struct peer_word, 1);
        g_hash_table_insert(readiness->peers, g_strdup(id), word);
    }
    word->phase = phase;
    word->heard_ns = now_ns;
}

/* Takes note that a whole answer of the platform is held. */
void
rp_readiness_record_platform_read(struct rp_readiness *readiness)
{
    readiness->holds = true;
}

/* Takes note that the whole state of a peer is held. It counts for start
 * rule (a) when the peer said that it is in force. */
void
rp_readiness_record_peer_sync(struct rp_readiness *readiness, const char *peer)
{
    const struct peer_word *word = g_hash_table_lookup(readiness->peers, peer);
    readiness->holds = true;
    if (word != NULL && word->phase == RP_CONFIG_IN_FORCE) {
        readiness->joined = true;
    }
}

/* A list without this VM is older than this VM, so others that start now may
 * be missing as well and it proves nothing. */
static bool
all_others_start_too(const struct rp_readiness *readiness, int64_t now_ns)
{
    bool self_is_listed = false;
    if (readiness->vms == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < rp_vm_list_count(readiness->vms); i++) {
        const struct rp_vm *vm = rp_vm_list_get(readiness->vms, i);
        if (!vm->entry || vm->leaving) {
            continue;
        }
        if (strcmp(vm->id, readiness->own_id) == 0) {
            self_is_listed = true;
            continue;
        }
        const struct peer_word *word =
            g_hash_table_lookup(readiness->peers, vm->id);
        if (word == NULL || word->phase == RP_CONFIG_IN_FORCE ||
            now_ns - word->heard_ns > RP_READINESS_WORD_NS)
        {
            return false;
        }
    }
    return self_is_listed;
}

/* Returns the phase at this time. It never goes back. */
enum rp_config_phase
rp_readiness_phase(struct rp_readiness *readiness, int64_t now_ns)
{
    if (readiness->phase == RP_CONFIG_IN_FORCE || !readiness->holds) {
        return readiness->phase;
    }
    if (readiness->joined || all_others_start_too(readiness, now_ns)) {
        readiness->phase = RP_CONFIG_IN_FORCE;
    }
    else if (now_ns >= readiness->boot_wait_end_ns) {
        readiness->phase = RP_CONFIG_PROVISIONAL;
    }
    return readiness->phase;
}

/* Returns when the phase may change without news: the end of the boot wait,
 * or never while there is nothing to put in force. */
int64_t
rp_readiness_due_ns(const struct rp_readiness *readiness)
{
    if (readiness->phase != RP_CONFIG_STARTING || !readiness->holds) {
        return INT64_MAX;
    }
    return readiness->boot_wait_end_ns;
}
