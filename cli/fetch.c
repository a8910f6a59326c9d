#include "fetch.h"

#include <curl/curl.h>
#include <string.h>

#define MAX_ANSWER_BYTES (16ul * 1024 * 1024)
#define DEFAULT_ADDRESS "127.0.0.1:9901"
#define ADDRESSES_VARIABLE "ROSEMARYPULLEY_ADMIN_ADDRESSES"

struct transfer {
    struct cli_fetch *fetch;
    CURL *easy;
    GString *body;
};

static void
free_fetch(gpointer data)
{
    struct cli_fetch *fetch = data;
    g_free(fetch->address);
    g_free(fetch->path);
    g_free(fetch->failure);
    json_decref(fetch->document);
    g_free(fetch);
}

static GPtrArray *
fetch_list_new(void)
{
    return g_ptr_array_new_with_free_func(free_fetch);
}

static void
fetch_list_add(GPtrArray *fetches, const char *address, const char *path)
{
    struct cli_fetch *fetch = g_new0(struct cli_fetch, 1);
    fetch->address = g_strdup(address);
    fetch->path = g_strdup(path);
    g_ptr_array_add(fetches, fetch);
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *data)
{
    GString *body = data;
    if (body->len + size * count > MAX_ANSWER_BYTES) {
        return 0;
    }
    g_string_append_len(body, bytes, (gssize)(size * count));
    return size * count;
}

static void
finish_transfer(struct transfer *transfer, CURLcode code)
{
    struct cli_fetch *fetch = transfer->fetch;
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    if (code != CURLE_OK) {
        fetch->failure = g_strdup(curl_easy_strerror(code));
    }
    else if (status != 200) {
        fetch->failure = g_strdup_printf("HTTP status %ld", status);
    }
    else {
        json_error_t error;
        fetch->document =
            json_loadb(transfer->body->str, transfer->body->len, 0, &error);
        if (fetch->document == NULL) {
            fetch->failure = g_strdup_printf("not JSON: %s", error.text);
        }
    }
}

static void
start_transfer(CURLM *multi, struct transfer *transfer,
               struct cli_fetch *fetch, long timeout_ms)
{
    transfer->fetch = fetch;
    transfer->body = g_string_new(NULL);
    transfer->easy = curl_easy_init();
    char *url = g_strconcat("http://", fetch->address, fetch->path, NULL);
    curl_easy_setopt(transfer->easy, CURLOPT_URL, url);
    curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(transfer->easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(transfer->easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(transfer->easy, CURLOPT_WRITEDATA, transfer->body);
    curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, transfer);
    g_free(url);
    curl_multi_add_handle(multi, transfer->easy);
}

static void
collect_results(CURLM *multi)
{
    int messages_left = 0;
    CURLMsg *message;
    while ((message = curl_multi_info_read(multi, &messages_left)) != NULL) {
        struct transfer *transfer = NULL;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        finish_transfer(transfer, message->data.result);
    }
}

/* Fetches all documents of a list in parallel. */
static void
fetch_list_run(GPtrArray *fetches, long timeout_ms)
{
    CURLM *multi = curl_multi_init();
    struct transfer *transfers = g_new0(struct transfer, fetches->len);
    for (guint i = 0; i < fetches->len; i++) {
        start_transfer(multi, &transfers[i], g_ptr_array_index(fetches, i),
                       timeout_ms);
    }
    int running = 1;
    while (running > 0) {
        curl_multi_perform(multi, &running);
        collect_results(multi);
        if (running > 0) {
            curl_multi_poll(multi, NULL, 0, 100, NULL);
        }
    }
    for (guint i = 0; i < fetches->len; i++) {
        curl_multi_remove_handle(multi, transfers[i].easy);
        curl_easy_cleanup(transfers[i].easy);
        g_string_free(transfers[i].body, TRUE);
    }
    curl_multi_cleanup(multi);
    g_free(transfers);
}

/* The argument takes precedence over the environment variable, and that over
 * the default. */
static char **
split_addresses(const char *addresses)
{
    const char *text = addresses;
    if (text == NULL) {
        text = g_getenv(ADDRESSES_VARIABLE);
    }
    if (text == NULL) {
        text = DEFAULT_ADDRESS;
    }
    return g_strsplit(text, ",", -1);
}

static void
add_member(GHashTable *admin_addresses, const char *caller_address,
           const char *admin_port)
{
    const char *colon = strchr(caller_address, ':');
    if (colon == NULL) {
        return;
    }
    char *host = g_strndup(caller_address, (gsize)(colon - caller_address));
    g_hash_table_add(admin_addresses, g_strconcat(host, admin_port, NULL));
    g_free(host);
}

/* Returns the admin addresses of the given entry VMs and of their members.
 * Settings within a fleet differ only in the IP number, so a member is
 * expected at its caller IP number and the admin port of the VM that lists it;
 * any other must be given. */
static GPtrArray *
discover_admin_addresses(char **addresses, long timeout_ms)
{
    GPtrArray *fetches = fetch_list_new();
    GHashTable *admin_addresses =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (char **address = addresses; *address != NULL; address++) {
        fetch_list_add(fetches, *address, "/status");
        g_hash_table_add(admin_addresses, g_strdup(*address));
    }
    fetch_list_run(fetches, timeout_ms);
    for (guint i = 0; i < fetches->len; i++) {
        struct cli_fetch *fetch = g_ptr_array_index(fetches, i);
        const char *admin_port = strchr(fetch->address, ':');
        json_t *members = json_object_get(fetch->document, "members");
        size_t index;
        json_t *member;
        json_array_foreach(members, index, member)
        {
            const char *caller_address =
                json_string_value(json_object_get(member, "address"));
            if (caller_address != NULL && admin_port != NULL) {
                add_member(admin_addresses, caller_address, admin_port);
            }
        }
    }
    g_ptr_array_unref(fetches);
    GPtrArray *result = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, admin_addresses);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        g_ptr_array_add(result, g_strdup(key));
    }
    g_hash_table_unref(admin_addresses);
    return result;
}

/* Fetches path from admin addresses, separated by commas, and with discover
 * also from the members that these entry VMs list. NULL for addresses means
 * those of ROSEMARYPULLEY_ADMIN_ADDRESSES or else the default. timeout_ms
 * applies to each request. Returns an array of struct cli_fetch that the
 * caller unrefs. */
GPtrArray *
cli_fetch_documents(const char *addresses, bool discover, const char *path,
                    long timeout_ms)
{
    char **given_addresses = split_addresses(addresses);
    GPtrArray *fetches = fetch_list_new();
    if (discover) {
        GPtrArray *admin_addresses =
            discover_admin_addresses(given_addresses, timeout_ms);
        for (guint i = 0; i < admin_addresses->len; i++) {
            fetch_list_add(fetches, g_ptr_array_index(admin_addresses, i),
                           path);
        }
        g_ptr_array_unref(admin_addresses);
    }
    else {
        for (char **address = given_addresses; *address != NULL; address++) {
            fetch_list_add(fetches, *address, path);
        }
    }
    fetch_list_run(fetches, timeout_ms);
    g_strfreev(given_addresses);
    return fetches;
}
