#include "address_book.h"

#include <string.h>

#include "member.h"
#include "snapshot.h"
#include "steering.h"

/* A process learns of the other members within this time of its start, and
 * names those that it knows until then. Callers keep such an answer for a
 * short time only, or many of them would stay with entry VMs that are not
 * meant for their service. */
#define LEARNING_NS INT64_C(2000000000)
#define LEARNING_TTL_MS 400

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

/* Creates a book without members. Answers may be kept for ttl_ms. Free it
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
    return now_ns - book->started_ns < LEARNING_NS
               ? MIN(book->ttl_ms, LEARNING_TTL_MS)
               : book->ttl_ms;
}

/* Takes over members, configuration and a stop from a message; others are
 * passed over. */
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

/* Returns whether this VM takes new callers: it has a configuration and does
 * not leave. */
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

/* Lists the entry VMs that peers tell of, and this one by what it knows of
 * itself. */
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

/* Lists up to most addresses of entry VMs for callers of a name, those of the
 * domain first, and returns their number. The strings are valid until the next
 * message. */
uint32_t
rp_address_book_list(struct rp_address_book *book, const char *name,
                     const char *domain, const char **addresses, uint32_t most,
                     int64_t now_ns)
{
    GArray *members = list_members(book, now_ns);
    uint32_t *picked = g_new(uint32_t, most);
    uint32_t count =
        rp_address_nearest((const struct rp_address_member *)members->data,
                           members->len, name, domain, picked, most);
    for (uint32_t i = 0; i < count; i++) {
        addresses[i] =
            g_array_index(members, struct rp_address_member, picked[i])
                .address;
    }
    g_free(picked);
    g_array_unref(members);
    return count;
}

/* Reads one argument of a query into value; "" when it is not there. Names of
 * services and failure domains need no escapes, so that escaped ones are not
 * found. */
static void
read_argument(const char *target, const char *name, char *value, size_t bytes)
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
refuse(struct rp_address_reply *reply, uint32_t status, const char *reason)
{
    reply->status = status;
    reply->reason = reason;
}

/* Answers the question of a request target such as
 * "/v1/addresses?service=NAME&domain=D". */
void
rp_address_book_answer(struct rp_address_book *book, const char *target,
                       int64_t now_ns, struct rp_address_reply *reply)
{
    char service[RP_ID_BYTES];
    char domain[RP_DOMAIN_BYTES];
    memset(reply, 0, sizeof(*reply));
    read_argument(target, "service", service, sizeof(service));
    read_argument(target, "domain", domain, sizeof(domain));
    if (service[0] == '\0') {
        refuse(reply, 400, "name the service: /v1/addresses?service=NAME");
        return;
    }
    if (book->ready &&
        rp_snapshot_find_service(book->snapshot, service) == NULL) {
        refuse(reply, 404, "no record describes this service");
        return;
    }
    GArray *members = list_members(book, now_ns);
    struct rp_steering_choice choice = {.width = 1};
    if (book->members != NULL) {
        rp_steering_update(book->steering, service, book->members, now_ns,
                           &choice);
    }
    struct rp_address_query question = {
        .service = service,
        .domain = domain,
        .members = (const struct rp_address_member *)members->data,
        .member_count = members->len,
        .subset = choice.width,
        .ttl_ms = rp_address_book_ttl_ms(book, now_ns),
        .random = g_rand_int(book->context->random),
    };
    if (book->snapshot != NULL) {
        question.digest = rp_snapshot_digest(book->snapshot);
        question.revision = rp_snapshot_revision(book->snapshot);
    }
    reply->body = rp_address_answer_format(&question);
    g_array_unref(members);
    if (reply->body == NULL) {
        refuse(reply, 503, "no entry VM can serve now");
        return;
    }
    reply->status = 200;
    reply->max_age_s = question.ttl_ms / 1000;
}
