#ifndef RP_ENTRY_H
#define RP_ENTRY_H

#include "dialect.h"
#include "kernel.h"
#include "loop.h"

struct rp_entry;

struct rp_entry_config {
    const struct rp_dialect *dialect;
    uint32_t max_connections;
    uint32_t address_ttl_ms; /* time to live of address answers */
    int64_t stop_timeout_ns;
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_entry *rp_entry_new(struct rp_loop *loop,
                              const struct rp_entry_config *config,
                              GError **error);
uint16_t rp_entry_port(const struct rp_entry *entry);
bool rp_entry_finished(const struct rp_entry *entry);
int64_t rp_entry_stop_end_ns(const struct rp_entry *entry);

#ifdef __cplusplus
}
#endif

#endif
