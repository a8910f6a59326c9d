#include "vm_list.h"

#include <jansson.h>
#include <string.h>

#include "error.h"

struct rp_vm_list {
    grefcount references;
    GArray *vms;
    int64_t as_of_ms;
};

/* Creates an empty list with one reference. as_of_ms is the platform's wall
 * clock time, in milliseconds, at which the list was made. */
struct rp_vm_list *
rp_vm_list_new(int64_t as_of_ms)
{
    struct rp_vm_list *list = g_new0(struct rp_vm_list, 1);
    g_ref_count_init(&list->references);
    list->vms = g_array_new(FALSE, FALSE, sizeof(struct rp_vm));
    list->as_of_ms = as_of_ms;
    return list;
}

/* Adds a reference and returns the list. */
struct rp_vm_list *
rp_vm_list_ref(struct rp_vm_list *list)
{
    g_ref_count_inc(&list->references);
    return list;
}

/* Releases a reference; the last one frees the list. NULL is allowed. */
void
rp_vm_list_unref(struct rp_vm_list *list)
{
    if (list == NULL || !g_ref_count_dec(&list->references)) {
        return;
    }
    g_array_unref(list->vms);
    g_free(list);
}

/* Adds a copy of a VM. Must not be called once the list is shared. VMs above
 * RP_VM_LIST_MAX are dropped. */
void
rp_vm_list_add(struct rp_vm_list *list, const struct rp_vm *vm)
{
    if (list->vms->len < RP_VM_LIST_MAX) {
        g_array_append_vals(list->vms, vm, 1);
    }
}

/* Returns the platform's wall clock time at which the list was made, in
 * milliseconds. */
int64_t
rp_vm_list_as_of_ms(const struct rp_vm_list *list)
{
    return list->as_of_ms;
}

/* Returns the number of VMs. */
uint32_t
rp_vm_list_count(const struct rp_vm_list *list)
{
    return list->vms->len;
}

/* Returns a VM by its position; it belongs to the list. */
const struct rp_vm *
rp_vm_list_get(const struct rp_vm_list *list, uint32_t index)
{
    return &g_array_index(list->vms, struct rp_vm, index);
}

/* Releases the reference in the body of an RP_MSG_PLATFORM_VMS message. */
void
rp_vm_list_message_release(void *body)
{
    struct rp_vm_list_message *message = body;
    rp_vm_list_unref(message->list);
}

static bool
copy_text(const json_t *object, const char *name, char *out, size_t out_bytes)
{
    const char *text = json_string_value(json_object_get(object, name));
    if (text == NULL) {
        out[0] = '\0';
        return false;
    }
    return g_strlcpy(out, text, out_bytes) < out_bytes;
}

static bool
parse_vm(const json_t *object, struct rp_vm *vm)
{
    const char *role = json_string_value(json_object_get(object, "role"));
    const char *state = json_string_value(json_object_get(object, "state"));
    if (role == NULL || state == NULL ||
        !copy_text(object, "id", vm->id, sizeof(vm->id)) ||
        !copy_text(object, "address", vm->address, sizeof(vm->address)) ||
        !copy_text(object, "domain", vm->domain, sizeof(vm->domain)))
    {
        return false;
    }
    copy_text(object, "peer", vm->peer, sizeof(vm->peer));
    vm->entry = strcmp(role, "entry") == 0;
    vm->leaving = strcmp(state, "leaving") == 0;
    return vm->id[0] != '\0' && (!vm->entry || vm->peer[0] != '\0');
}

/* Parses the platform's answer to GET /vms. Entries that lack a field are
 * skipped, since the list is a hint and the other entries are still useful.
 * Returns a list with one reference, or NULL with RP_ERROR_PLATFORM set. */
struct rp_vm_list *
rp_vm_list_parse(const char *text, size_t text_bytes, GError **error)
{
    json_error_t json_error;
    json_t *root = json_loadb(text, text_bytes, 0, &json_error);
    const json_t *vms = json_object_get(root, "vms");
    if (!json_is_array(vms)) {
        g_set_error(error, RP_ERROR, RP_ERROR_PLATFORM,
                    "the platform's answer to GET /vms has no array \"vms\" "
                    "(%s); check the address of the platform",
                    root == NULL ? json_error.text : "valid JSON");
        json_decref(root);
        return NULL;
    }
    struct rp_vm_list *list =
        rp_vm_list_new(json_integer_value(json_object_get(root, "as_of_ms")));
    for (size_t i = 0; i < json_array_size(vms); i++) {
        struct rp_vm vm = {0};
        if (parse_vm(json_array_get(vms, i), &vm)) {
            rp_vm_list_add(list, &vm);
        }
    }
    json_decref(root);
    return list;
}
