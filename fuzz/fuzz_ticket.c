#include <stdlib.h>
#include <string.h>

#include "deadline.h"
#include "ticket.h"

static const uint8_t key_bytes[] = "fuzz";
static const struct rp_ticket_key key = {key_bytes, sizeof(key_bytes)};

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count);

/* Parses the input as a ticket, alone and after a valid prefix, claims
 * accepted tickets several times, and checks that no ticket may run twice. */
int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count)
{
    struct rp_ticket_config config = {
        .id = "a.b", .incarnation = 3, .key = key};
    struct rp_ticket_table *table = rp_ticket_table_new(&config, 0);
    char prefix[RP_TICKET_PREFIX_BYTES];
    rp_ticket_table_prefix(table, 0, prefix);
    char *text = g_strndup((const char *)bytes, count);
    char *prefixed = g_strconcat(prefix, text, NULL);
    const char *const texts[] = {text, prefixed};
    for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct rp_ticket ticket;
        struct rp_ticket_claim claim;
        GError *error = NULL;
        if (!rp_ticket_parse(&key, texts[i], &ticket, &error)) {
            g_clear_error(&error);
            continue;
        }
        for (int64_t now_ns = 0; now_ns < INT64_C(80000000000);
             now_ns += INT64_C(10000000000))
        {
            rp_ticket_table_claim(table, &ticket, 1, now_ns, &claim);
            bool may_run = now_ns == 0 && ticket.serial == 0;
            if ((claim.verdict == RP_TICKET_RUN) != may_run) {
                abort();
            }
            if (may_run) {
                rp_ticket_finish_unknown(table, claim.entry);
            }
        }
    }
    uint32_t number;
    rp_ticket_prefix_check(&key, text, "a.b", 3);
    rp_deadline_parse_timeout(text, &number, NULL);
    rp_deadline_parse_attempts(text, &number, NULL);
    g_free(prefixed);
    g_free(text);
    rp_ticket_table_free(table);
    return 0;
}
