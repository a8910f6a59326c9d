#ifndef RP_VM_LIST_H
#define RP_VM_LIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "context.h"

#define RP_VM_LIST_MAX 8192

/* One VM of the platform's list of live and leaving VMs. The list lags. */
struct rp_vm {
    char id[RP_ID_BYTES];
    char address[RP_ADDRESS_BYTES]; /* for callers, "ip:port" */
    char peer[RP_ADDRESS_BYTES];    /* for peers, "ip:port"; "" for targets */
    char domain[RP_DOMAIN_BYTES];
    bool entry; /* an entry VM; otherwise a target */
    bool leaving;
};

/* An immutable, reference counted list. */
struct rp_vm_list;

/* Body of RP_MSG_PLATFORM_VMS (platform to all): holds one reference, which
 * the kernel releases with rp_vm_list_message_release. */
struct rp_vm_list_message {
    struct rp_vm_list *list;
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_vm_list *rp_vm_list_new(int64_t as_of_ms);
struct rp_vm_list *rp_vm_list_parse(const char *text, size_t text_bytes,
                                    GError **error);
struct rp_vm_list *rp_vm_list_ref(struct rp_vm_list *list);
void rp_vm_list_unref(struct rp_vm_list *list);
void rp_vm_list_add(struct rp_vm_list *list, const struct rp_vm *vm);
int64_t rp_vm_list_as_of_ms(const struct rp_vm_list *list);
uint32_t rp_vm_list_count(const struct rp_vm_list *list);
const struct rp_vm *rp_vm_list_get(const struct rp_vm_list *list,
                                   uint32_t index);
void rp_vm_list_message_release(void *body);

#ifdef __cplusplus
}
#endif

#endif
