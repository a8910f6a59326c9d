#ifndef RP_EVENT_H
#define RP_EVENT_H

#include <stdint.h>

#include "hlc.h"

#define RP_EVENT_NAME_BYTES 64
#define RP_EVENT_DETAIL_BYTES 192

enum rp_event_kind {
#define RP_EVENT(identifier, name) RP_EVENT_##identifier,
#include "event_list.h"
#undef RP_EVENT
    RP_EVENT_COUNT
};

/* One entry of the time line. Fields that do not apply are empty. */
struct rp_event {
    enum rp_event_kind kind;
    uint64_t sequence; /* rises by one for each event of a process */
    struct rp_hlc hlc;
    int64_t now_ns;
    int64_t value; /* meaning depends on the kind */
    char request[RP_EVENT_NAME_BYTES];
    char service[RP_EVENT_NAME_BYTES];
    char subject[RP_EVENT_NAME_BYTES]; /* target, member or record key */
    char detail[RP_EVENT_DETAIL_BYTES];
};

struct rp_event_ring;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_event_ring *rp_event_ring_new(uint32_t capacity);
void rp_event_ring_free(struct rp_event_ring *ring);
void rp_event_ring_set_wall_offset(struct rp_event_ring *ring,
                                   int64_t wall_minus_now_ms);
struct rp_hlc *rp_event_ring_clock(struct rp_event_ring *ring);
int64_t rp_event_ring_wall_ms(const struct rp_event_ring *ring,
                              int64_t now_ns);
struct rp_event *rp_event_add(struct rp_event_ring *ring,
                              enum rp_event_kind kind, int64_t now_ns,
                              const char *subject);
void rp_event_set_request(struct rp_event *event, const char *request);
void rp_event_set_service(struct rp_event *event, const char *service);
void rp_event_set_detail(struct rp_event *event, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
uint64_t rp_event_ring_first_sequence(const struct rp_event_ring *ring);
uint64_t rp_event_ring_end_sequence(const struct rp_event_ring *ring);
const struct rp_event *rp_event_ring_get(const struct rp_event_ring *ring,
                                         uint64_t sequence);
const char *rp_event_kind_name(enum rp_event_kind kind);

#ifdef __cplusplus
}
#endif

#endif
