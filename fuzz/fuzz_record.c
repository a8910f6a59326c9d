#include <stdlib.h>
#include <string.h>

#include "msgpack_check.h"
#include "record_batch.h"
#include "record_set.h"
#include "revision.h"
#include "vm_list.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count);

static const char *const keys[] = {"v1/a",        "service/a", "targets/a/new",
                                   "share/a",     "routes",    "target/a",
                                   "evacuation/a"};

/* The revisions of one key are of two epochs of the platform, and the later
 * epoch has the lower counter. */
static uint64_t
revision_of(guint i)
{
    return rp_revision_make(i % 2, 2 - i % 2);
}

/* Offers the input as a record of each kind to two sets in opposite orders.
 * The sets must be equal, because accepting records is a join and doesn't
 * depend on the order. The input is also parsed as a list of VMs and as an
 * encoded batch. */
int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count)
{
    struct rp_record_set *forward = rp_record_set_new();
    struct rp_record_set *backward = rp_record_set_new();
    size_t half = count / 2;
    GBytes *values[] = {g_bytes_new(bytes, count),
                        g_bytes_new(bytes + half, count - half)};
    for (guint i = 0; i < 2 * G_N_ELEMENTS(keys); i++) {
        guint j = 2 * G_N_ELEMENTS(keys) - 1 - i;
        struct rp_record_item first = {(char *)keys[i / 2], revision_of(i),
                                       values[i % 2]};
        struct rp_record_item last = {(char *)keys[j / 2], revision_of(j),
                                      values[j % 2]};
        struct rp_record_offer_result result;
        rp_record_set_offer(forward, &first, &result, NULL);
        rp_record_set_offer(backward, &last, &result, NULL);
    }
    if (rp_record_set_digest(forward) != rp_record_set_digest(backward)) {
        abort();
    }
    GPtrArray *warnings = g_ptr_array_new_with_free_func(g_free);
    rp_snapshot_unref(rp_record_set_build(forward, NULL, warnings));
    g_ptr_array_unref(warnings);
    rp_vm_list_unref(rp_vm_list_parse((const char *)bytes, count, NULL));
    /* Callers of rp_record_batch_decode check counts and depth first. */
    if (rp_msgpack_check(bytes, count)) {
        rp_record_batch_unref(rp_record_batch_decode(bytes, count, NULL));
    }
    for (guint i = 0; i < G_N_ELEMENTS(values); i++) {
        g_bytes_unref(values[i]);
    }
    rp_record_set_free(forward);
    rp_record_set_free(backward);
    return 0;
}
