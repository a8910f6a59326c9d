#include "entry_request.h"

#include <string.h>

#include <jansson.h>

#include "address_answer.h"

/* Answers shorter than this are handed to the daemon in one piece. */
#define WHOLE_BYTES RP_STREAM_TURN_BYTES

static void
on_body_readable(void *data)
{
    entry_resume(data);
}

/* Called by the daemon for the next bytes of an answer's body. */
static ssize_t
read_body(void *data, uint64_t position, char *buffer, size_t bytes)
{
    (void)position;
    struct entry_request *request = data;
    struct rp_stream *body = request->reply.body;
    uint32_t count = rp_stream_read(
        body, buffer, (uint32_t)MIN(bytes, RP_STREAM_TURN_BYTES));
    if (count > 0) {
        return count;
    }
    if (rp_stream_at_end(body)) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (request->abort || rp_stream_state(body) == RP_STREAM_BROKEN) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    entry_suspend(request);
    return 0;
}

static struct MHD_Response *
make_response(struct entry_request *request)
{
    const struct rp_answer *answer = request->reply.answer;
    struct rp_stream *body = request->reply.body;
    bool bodyless = request->call->method_flag == RP_METHOD_HEAD ||
                    answer->status == 204 || answer->status == 304;
    uint64_t size = answer->body_bytes >= 0 ? (uint64_t)answer->body_bytes
                                            : MHD_SIZE_UNKNOWN;
    uint32_t available = rp_stream_available(body);
    if (!bodyless && rp_stream_state(body) == RP_STREAM_ENDED &&
        available <= WHOLE_BYTES && rp_stream_written(body) == available)
    {
        char bytes[WHOLE_BYTES];
        rp_stream_read(body, bytes, available);
        return MHD_create_response_from_buffer(available, bytes,
                                               MHD_RESPMEM_MUST_COPY);
    }
    if (bodyless && answer->body_bytes < 0) {
        return MHD_create_response_from_buffer(0, NULL,
                                               MHD_RESPMEM_PERSISTENT);
    }
    rp_stream_set_reader(body, on_body_readable, request);
    return MHD_create_response_from_callback(size, RP_STREAM_TURN_BYTES,
                                             read_body, request, NULL);
}

static void
add_closing(const struct entry_request *request, struct MHD_Response *response)
{
    if (request->entry->closing || request->connection->gone) {
        MHD_add_response_header(response, "Connection", "close");
    }
}

static const char *
outcome_word(enum rp_outcome outcome)
{
    return outcome == RP_OUTCOME_NOT_RUN ? "not-run" : "unknown";
}

static void
add_outcome(struct MHD_Response *response, enum rp_outcome outcome,
            int64_t retry_after_ms)
{
    MHD_add_response_header(response, "RP-Outcome", outcome_word(outcome));
    if (retry_after_ms > 0) {
        char number[32];
        g_snprintf(number, sizeof(number), "%" G_GINT64_FORMAT,
                   (retry_after_ms + 999) / 1000);
        MHD_add_response_header(response, "Retry-After", number);
        g_snprintf(number, sizeof(number), "%" G_GINT64_FORMAT,
                   retry_after_ms);
        MHD_add_response_header(response, "RP-Retry-After-Ms", number);
    }
}

/* Answers with what dispatch has decided. */
enum MHD_Result
entry_queue_reply(struct entry_request *request)
{
    const struct rp_call_reply *reply = &request->reply;
    if (reply->outcome != RP_OUTCOME_NONE) {
        return entry_queue_fault(request, reply->status, reply->outcome,
                                 reply->retry_after_ms, reply->reason);
    }
    struct MHD_Response *response = make_response(request);
    uint32_t position = 0;
    const char *name;
    const char *value;
    while (rp_fields_next(&reply->answer->fields, &position, &name, &value)) {
        MHD_add_response_header(response, name, value);
    }
    MHD_add_response_header(response, "RP-Request-Id",
                            request->call->request_id);
    if (reply->answer->outcome != RP_OUTCOME_NONE) {
        /* Made by the entry VM that the request was passed on to. */
        add_outcome(response, reply->answer->outcome,
                    reply->answer->retry_after_ms);
    }
    add_closing(request, response);
    request->phase = ENTRY_ANSWERED;
    enum MHD_Result result =
        MHD_queue_response(request->mhd, reply->answer->status, response);
    MHD_destroy_response(response);
    return result;
}

