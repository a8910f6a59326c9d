#ifndef RIG_H
#define RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Stand-ins for the platform's store, for workers and for clients, in the
 * process of the test. Each connection has a thread of its own. The entry VMs
 * are processes of the project's program, started with the command of the
 * deploy file. */

#define RIG_MAX_ITEMS 2048
#define RIG_MAX_EVENTS 32768
#define RIG_MAX_RUNS 65536
#define RIG_ID_BYTES 64
#define RIG_MAX_ENTRIES 16

/* Outcome of a case, also the exit status of its process. */
enum rig_result { RIG_HELD = 0, RIG_BROKEN = 1, RIG_CANNOT_RUN = 2 };

/* One run of a request at a worker. */
struct rig_run {
    char id[RIG_ID_BYTES];
    int64_t at_ms;
};

struct rig_worker {
    char instance[RIG_ID_BYTES];
    char service[RIG_ID_BYTES];
    int listener;
    uint16_t port;
    int work_ms;
    int body_bytes;      /* of an answer; 0 for a few */
    int broken_permille; /* share of the answers that are broken off */
    pthread_mutex_t lock;
    int running;
    int run_count;
    struct rig_run *runs;
};

/* One entry VM. */
struct rig_entry {
    pid_t pid;
    int number;
    uint16_t front;
    uint16_t ready;
    uint16_t directory;
    uint16_t control;
    uint16_t admin;
};

struct rig_answer {
    int status; /* 0: none came */
    bool from_worker;
    int64_t elapsed_ms;
};

/* Of the case. */
enum rig_result run_case(bool trouble);

int64_t rig_now_ms(void);
void rig_sleep_ms(int64_t ms);
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

void rig_store_start(void);
void rig_store_put(const char *key, const char *value);
void rig_store_remove(const char *key);

struct rig_worker *rig_worker_new(const char *instance, const char *service,
                                  int work_ms);
void rig_worker_publish(const struct rig_worker *worker, const char *state);
int rig_worker_runs(struct rig_worker *worker);
bool rig_worker_has_run(struct rig_worker *worker, const char *id);

void rig_entries_start(int count);
struct rig_entry *rig_entry(int number);
int rig_entry_count(void);
void rig_entries_kill(void);
void rig_entries_start_again(void);
bool rig_entries_ready(int64_t limit_ms);

struct rig_answer rig_call(int entry, const char *method, const char *host,
                           const char *path, const char *id, int deadline_ms);

/* A client's connection that is kept for many requests. */
struct rig_client;

struct rig_client *rig_client_new(int entry);
bool rig_client_send(struct rig_client *client, const char *text);
int rig_client_read(struct rig_client *client, int64_t wait_ms);
void rig_client_free(struct rig_client *client);

#endif
