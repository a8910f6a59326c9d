#include "directory.h"

#include <string.h>

#include "address_book.h"
#include "page_server.h"

/* Number of entry VMs returned to callers of one name and failure domain. With
 * fewer, each has more recent load reports of the targets and fewer
 * connections to them are open; of three, two remain when one fails
 * (docs/decisions.md). */
#define MAX_ADDRESSES 3

struct rp_directory {
    struct rp_task *task;
    struct rp_directory_config config; /* addresses are valid at start only */
    struct rp_address_book *book;
    struct rp_page_server *address_server;
    struct rp_page_server *readiness_server;
};

static void
answer_addresses(struct rp_directory *directory, const char *name,
                 const char *domain, struct rp_page *page)
{
    const char *addresses[MAX_ADDRESSES];
    int64_t now_ns = rp_loop_now_ns();
    uint32_t count = rp_address_book_list(
        directory->book, name == NULL ? "" : name,
        domain == NULL ? "" : domain, addresses, MAX_ADDRESSES, now_ns);
    if (count == 0) {
        page->status = 503;
        return;
    }
    page->status = 200;
    page->type = "application/json";
    page->body = directory->config.endpoints->format(
        addresses, count, rp_address_book_ttl_ms(directory->book, now_ns));
}

static void
on_page(void *data, const char *path,
        const char *(*argument)(void *connection, const char *name),
        void *connection, struct rp_page *page)
{
    struct rp_directory *directory = data;
    const struct rp_directory_endpoints *pages = directory->config.endpoints;
    if (strcmp(path, pages->addresses_path) == 0) {
        answer_addresses(directory, argument(connection, pages->name_argument),
                         argument(connection, pages->domain_argument), page);
    }
    else if (strcmp(path, pages->ready_path) == 0) {
        page->status = rp_address_book_ready(directory->book) ? 200 : 503;
    }
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    (void)now_ns;
    struct rp_directory *directory = data;
    rp_address_book_handle_message(directory->book, message);
}

static void
free_directory(struct rp_directory *directory)
{
    rp_page_server_free(directory->address_server);
    rp_page_server_free(directory->readiness_server);
    rp_address_book_free(directory->book);
    g_free(directory);
}

static void
on_remove(struct rp_task *task, void *data)
{
    (void)task;
    free_directory(data);
}

static const struct rp_task_ops directory_ops = {on_message, NULL, on_remove};

/* Adds the task "directory", which the loop's kernel owns. Returns NULL
 * with an error set when an address cannot be used. */
struct rp_directory *
rp_directory_new(struct rp_loop *loop,
                 const struct rp_directory_config *config, GError **error)
{
    struct rp_kernel *kernel = rp_loop_kernel(loop);
    struct rp_directory *directory = g_new0(struct rp_directory, 1);
    directory->config = *config;
    directory->book = rp_address_book_new(rp_kernel_context(kernel),
                                          config->ttl_ms, rp_loop_now_ns());
    directory->address_server =
        rp_page_server_new(loop, config->address, on_page, directory, error);
    if (directory->address_server != NULL) {
        directory->readiness_server = rp_page_server_new(
            loop, config->ready_address, on_page, directory, error);
    }
    if (directory->readiness_server != NULL) {
        directory->task = rp_kernel_add_task(kernel, "directory",
                                             &directory_ops, directory, error);
    }
    if (directory->task == NULL) {
        free_directory(directory);
        return NULL;
    }
    return directory;
}