/* Answers a request that got no target's answer, with its outcome. */
enum MHD_Result
entry_queue_fault(struct entry_request *request, uint32_t status,
                  enum rp_outcome outcome, int64_t retry_after_ms,
                  const char *reason)
{
    const char *word = outcome_word(outcome);
    json_t *body = json_pack("{s:s, s:s}", "outcome", word, "reason", reason);
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", "application/json");
    add_outcome(response, outcome, retry_after_ms);
    if (request->call != NULL) {
        MHD_add_response_header(response, "RP-Request-Id",
                                request->call->request_id);
    }
    add_closing(request, response);
    request->phase = ENTRY_ANSWERED;
    enum MHD_Result result =
        MHD_queue_response(request->mhd, status, response);
    MHD_destroy_response(response);
    return result;
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
list_members(const struct rp_entry *entry, int64_t now_ns)
{
    const struct rp_identity *identity = &entry->context->identity;
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct rp_address_member));
    struct rp_address_member self = {
        .id = identity->id,
        .address = identity->address,
        .domain = identity->domain,
        .ticket = "",
        .state = entry->ready && !entry->leaving ? RP_ADDRESS_SERVING
                                                 : RP_ADDRESS_UNUSABLE,
        .incarnation = identity->incarnation,
    };
    uint32_t count = entry->members == NULL ? 0 : entry->members->count;
    for (uint32_t i = 0; i < count; i++) {
        const struct rp_member *member = &entry->members->members[i];
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
        };
        g_array_append_val(list, other);
    }
    g_array_append_val(list, self);
    return list;
}

static enum MHD_Result
queue_json(struct entry_request *request, char *text, uint32_t ttl_ms)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_COPY);
    g_free(text);
    char control[64];
    g_snprintf(control, sizeof(control), "max-age=%u", ttl_ms / 1000);
    MHD_add_response_header(response, "Content-Type", "application/json");
    MHD_add_response_header(response, "Cache-Control", control);
    add_closing(request, response);
    request->phase = ENTRY_ANSWERED;
    enum MHD_Result result = MHD_queue_response(request->mhd, 200, response);
    MHD_destroy_response(response);
    return result;
}

/* Answers GET /v1/addresses?service=NAME[&domain=D]. */
enum MHD_Result
entry_queue_addresses(struct entry_request *request)
{
    struct rp_entry *entry = request->entry;
    const char *service = MHD_lookup_connection_value(
        request->mhd, MHD_GET_ARGUMENT_KIND, "service");
    const char *domain = MHD_lookup_connection_value(
        request->mhd, MHD_GET_ARGUMENT_KIND, "domain");
    if (service == NULL) {
        return entry_queue_fault(request, 400, RP_OUTCOME_NOT_RUN, 0,
                                 "name the service: "
                                 "/v1/addresses?service=NAME");
    }
    if (entry->ready &&
        rp_snapshot_find_service(entry->snapshot, service) == NULL) {
        return entry_queue_fault(request, 404, RP_OUTCOME_NOT_RUN, 0,
                                 "no record describes this service");
    }
    int64_t now_ns = rp_loop_now_ns();
    GArray *members = list_members(entry, now_ns);
    struct rp_steering_choice choice = {.width = 1};
    if (entry->members != NULL) {
        rp_steering_update(entry->steering, service, entry->members, now_ns,
                           &choice);
    }
    struct rp_address_question question = {
        .service = service,
        .domain = domain == NULL ? "" : domain,
        .members = (const struct rp_address_member *)members->data,
        .member_count = members->len,
        .subset = choice.width,
        .ttl_ms = entry->config.answer_ttl_ms,
        .random = g_rand_int(entry->context->random),
    };
    if (entry->snapshot != NULL) {
        question.digest = rp_snapshot_digest(entry->snapshot);
        question.revision = rp_snapshot_revision(entry->snapshot);
    }
    char *text = rp_address_answer_format(&question);
    g_array_unref(members);
    if (text == NULL) {
        return entry_queue_fault(request, 503, RP_OUTCOME_NOT_RUN, 1000,
                                 "no entry VM can serve now");
    }
    return queue_json(request, text, entry->config.answer_ttl_ms);
}
