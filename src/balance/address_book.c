#include "address_book.h"

#include <string.h>

#include "member.h"
#include "snapshot.h"
#include "steering.h"

/* A process has received all other members within this time after its start.
 * Until then answers contain only the members received so far and are valid
 * for a short time, or many callers would stay with entry VMs outside of their
 * service's subset. */
#define DISCOVERY_NS INT64_C(2000000000)
#define DISCOVERY_TTL_MS 400

struct rp_address_book {
    struct rp_context *context;
    uint32_t ttl_ms;
    int64_t started_ns;
    struct rp_snapshot *snapshot;   /* NULL before the first */
    struct rp_member_view *members; /* NULL before the first */
    struct rp_steering *steering;
    bool ready;
    bool leaving;
};

/* Creates a book without members. Callers may keep answers for ttl_ms. Free it
 * with rp_address_book_free. */
struct rp_address_book *
rp_address_book_new(struct rp_context *context, uint32_t ttl_ms,
                    int64_t now_ns)
{
    struct rp_address_book *book = g_new0(struct rp_address_book, 1);
    book->context = context;
    book->ttl_ms = ttl_ms;
    book->started_ns = now_ns;
    book->steering = rp_steering_new();
    return book;
}

/* Frees a book; NULL is allowed. */
void
rp_address_book_free(struct rp_address_book *book)
{
    if (book == NULL) {
        return;
    }
    rp_snapshot_unref(book->snapshot);
    rp_member_view_unref(book->members);
    rp_steering_free(book->steering);
    g_free(book);
}

/* Returns how long callers may keep an answer, in ms. */
uint32_t
rp_address_book_ttl_ms(const struct rp_address_book *book, int64_t now_ns)
{
    return now_ns - book->started_ns < DISCOVERY_NS
               ? MIN(book->ttl_ms, DISCOVERY_TTL_MS)
               : book->ttl_ms;
}

/* Updates the book from messages with members, configuration or a stop;
 * ignores other messages. */
void
rp_address_book_handle_message(struct rp_address_book *book,
                               const struct rp_message *message)
{
    if (message->kind == RP_MSG_SNAPSHOT) {
        const struct rp_snapshot_message *body = message->body;
        struct rp_snapshot *old = book->snapshot;
        book->snapshot = rp_snapshot_ref(body->snapshot);
        book->ready = body->ready;
        rp_snapshot_unref(old);
    }
    else if (message->kind == RP_MSG_MEMBERS) {
        const struct rp_member_message *body = message->body;
        struct rp_member_view *old = book->members;
        book->members = rp_member_view_ref(body->view);
        rp_member_view_unref(old);
    }
    else if (message->kind == RP_MSG_STOP) {
        book->leaving = true;
    }
}

/* Returns whether this VM accepts new callers: it has a configuration and is
 * not leaving. */
bool
rp_address_book_ready(const struct rp_address_book *book)
{
    return book->ready && !book->leaving;
}

static enum rp_address_state
address_state(const struct rp_member *member)
{
    if (member->info.state == RP_MEMBER_DEAD ||
        member->info.state == RP_MEMBER_LEAVING || member->listed_leaving ||
        member->info.phase == RP_CONFIG_STARTING)
    {
        return RP_ADDRESS_UNUSABLE;
    }
    if (member->info.state == RP_MEMBER_SUSPECT) {
        return RP_ADDRESS_SUSPECT;
    }
    return member->info.phase == RP_CONFIG_PROVISIONAL ? RP_ADDRESS_PROVISIONAL
                                                       : RP_ADDRESS_SERVING;
}

