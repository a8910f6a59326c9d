#include "ticket.h"

#include <string.h>

#include "error.h"

#define MAC_TEXT_BYTES 32
#define NONCE_TEXT_BYTES 32
#define DEFAULT_REPLAY_BUDGET (16u << 20)

/* Serials that can be live at once, and one that is being cleared. */
#define GROUP_COUNT (RP_TICKET_LIFETIME_NS / RP_TICKET_PERIOD_NS + 2)

/* Keeps the ticket mac apart from other uses of the fleet key. */
static const char mac_label[] = "rosemarypulley ticket 1:";

enum entry_state {
    STATE_RUNNING,
    STATE_DONE,
    STATE_UNKNOWN,
    STATE_NOT_RUN,
};

struct entry_key {
    uint64_t serial;
    uint8_t nonce[RP_TICKET_NONCE_BYTES];
};

struct rp_ticket_entry {
    struct entry_key key;
    uint64_t request_digest;
    enum entry_state state;
    bool exposed; /* an attempt may have reached a target */
    bool expired; /* removed as soon as it is finished */
    bool kept;    /* the answer can be replayed */
    struct rp_ticket_answer answer;
    uint8_t *bytes;               /* head, then body */
    struct rp_ticket_entry *next; /* of the same serial */
};

struct rp_ticket_table {
    char id[RP_ID_BYTES];
    uint64_t incarnation;
    uint8_t *key_bytes;
    struct rp_ticket_key key;
    uint32_t limit;
    uint64_t replay_budget;
    uint64_t replay_bytes;
    int64_t start_ns;
    uint64_t oldest_serial; /* not expired */
    uint64_t refused_end;   /* unseen tickets of lower serials never run */
    GHashTable *entries;    /* of struct rp_ticket_entry, keyed by itself */
    struct rp_ticket_entry *groups[GROUP_COUNT];
    uint64_t prefix_serial;
    char prefix[RP_TICKET_PREFIX_BYTES]; /* of prefix_serial, "" at first */
};

static void
compute_mac(const struct rp_ticket_key *key, const char *text, size_t length,
            char mac[MAC_TEXT_BYTES + 1])
{
    GHmac *hmac =
        g_hmac_new(G_CHECKSUM_SHA256, key->bytes, (gsize)key->byte_count);
    g_hmac_update(hmac, (const guchar *)mac_label, sizeof(mac_label) - 1);
    g_hmac_update(hmac, (const guchar *)text, (gssize)length);
    memcpy(mac, g_hmac_get_string(hmac), MAC_TEXT_BYTES);
    mac[MAC_TEXT_BYTES] = '\0';
    g_hmac_unref(hmac);
}

/* Takes the same time wherever the first difference is, so that the mac
 * cannot be found out byte by byte. */
static bool
equal_in_constant_time(const char *a, const char *b, size_t length)
{
    volatile uint8_t difference = 0;
    for (size_t i = 0; i < length; i++) {
        difference |= (uint8_t)((uint8_t)a[i] ^ (uint8_t)b[i]);
    }
    return difference == 0;
}

/* Reads the field that ends at *end and moves *end to the dot before it. */
static const char *
take_last_field(const char *text, const char **end)
{
    const char *start = *end;
    while (start > text && start[-1] != '.') {
        start--;
    }
    if (start == text) {
        return NULL; /* no dot before it */
    }
    *end = start - 1;
    return start;
}

static bool
parse_number(const char *start, const char *end, uint64_t *number)
{
    char text[24];
    size_t length = (size_t)(end - start);
    if (length == 0 || length >= sizeof(text)) {
        return false;
    }
    memcpy(text, start, length);
    text[length] = '\0';
    guint64 value;
    if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &value, NULL)) {
        return false;
    }
    *number = value;
    return true;
}

/* Fills in all but the nonce from a prefix that ends at end. The id may hold
 * dots, as the fields are taken from the end. */
static bool
parse_prefix(const struct rp_ticket_key *key, const char *text,
             const char *end, struct rp_ticket *ticket)
{
    const char *mac_end = end;
    const char *mac = take_last_field(text, &end);
    if (mac == NULL || mac_end - mac != MAC_TEXT_BYTES) {
        return false;
    }
    const char *signed_end = end;
    const char *serial = take_last_field(text, &end);
    if (serial == NULL || !parse_number(serial, signed_end, &ticket->serial)) {
        return false;
    }
    const char *incarnation_end = end;
    const char *incarnation = take_last_field(text, &end);
    if (incarnation == NULL ||
        !parse_number(incarnation, incarnation_end, &ticket->incarnation))
    {
        return false;
    }
    size_t id_bytes = (size_t)(end - text);
    if (id_bytes == 0 || id_bytes >= RP_ID_BYTES) {
        return false;
    }
    char expected[MAC_TEXT_BYTES + 1];
    compute_mac(key, text, (size_t)(signed_end - text), expected);
    if (!equal_in_constant_time(mac, expected, MAC_TEXT_BYTES)) {
        return false;
    }
    memcpy(ticket->id, text, id_bytes);
    ticket->id[id_bytes] = '\0';
    return true;
}

