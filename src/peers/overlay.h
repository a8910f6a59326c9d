#ifndef RP_OVERLAY_H
#define RP_OVERLAY_H

#include <stdbool.h>
#include <stdint.h>

#include "neighbor.h"

/* The overlay is divided by failure domains from this many members and this
 * many members for each domain on. In smaller fleets the relays of all pairs
 * of domains would send about as much as a ring over all members. */
#define RP_OVERLAY_MIN_MEMBERS 32
#define RP_OVERLAY_MIN_DOMAIN_MEMBERS 8

/* Relays of a domain. Two may fail at the same time without cutting the domain
 * off from news until the loss is noticed. */
#define RP_OVERLAY_RELAYS 3

/* With more domains the overlay is one ring. */
#define RP_OVERLAY_MAX_DOMAINS 16

/* Receivers of a member: within its domain, and of each other domain all
 * relays at most. */
#define RP_OVERLAY_RECEIVER_LIMIT                                             \
    (RP_NEIGHBOR_LIMIT + RP_OVERLAY_RELAYS * RP_OVERLAY_MAX_DOMAINS)

/* A live member, in the order of the ring. */
struct rp_overlay_member {
    uint64_t hash;   /* of the id */
    uint64_t domain; /* hash of the failure domain */
    bool can_relay;  /* neither suspect nor leaving */
};

struct rp_overlay;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_overlay *rp_overlay_new(void);
void rp_overlay_free(struct rp_overlay *overlay);
void rp_overlay_update(struct rp_overlay *overlay,
                       const struct rp_overlay_member *members, uint32_t count,
                       bool may_divide);
bool rp_overlay_is_divided(const struct rp_overlay *overlay);
bool rp_overlay_is_relay(const struct rp_overlay *overlay, uint32_t position);
bool rp_overlay_same_domain(const struct rp_overlay *overlay, uint32_t a,
                            uint32_t b);
uint32_t rp_overlay_receivers(const struct rp_overlay *overlay, uint32_t self,
                              uint32_t receivers[RP_OVERLAY_RECEIVER_LIMIT]);
bool rp_overlay_sends_to(const struct rp_overlay *overlay, uint32_t from,
                         uint32_t to);
uint32_t
rp_overlay_branches(const struct rp_overlay *overlay, uint32_t self,
                    uint32_t span, bool backward,
                    struct rp_neighbor_branch branches[RP_NEIGHBOR_LIMIT]);
uint32_t rp_overlay_entry_points(
    const struct rp_overlay *overlay, uint32_t self, uint32_t rank,
    struct rp_neighbor_branch entry_points[RP_OVERLAY_MAX_DOMAINS]);

#ifdef __cplusplus
}
#endif

#endif