/* Lists the entry VMs of the member view, and this one by its own state. */
static GArray *
list_members(const struct rp_address_book *book, int64_t now_ns)
{
    const struct rp_identity *identity = &book->context->identity;
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct rp_address_member));
    struct rp_address_member self = {
        .id = identity->id,
        .address = identity->address,
        .domain = identity->domain,
        .ticket = "",
        .state = rp_address_book_ready(book) ? RP_ADDRESS_SERVING
                                             : RP_ADDRESS_UNUSABLE,
        .incarnation = identity->incarnation,
        .capacity_permille = identity->capacity_permille,
    };
    uint32_t count = book->members == NULL ? 0 : book->members->count;
    for (uint32_t i = 0; i < count; i++) {
        const struct rp_member *member = &book->members->members[i];
        const char *ticket = now_ns < member->ticket_expires_ns
                                 ? member->info.ticket_prefix
                                 : "";
        if (member->is_self) {
            self.ticket = ticket;
            self.load_permille = member->info.load_permille;
            if (self.state == RP_ADDRESS_SERVING &&
                member->info.phase == RP_CONFIG_PROVISIONAL)
            {
                self.state = RP_ADDRESS_PROVISIONAL;
            }
            continue;
        }
        struct rp_address_member other = {
            .id = member->info.id,
            .address = member->info.address,
            .domain = member->info.domain,
            .ticket = ticket,
            .state = address_state(member),
            .incarnation = member->info.incarnation,
            .load_permille = member->info.load_permille,
            .capacity_permille = member->info.capacity_permille,
        };
        g_array_append_val(list, other);
    }
    g_array_append_val(list, self);
    return list;
}

/* Lists up to max_count addresses of entry VMs for callers of a name,
 * preferring those in domain, and returns their number. The strings are valid
 * until the next message. */
uint32_t
rp_address_book_list(struct rp_address_book *book, const char *name,
                     const char *domain, const char **addresses,
                     uint32_t max_count, int64_t now_ns)
{
    GArray *members = list_members(book, now_ns);
    uint32_t *picked = g_new(uint32_t, max_count);
    uint32_t count =
        rp_address_nearest((const struct rp_address_member *)members->data,
                           members->len, name, domain, picked, max_count);
    for (uint32_t i = 0; i < count; i++) {
        addresses[i] =
            g_array_index(members, struct rp_address_member, picked[i])
                .address;
    }
    g_free(picked);
    g_array_unref(members);
    return count;
}

/* Copies one argument of a query string to value, "" when it is missing. Names
 * of services and failure domains need no percent-encoding, so encoded names
 * are not matched. */
static void
read_query_argument(const char *target, const char *name, char *value,
                    size_t bytes)
{
    size_t name_bytes = strlen(name);
    value[0] = '\0';
    const char *at = strchr(target, '?');
    while (at != NULL && *at != '\0') {
        at++;
        size_t length = strcspn(at, "&");
        if (length > name_bytes && strncmp(at, name, name_bytes) == 0 &&
            at[name_bytes] == '=')
        {
            g_strlcpy(value, at + name_bytes + 1,
                      MIN(bytes, length - name_bytes));
            return;
        }
        at += length;
    }
}

static void
set_error(struct rp_address_reply *reply, uint32_t status, const char *reason)
{
    reply->status = status;
    reply->reason = reason;
}

/* Answers the query of a request target such as
 * "/v1/addresses?service=NAME&domain=D". */
void
rp_address_book_answer(struct rp_address_book *book, const char *target,
                       int64_t now_ns, struct rp_address_reply *reply)
{
    char service[RP_ID_BYTES];
    char domain[RP_DOMAIN_BYTES];
    memset(reply, 0, sizeof(*reply));
    read_query_argument(target, "service", service, sizeof(service));
    read_query_argument(target, "domain", domain, sizeof(domain));
    if (service[0] == '\0') {
        set_error(reply, 400, "name the service: /v1/addresses?service=NAME");
        return;
    }
    if (book->ready &&
        rp_snapshot_find_service(book->snapshot, service) == NULL) {
        set_error(reply, 404, "no record describes this service");
        return;
    }
    GArray *members = list_members(book, now_ns);
    struct rp_steering_choice choice = {.width = 1};
    if (book->members != NULL) {
        rp_steering_update(book->steering, service, book->members, now_ns,
                           &choice);
    }
    struct rp_address_query query = {
        .service = service,
        .domain = domain,
        .members = (const struct rp_address_member *)members->data,
        .member_count = members->len,
        .subset = choice.width,
        .ttl_ms = rp_address_book_ttl_ms(book, now_ns),
        .random = g_rand_int(book->context->random),
    };
    if (book->snapshot != NULL) {
        query.digest = rp_snapshot_digest(book->snapshot);
        query.revision = rp_snapshot_revision(book->snapshot);
    }
    reply->body = rp_address_answer_format(&query);
    g_array_unref(members);
    if (reply->body == NULL) {
        set_error(reply, 503, "no entry VM can serve now");
        return;
    }
    reply->status = 200;
    reply->max_age_s = query.ttl_ms / 1000;
}