static bool
parse_nonce(const char *text, uint8_t nonce[RP_TICKET_NONCE_BYTES])
{
    for (size_t i = 0; i < RP_TICKET_NONCE_BYTES; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = g_ascii_xdigit_value(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        nonce[i] = (uint8_t)(high * 16 + low);
    }
    return true;
}

/* Reads the text of an RP-Ticket header and checks its mac. Returns false
 * with RP_ERROR_TICKET set when this fleet did not issue it or the caller's
 * part is not 32 hex digits: the request is refused as not run, which stays
 * true since no entry VM accepts such a ticket. */
bool
rp_ticket_parse(const struct rp_ticket_key *key, const char *text,
                struct rp_ticket *ticket, GError **error)
{
    struct rp_ticket parsed = {0};
    size_t length = strnlen(text, RP_TICKET_TEXT_BYTES);
    const char *end = text + length;
    const char *nonce =
        length < RP_TICKET_TEXT_BYTES ? take_last_field(text, &end) : NULL;
    if (nonce == NULL || text + length - nonce != NONCE_TEXT_BYTES ||
        !parse_nonce(nonce, parsed.nonce) ||
        !parse_prefix(key, text, end, &parsed))
    {
        g_set_error(error, RP_ERROR, RP_ERROR_TICKET,
                    "RP-Ticket is not one of this fleet: send the ticket of "
                    "a fresh address answer, a dot and 32 random hex digits");
        return false;
    }
    *ticket = parsed;
    return true;
}

/* Returns whether a prefix that a peer told about itself is one that callers
 * may be given: its mac is right and it names that entry VM and that
 * incarnation. */
bool
rp_ticket_prefix_check(const struct rp_ticket_key *key, const char *text,
                       const char *id, uint64_t incarnation)
{
    struct rp_ticket ticket = {0};
    size_t length = strnlen(text, RP_TICKET_PREFIX_BYTES);
    return length < RP_TICKET_PREFIX_BYTES &&
           parse_prefix(key, text, text + length, &ticket) &&
           strcmp(ticket.id, id) == 0 && ticket.incarnation == incarnation;
}

static guint
hash_entry(gconstpointer data)
{
    /* The nonce is random, so any part of it spreads well; the serial keeps
     * callers with poor randomness apart. */
    const struct rp_ticket_entry *entry = data;
    uint64_t word;
    memcpy(&word, entry->key.nonce + 8, sizeof(word));
    word ^= entry->key.serial * UINT64_C(0x9e3779b97f4a7c15);
    return (guint)(word ^ (word >> 32));
}

static gboolean
equal_entries(gconstpointer a, gconstpointer b)
{
    const struct rp_ticket_entry *x = a;
    const struct rp_ticket_entry *y = b;
    return x->key.serial == y->key.serial &&
           memcmp(x->key.nonce, y->key.nonce, RP_TICKET_NONCE_BYTES) == 0;
}

static void
free_entry(gpointer data)
{
    struct rp_ticket_entry *entry = data;
    g_free(entry->bytes);
    g_free(entry);
}

/* Creates the table of one incarnation of an entry VM. The strings and the
 * key are copied. now_ns is the start of its serials. Free it with
 * rp_ticket_table_free. */
struct rp_ticket_table *
rp_ticket_table_new(const struct rp_ticket_config *config, int64_t now_ns)
{
    struct rp_ticket_table *table = g_new0(struct rp_ticket_table, 1);
    g_strlcpy(table->id, config->id, sizeof(table->id));
    table->incarnation = config->incarnation;
    table->key_bytes = g_memdup2(config->key.bytes, config->key.byte_count);
    table->key.bytes = table->key_bytes;
    table->key.byte_count = config->key.byte_count;
    table->limit = config->max_tickets != 0 ? config->max_tickets
                                            : RP_TICKET_DEFAULT_MAX_TICKETS;
    table->replay_budget = config->max_replay_bytes != 0
                               ? config->max_replay_bytes
                               : DEFAULT_REPLAY_BUDGET;
    table->start_ns = now_ns;
    table->entries =
        g_hash_table_new_full(hash_entry, equal_entries, free_entry, NULL);
    return table;
}

/* Frees a table; NULL is allowed. */
void
rp_ticket_table_free(struct rp_ticket_table *table)
{
    if (table == NULL) {
        return;
    }
    g_hash_table_unref(table->entries);
    g_free(table->key_bytes);
    g_free(table);
}

static uint64_t
serial_at(const struct rp_ticket_table *table, int64_t now_ns)
{
    int64_t age_ns = MAX(now_ns - table->start_ns, 0);
    return (uint64_t)(age_ns / RP_TICKET_PERIOD_NS);
}

/* Writes the prefix that this entry VM issues at present, for its own
 * address answers and for its heartbeats. Returns the time from which on no
 * address answer may name it; peers must be told the remaining time. */
int64_t
rp_ticket_table_prefix(struct rp_ticket_table *table, int64_t now_ns,
                       char prefix[RP_TICKET_PREFIX_BYTES])
{
    uint64_t serial = serial_at(table, now_ns);
    if (table->prefix[0] == '\0' || serial != table->prefix_serial) {
        char mac[MAC_TEXT_BYTES + 1];
        int length = g_snprintf(table->prefix, sizeof(table->prefix),
                                "%s.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                                table->id, table->incarnation, serial);
        compute_mac(&table->key, table->prefix, (size_t)length, mac);
        g_strlcat(table->prefix, ".", sizeof(table->prefix));
        g_strlcat(table->prefix, mac, sizeof(table->prefix));
        table->prefix_serial = serial;
    }
    g_strlcpy(prefix, table->prefix, RP_TICKET_PREFIX_BYTES);
    return table->start_ns + (int64_t)serial * RP_TICKET_PERIOD_NS +
           RP_TICKET_ADVERTISED_NS;
}

/* Returns who decides about a ticket. */
enum rp_ticket_route
rp_ticket_table_route(const struct rp_ticket_table *table,
                      const struct rp_ticket *ticket)
{
    if (strcmp(ticket->id, table->id) != 0) {
        return RP_TICKET_ROUTE_REMOTE;
    }
    return ticket->incarnation == table->incarnation
               ? RP_TICKET_ROUTE_LOCAL
               : RP_TICKET_ROUTE_OLD_INCARNATION;
}

static void
remove_entry(struct rp_ticket_table *table, struct rp_ticket_entry *entry)
{
    if (entry->kept) {
        table->replay_bytes -=
            entry->answer.head_bytes + entry->answer.body_bytes;
    }
    g_hash_table_remove(table->entries, entry);
}

static void
remove_expired(struct rp_ticket_table *table, int64_t now_ns)
{
    uint64_t current = serial_at(table, now_ns);
    uint64_t lifetime = RP_TICKET_LIFETIME_NS / RP_TICKET_PERIOD_NS;
    uint64_t oldest = current > lifetime ? current - lifetime : 0;
    /* After a long pause every group is cleared once. */
    for (int i = 0; i < GROUP_COUNT && table->oldest_serial < oldest; i++) {
        uint64_t group = table->oldest_serial % GROUP_COUNT;
        struct rp_ticket_entry *entry = table->groups[group];
        table->groups[group] = NULL;
        while (entry != NULL) {
            struct rp_ticket_entry *next = entry->next;
            entry->next = NULL;
            if (entry->state == STATE_RUNNING) {
                entry->expired = true;
            }
            else {
                remove_entry(table, entry);
            }
            entry = next;
        }
        table->oldest_serial++;
    }
    table->oldest_serial = MAX(table->oldest_serial, oldest);
}

static void
claim_known(const struct rp_ticket_entry *entry, uint64_t request_digest,
            struct rp_ticket_claim *claim)
{
    if (entry->request_digest != request_digest) {
        claim->verdict = RP_TICKET_MISMATCH;
        return;
    }
    switch (entry->state) {
    case STATE_RUNNING:
        claim->verdict = RP_TICKET_RUNNING;
        return;
    case STATE_NOT_RUN:
        claim->verdict = RP_TICKET_NOT_RUN;
        return;
    case STATE_DONE:
        if (entry->kept) {
            claim->verdict = RP_TICKET_REPLAY;
            claim->answer = entry->answer;
            return;
        }
        break;
    case STATE_UNKNOWN:
        break;
    }
    claim->verdict = RP_TICKET_UNKNOWN;
}

/* Decides about a ticket of route OWN. request_digest tells requests apart,
 * so that a ticket used twice by mistake never brings the answer to another
 * request. Every verdict but RUN is final for the ticket until it expires,
 * and from then on it is UNKNOWN: a caller told NOT_RUN or FULL may send the
 * request again under a new ticket even if a copy of it is still under way.
 * For that reason a full table refuses all unseen tickets up to the present
 * serial for good, not only the one at hand. */
void
rp_ticket_table_claim(struct rp_ticket_table *table,
                      const struct rp_ticket *ticket, uint64_t request_digest,
                      int64_t now_ns, struct rp_ticket_claim *claim)
{
    memset(claim, 0, sizeof(*claim));
    remove_expired(table, now_ns);
    struct rp_ticket_entry probe = {.key.serial = ticket->serial};
    memcpy(probe.key.nonce, ticket->nonce, sizeof(probe.key.nonce));
    struct rp_ticket_entry *entry =
        g_hash_table_lookup(table->entries, &probe);
    if (entry != NULL) {
        claim_known(entry, request_digest, claim);
        return;
    }
    uint64_t current = serial_at(table, now_ns);
    if (ticket->serial < table->oldest_serial || ticket->serial > current) {
        claim->verdict = RP_TICKET_UNKNOWN;
        return;
    }
    if (g_hash_table_size(table->entries) >= table->limit) {
        table->refused_end = current + 1;
    }
    if (ticket->serial < table->refused_end) {
        claim->verdict = RP_TICKET_FULL;
        return;
    }
    entry = g_new0(struct rp_ticket_entry, 1);
    entry->key = probe.key;
    entry->request_digest = request_digest;
    uint64_t group = ticket->serial % GROUP_COUNT;
    entry->next = table->groups[group];
    table->groups[group] = entry;
    g_hash_table_add(table->entries, entry);
    claim->verdict = RP_TICKET_RUN;
    claim->entry = entry;
}

/* Returns how many tickets the table remembers. */
uint32_t
rp_ticket_table_count(const struct rp_ticket_table *table)
{
    return g_hash_table_size(table->entries);
}

/* Asks, right before an attempt of the request is handed to a connection,
 * whether that would be the only one that can run. False is a failure of
 * invariant at-most-once in the caller of this function. */
bool
rp_ticket_attempt_begin(struct rp_ticket_entry *entry)
{
    if (entry->state != STATE_RUNNING || entry->exposed) {
        return false;
    }
    entry->exposed = true;
    return true;
}

/* Takes note that the attempt in progress truly did not run: no byte reached
 * a target, or the target refused by its contract. */
void
rp_ticket_attempt_not_run(struct rp_ticket_entry *entry)
{
    entry->exposed = false;
}

static void
finish(struct rp_ticket_table *table, struct rp_ticket_entry *entry,
       enum entry_state state)
{
    entry->state = state;
    if (entry->expired) {
        remove_entry(table, entry);
    }
}

static void
keep_answer(struct rp_ticket_table *table, struct rp_ticket_entry *entry,
            const struct rp_ticket_answer *answer)
{
    uint64_t byte_count = (uint64_t)answer->head_bytes + answer->body_bytes;
    if (answer->body_bytes > RP_TICKET_MAX_BODY_BYTES ||
        answer->head_bytes > RP_TICKET_MAX_HEAD_BYTES ||
        table->replay_bytes + byte_count > table->replay_budget)
    {
        return;
    }
    entry->bytes = g_malloc(byte_count);
    if (answer->head_bytes > 0) {
        memcpy(entry->bytes, answer->head, answer->head_bytes);
    }
    if (answer->body_bytes > 0) {
        memcpy(entry->bytes + answer->head_bytes, answer->body,
               answer->body_bytes);
    }
    entry->answer = *answer;
    entry->answer.head = entry->bytes;
    entry->answer.body = entry->bytes + answer->head_bytes;
    entry->kept = true;
    table->replay_bytes += byte_count;
}

/* Ends a run whose whole answer is known. Answers with a body of up to
 * RP_TICKET_MAX_BODY_BYTES and a head of up to RP_TICKET_MAX_HEAD_BYTES are
 * copied for replay while the budget for them lasts; a repeat of others is
 * told UNKNOWN. The entry is no longer the caller's. */
void
rp_ticket_finish_done(struct rp_ticket_table *table,
                      struct rp_ticket_entry *entry,
                      const struct rp_ticket_answer *answer)
{
    keep_answer(table, entry, answer);
    finish(table, entry, STATE_DONE);
}

/* Ends a run that may or may not have happened. The entry is no longer the
 * caller's. */
void
rp_ticket_finish_unknown(struct rp_ticket_table *table,
                         struct rp_ticket_entry *entry)
{
    finish(table, entry, STATE_UNKNOWN);
}

/* Ends a claim that did not run and now never will. Returns false, and makes
 * it unknown, when an attempt may have reached a target: answering not-run
 * would then be a failure of invariant not-run-is-true. The entry is no
 * longer the caller's. */
bool
rp_ticket_finish_not_run(struct rp_ticket_table *table,
                         struct rp_ticket_entry *entry)
{
    bool true_answer = !entry->exposed;
    finish(table, entry, true_answer ? STATE_NOT_RUN : STATE_UNKNOWN);
    return true_answer;
}
