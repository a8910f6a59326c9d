#ifndef REVIEW_RIG_2_H
#define REVIEW_RIG_2_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Stand-ins of this review: a store, workers and clients of the gateway
 * platform, and the start of entry processes with the run line of
 * deploy/system.toml. All addresses are loopback addresses: 127.77.N.x of
 * machines, 127.78.N.x of workers, and 127.79.N.x of the store, which has one
 * for each machine. N is chosen at the start. Times are in ms since the start
 * of the case. */

#define RIG_MAX_MACHINES 16
#define RIG_MAX_WORKERS 512

/* Bounds of the deployment. */
#define RIG_DRAIN_MS 2000
#define RIG_CONTACT_MS 3000
#define RIG_CONFIG_APPLY_MS 2000
#define RIG_VALUE_BYTES 1048576

/* Exit codes of a case. */
#define RIG_HELD 0
#define RIG_BROKEN 1
#define RIG_NOT_RUN 2

struct rig_worker {
    char id[64];
    char service[64];
    char address[64];
    int listener;
    uint32_t work_ms;
    volatile bool leaving;         /* its answers and its health say so */
    volatile uint32_t break_every; /* one in so many answers breaks off */
    volatile uint32_t stream_ms;   /* between an answer's two parts, or 0 */
    volatile uint32_t runs;
    volatile uint32_t streamed; /* answers sent whole in two parts */
    volatile uint32_t broken;
    pthread_mutex_t lock;
};

struct rig_buffer {
    char *bytes;
    size_t count;
    size_t capacity;
};

struct rig_reply {
    int status; /* 0: no head */
    bool whole;
    bool stamped;
    int64_t sent_ms;
    char body[128]; /* its first bytes */
};

/* Sends requests to all machines until it is stopped. Ids are "mM-cC-N" with
 * the number of the machine, from 0. */
struct rig_traffic {
    int machines;
    int clients; /* of each machine */
    int pause_ms;
    const char *host;
    const char *path;
    volatile bool stop;
    volatile uint32_t served;
    volatile uint32_t failed;
};

/* rig.c */
void rig_start(const char *name, const char *record_path);
int rig_end(int code);
_Noreturn void rig_give_up(const char *reason);
bool rig_trouble(void);
int64_t rig_now_ms(void);
void rig_sleep_ms(int64_t duration_ms);
void rig_sleep_until(int64_t at_ms);
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
int rig_net(void);
void rig_spawn(void *(*run)(void *), void *data);
void rig_machine_start(int machine, int seeds);
void rig_machine_stop(int machine);
void rig_await_ready(int machines);
const char *rig_front(int machine);

/* http.c */
int rig_listen(const char *ip, int port);
int rig_connect(const char *address);
void rig_reset(int socket);
bool rig_write(int socket, const char *bytes, size_t count);
bool rig_read_more(int socket, struct rig_buffer *buffer, int64_t timeout_ms);
void rig_drop(struct rig_buffer *buffer, size_t count);
size_t rig_read_head(int socket, struct rig_buffer *buffer, char *head,
                     size_t size, int64_t timeout_ms);
bool rig_get_field(const char *head, const char *name, char *value,
                   size_t size);
void rig_get_argument(const char *target, const char *name, char *value,
                      size_t size);
int64_t rig_number(const char *text);

/* store.c */
extern volatile int64_t rig_stale_lag_ms;
void rig_store_open(int machine);
void rig_store_put(const char *key, const char *value);
void rig_store_remove(const char *key);
void rig_store_silence(bool on);
void rig_store_cut(int machine, bool on);
int64_t rig_watch_begun_ms(int machine);
int64_t rig_watch_answered_ms(int machine);
FILE *rig_config_begin(char **text, size_t *bytes, int version,
                       const char *host);
void rig_config_rule(FILE *out, bool first, const char *name,
                     const char *prefix, const char *service);
void rig_config_end(FILE *out, const char *const *services, int count);

/* worker.c */
extern void (*rig_on_run)(struct rig_worker *worker, const char *request_id);
struct rig_worker *rig_worker_new(const char *service, uint32_t work_ms);
void rig_worker_publish(struct rig_worker *worker, const char *state);
void rig_worker_rename(struct rig_worker *worker);

/* client.c */
bool rig_send(int socket, const char *host, const char *path, const char *id,
              int deadline_ms);
void rig_read(int socket, struct rig_buffer *buffer, int64_t timeout_ms,
              struct rig_reply *reply);
void rig_call(const char *address, const char *host, const char *path,
              const char *id, int deadline_ms, struct rig_reply *reply);
void rig_traffic_start(struct rig_traffic *traffic);

#endif
