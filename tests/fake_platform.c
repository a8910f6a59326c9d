#include "fake_platform.h"

#include "config_task.h"
#include "platform.h"

#define MS INT64_C(1000000)
#define READ_INTERVAL_NS (200 * MS)
#define TIMER_READ 0
/* As in src/config/watch.c, a process that does not watch reads the platform
 * after 2 s without an update, plus a delay that differs between VMs. */
#define PROMOTION_DELAY_NS (2000 * MS)
#define PROMOTION_DELAY_STEP_NS (300 * MS)

struct publication {
    char *key;
    char *value;
};

struct fake_platform {
    struct fake_clock *clock;
    GPtrArray *history; /* of struct publication; index is revision - 1 */
    struct rp_vm_list *list;
    uint64_t stale_revision; /* frozen revision; 0 if not stale */
    bool dead;
};

static void
free_publication(gpointer data)
{
    struct publication *publication = data;
    g_free(publication->key);
    g_free(publication->value);
    g_free(publication);
}

/* Creates a platform without records. */
struct fake_platform *
fake_platform_new(struct fake_clock *clock)
{
    struct fake_platform *platform = g_new0(struct fake_platform, 1);
    platform->clock = clock;
    platform->history = g_ptr_array_new_with_free_func(free_publication);
    return platform;
}

/* Frees the platform. */
void
fake_platform_free(struct fake_platform *platform)
{
    g_ptr_array_unref(platform->history);
    rp_vm_list_unref(platform->list);
    g_free(platform);
}

/* Publishes a value under a key and returns its revision. */
uint64_t
fake_platform_publish(struct fake_platform *platform, const char *key,
                      const char *value)
{
    struct publication *publication = g_new0(struct publication, 1);
    publication->key = g_strdup(key);
    publication->value = g_strdup(value);
    g_ptr_array_add(platform->history, publication);
    return platform->history->len;
}

/* Sets whether the platform answers no reads. */
void
fake_platform_set_dead(struct fake_platform *platform, bool dead)
{
    platform->dead = dead;
}

/* Sets whether reads return the records as of this call instead of the latest
 * ones. */
void
fake_platform_set_stale(struct fake_platform *platform, bool stale)
{
    platform->stale_revision = stale ? platform->history->len : 0;
}

/* Replaces the list of VMs and takes ownership of the reference. */
void
fake_platform_set_vm_list(struct fake_platform *platform,
                          struct rp_vm_list *list)
{
    rp_vm_list_unref(platform->list);
    platform->list = list;
}

/* Returns the latest revision. */
uint64_t
fake_platform_revision(const struct fake_platform *platform)
{
    return platform->history->len;
}

struct platform_task {
    struct fake_platform *platform;
    uint64_t last_read_revision;
    bool watches;
    bool has_read;
    int64_t fresh_ns; /* latest platform read reported by any process */
    int64_t promotion_delay_ns; /* reads if fresh_ns is older than this */
};

/* Returns whether the value published at a revision is the latest of its key
 * as of latest_revision. */
static bool
is_latest(const struct fake_platform *platform, uint64_t revision,
          uint64_t latest_revision)
{
    const struct publication *publication =
        g_ptr_array_index(platform->history, revision - 1);
    for (uint64_t later_revision = revision + 1;
         later_revision <= latest_revision; later_revision++)
    {
        const struct publication *later_publication =
            g_ptr_array_index(platform->history, later_revision - 1);
        if (g_str_equal(later_publication->key, publication->key)) {
            return false;
        }
    }
    return true;
}

static void
send_records(struct platform_task *reader, struct rp_task *task,
             uint64_t latest_revision)
{
    const struct fake_platform *platform = reader->platform;
    struct rp_record_batch *batch = rp_record_batch_new();
    for (uint64_t revision = reader->last_read_revision + 1;
         revision <= latest_revision; revision++)
    {
        const struct publication *publication =
            g_ptr_array_index(platform->history, revision - 1);
        if (is_latest(platform, revision, latest_revision)) {
            GBytes *value =
                g_bytes_new(publication->value, strlen(publication->value));
            rp_record_batch_add(batch, publication->key, revision, value);
            g_bytes_unref(value);
        }
    }
    rp_config_records_send(task,
                           rp_kernel_find_task(rp_task_kernel(task), "config"),
                           RP_MSG_PLATFORM_RECORDS, batch, "", 0, true);
    rp_record_batch_unref(batch);
    reader->last_read_revision =
        MAX(reader->last_read_revision, latest_revision);
}

static void
retain_list(const void *body)
{
    rp_vm_list_ref(((const struct rp_vm_list_message *)body)->list);
}

static void
read_platform(struct platform_task *reader, struct rp_task *task,
              int64_t now_ns)
{
    struct fake_platform *platform = reader->platform;
    uint64_t latest_revision = platform->stale_revision > 0
                                   ? platform->stale_revision
                                   : platform->history->len;
    if (platform->list != NULL) {
        struct rp_vm_list_message list = {platform->list};
        rp_task_broadcast_owned(task, RP_MSG_PLATFORM_VMS, &list, sizeof(list),
                                retain_list, rp_vm_list_message_release);
    }
    if (!reader->has_read || latest_revision > reader->last_read_revision) {
        send_records(reader, task, latest_revision);
    }
    reader->has_read = true;
    reader->fresh_ns = now_ns;
    struct rp_platform_freshness freshness = {now_ns, latest_revision};
    rp_task_send(task, rp_kernel_find_task(rp_task_kernel(task), "gossip"),
                 RP_MSG_PLATFORM_FRESHNESS, &freshness, sizeof(freshness));
}

static void
on_timer(struct rp_task *task, uint32_t timer, int64_t now_ns, void *data)
{
    (void)timer;
    struct platform_task *reader = data;
    bool is_due = reader->watches || !reader->has_read ||
                  now_ns - reader->fresh_ns > reader->promotion_delay_ns;
    if (is_due && !reader->platform->dead) {
        read_platform(reader, task, now_ns);
    }
    rp_task_set_timer(task, TIMER_READ, now_ns + READ_INTERVAL_NS);
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    (void)now_ns;
    struct platform_task *reader = data;
    if (message->kind == RP_MSG_PLATFORM_FRESHNESS) {
        const struct rp_platform_freshness *body = message->body;
        reader->fresh_ns = MAX(reader->fresh_ns, body->fresh_ns);
    }
}

static void
on_remove(struct rp_task *task, void *data)
{
    (void)task;
    g_free(data);
}

static const struct rp_task_ops platform_ops = {
    .on_message = on_message,
    .on_timer = on_timer,
    .on_remove = on_remove,
};

/* Adds the task "platform" to a process. A process that does not watch reads
 * once at its start. It receives later records from its peers, or reads them
 * itself when no read was reported to it for about 2 s. */
void
fake_platform_attach(struct fake_platform *platform,
                     struct fake_process *process, bool watches)
{
    struct platform_task *reader = g_new0(struct platform_task, 1);
    reader->platform = platform;
    reader->watches = watches;
    reader->promotion_delay_ns =
        PROMOTION_DELAY_NS + process->vm_index * PROMOTION_DELAY_STEP_NS;
    struct rp_task *task = rp_kernel_add_task(process->kernel, "platform",
                                              &platform_ops, reader, NULL);
    rp_task_set_timer(task, TIMER_READ,
                      fake_clock_now_ns(platform->clock) + 20 * MS);
}
