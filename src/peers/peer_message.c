#include "peer_message.h"

#include <msgpack.h>
#include <string.h>

#include "error.h"
#include "msgpack_check.h"
#include "wire.h"

/* Encoded size of all numbers of one update or hint. */
#define MAX_UPDATE_NUMBER_BYTES 48
#define MAX_HINT_NUMBER_BYTES 32

/* Upper bound of a received value: the member refutes with a greater one. */
#define MAX_REFUTATION (UINT32_MAX / 2)
/* Enough for RP_MEMBER_LIMIT members with long names. */
#define MAX_MEMBERS_BYTES (1024u * 1024)
#define MAX_AGE_MS ((uint32_t)INT32_MAX)

/* Returns an upper bound of the encoded size of an update. */
uint32_t
rp_peer_update_bytes(const struct rp_member_update *update)
{
    size_t bytes = MAX_UPDATE_NUMBER_BYTES + strlen(update->info.id);
    if (update->has_profile) {
        bytes += strlen(update->info.domain) + strlen(update->info.address) +
                 strlen(update->info.peer_address) +
                 strlen(update->info.ticket_prefix);
    }
    return (uint32_t)bytes;
}

/* Returns an upper bound of the encoded size of a hint. */
uint32_t
rp_peer_hint_bytes(const struct rp_peer_hint *hint)
{
    return (uint32_t)(MAX_HINT_NUMBER_BYTES + strlen(hint->service) +
                      strlen(hint->address));
}

static void
pack_text(msgpack_packer *packer, const char *text)
{
    size_t bytes = strlen(text);
    msgpack_pack_str(packer, bytes);
    msgpack_pack_str_body(packer, text, bytes);
}

static void
pack_bool(msgpack_packer *packer, bool value)
{
    if (value) {
        msgpack_pack_true(packer);
    }
    else {
        msgpack_pack_false(packer);
    }
}

static void
pack_update(msgpack_packer *packer, const struct rp_member_update *update)
{
    const struct rp_member_info *info = &update->info;
    /* Only a lender's update has these two fields. Earlier releases ignore
     * them. */
    uint32_t loan_fields = info->loan_borrower == 0 ? 0 : 2;
    msgpack_pack_array(packer, (update->has_profile ? 15 : 8) + loan_fields);
    pack_text(packer, info->id);
    msgpack_pack_uint64(packer, info->incarnation);
    msgpack_pack_uint32(packer, info->refutation);
    msgpack_pack_uint32(packer, (uint32_t)info->state);
    msgpack_pack_uint32(packer, update->suspector_hash);
    msgpack_pack_uint32(packer, info->version);
    msgpack_pack_uint32(packer, info->load_permille);
    msgpack_pack_uint32(packer, update->age_ms);
    if (update->has_profile) {
        msgpack_pack_uint32(packer, (uint32_t)info->phase);
        pack_text(packer, info->domain);
        pack_text(packer, info->address);
        pack_text(packer, info->peer_address);
        pack_text(packer, info->ticket_prefix);
        msgpack_pack_uint32(packer, update->ticket_ttl_ms);
        msgpack_pack_uint32(packer, info->capacity_permille);
    }
    if (loan_fields > 0) {
        msgpack_pack_uint32(packer, info->loan_borrower);
        msgpack_pack_uint32(packer, info->loan_ppm);
    }
}

static void
pack_hint(msgpack_packer *packer, const struct rp_peer_hint *hint)
{
    msgpack_pack_array(packer, hint->has_load ? 9 : 4);
    pack_text(packer, hint->service);
    pack_text(packer, hint->address);
    msgpack_pack_uint32(packer, (uint32_t)hint->kind);
    msgpack_pack_uint32(packer, hint->age_ms);
    if (hint->has_load) {
        msgpack_pack_uint32(packer, hint->load.in_flight);
        msgpack_pack_uint32(packer, hint->load.slots);
        msgpack_pack_uint32(packer, hint->load.queued);
        msgpack_pack_uint32(packer, hint->load.service_us);
        msgpack_pack_uint32(packer, (uint32_t)hint->load.state);
    }
}

static void
pack_heartbeat(msgpack_packer *packer,
               const struct rp_peer_heartbeat *heartbeat)
{
    const struct rp_peer_config *config = &heartbeat->config;
    pack_text(packer, "answer");
    pack_bool(packer, heartbeat->is_answer);
    pack_text(packer, "asks");
    pack_bool(packer, heartbeat->requests_answer);
    pack_text(packer, "config");
    msgpack_pack_array(packer, config->has_platform ? 5 : 3);
    msgpack_pack_uint32(packer, (uint32_t)config->phase);
    msgpack_pack_uint64(packer, config->digest);
    msgpack_pack_uint64(packer, config->revision);
    if (config->has_platform) {
        msgpack_pack_uint64(packer, config->platform_revision);
        msgpack_pack_uint32(packer, config->platform_age_ms);
    }
    pack_text(packer, "digest");
    msgpack_pack_uint64(packer, heartbeat->member_digest);
    pack_text(packer, "alive");
    msgpack_pack_uint32(packer, heartbeat->alive_count);
    pack_text(packer, "wants");
    pack_bool(packer, heartbeat->requests_members);
    pack_text(packer, "members");
    msgpack_pack_array(packer, heartbeat->update_count);
    for (uint32_t i = 0; i < heartbeat->update_count; i++) {
        pack_update(packer, &heartbeat->updates[i]);
    }
    pack_text(packer, "hints");
    msgpack_pack_array(packer, heartbeat->hint_count);
    for (uint32_t i = 0; i < heartbeat->hint_count; i++) {
        pack_hint(packer, &heartbeat->hints[i]);
    }
}

static void
pack_config_sync_request(msgpack_packer *packer,
                         const struct rp_peer_config_sync_request *request)
{
    pack_text(packer, "buckets");
    msgpack_pack_array(packer, RP_RECORD_SET_BUCKETS);
    for (int i = 0; i < RP_RECORD_SET_BUCKETS; i++) {
        msgpack_pack_uint64(packer, request->bucket_digests[i]);
    }
}

static void
pack_records(msgpack_packer *packer, const struct rp_peer_batch *records)
{
    pack_text(packer, "batch");
    msgpack_pack_bin(packer, records->byte_count);
    msgpack_pack_bin_body(packer, records->bytes, records->byte_count);
    pack_text(packer, "answer");
    pack_bool(packer, records->is_answer);
    pack_text(packer, "part");
    msgpack_pack_uint32(packer, records->part);
    pack_text(packer, "last");
    pack_bool(packer, records->last);
    pack_text(packer, "plain");
    msgpack_pack_uint32(packer, records->uncompressed_bytes);
    pack_text(packer, "span");
    msgpack_pack_uint32(packer, records->span);
    pack_text(packer, "backward");
    pack_bool(packer, records->backward);
}

static void
pack_probe(msgpack_packer *packer, const struct rp_peer_probe *probe)
{
    pack_text(packer, "subject");
    pack_text(packer, probe->subject);
    pack_text(packer, "address");
    pack_text(packer, probe->subject_address);
    pack_text(packer, "reply_to");
    pack_text(packer, probe->reply_to);
    pack_text(packer, "origin");
    pack_text(packer, probe->origin);
}

static void
pack_ack(msgpack_packer *packer, const struct rp_peer_ack *ack)
{
    pack_text(packer, "subject");
    pack_text(packer, ack->subject);
    pack_text(packer, "origin");
    pack_text(packer, ack->origin);
    pack_text(packer, "incarnation");
    msgpack_pack_uint64(packer, ack->incarnation);
    pack_text(packer, "reached");
    pack_bool(packer, ack->reached);
}

static void
pack_members(msgpack_packer *packer, const struct rp_peer_members *members)
{
    pack_text(packer, "list");
    msgpack_pack_bin(packer, members->byte_count);
    msgpack_pack_bin_body(packer, members->bytes, members->byte_count);
    pack_text(packer, "plain");
    msgpack_pack_uint32(packer, members->uncompressed_bytes);
}

static uint32_t
body_field_count(uint32_t kind)
{
    static const uint32_t fields[] = {
        [RP_PEER_HEARTBEAT] = 8,      [RP_PEER_CONFIG_SYNC_REQUEST] = 1,
        [RP_PEER_CONFIG_RECORDS] = 7, [RP_PEER_SUSPECT_PROBE] = 4,
        [RP_PEER_SUSPECT_ACK] = 4,    [RP_PEER_MEMBERS] = 2,
    };
    return kind < G_N_ELEMENTS(fields) ? fields[kind] : 0;
}

static void
pack_body(msgpack_packer *packer, const struct rp_peer_message *message)
{
    switch (message->kind) {
    case RP_PEER_HEARTBEAT:
        pack_heartbeat(packer, &message->body.heartbeat);
        break;
    case RP_PEER_CONFIG_SYNC_REQUEST:
        pack_config_sync_request(packer, &message->body.config_sync_request);
        break;
    case RP_PEER_CONFIG_RECORDS:
        pack_records(packer, &message->body.records);
        break;
    case RP_PEER_SUSPECT_PROBE:
        pack_probe(packer, &message->body.probe);
        break;
    case RP_PEER_SUSPECT_ACK:
        pack_ack(packer, &message->body.ack);
        break;
    case RP_PEER_MEMBERS:
        pack_members(packer, &message->body.members);
        break;
    default:
        break;
    }
}

/* Encodes a message as a MessagePack map. The caller owns the bytes. */
GBytes *
rp_peer_message_encode(const struct rp_peer_message *message)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_map(&packer, 6 + body_field_count(message->kind));
    pack_text(&packer, "v");
    msgpack_pack_uint32(&packer, message->version);
    pack_text(&packer, "kind");
    msgpack_pack_uint32(&packer, message->kind);
    pack_text(&packer, "from");
    msgpack_pack_map(&packer, 2);
    pack_text(&packer, "id");
    pack_text(&packer, message->from);
    pack_text(&packer, "incarnation");
    msgpack_pack_uint64(&packer, message->incarnation);
    pack_text(&packer, "seq");
    msgpack_pack_uint64(&packer, message->seq);
    pack_text(&packer, "hlc");
    msgpack_pack_array(&packer, 2);
    msgpack_pack_int64(&packer, message->hlc.wall_ms);
    msgpack_pack_uint32(&packer, message->hlc.count);
    pack_text(&packer, "sent");
    msgpack_pack_uint64(&packer, message->sent_ms);
    pack_body(&packer, message);
    GBytes *bytes = g_bytes_new(buffer.data, buffer.size);
    msgpack_sbuffer_destroy(&buffer);
    return bytes;
}

/* The read_ functions below return false when a field is missing or out of
 * bounds. Unknown fields and array elements are ignored. */

static const msgpack_object *
find_field(const msgpack_object *map, const char *name)
{
    size_t bytes = strlen(name);
    for (uint32_t i = 0; i < map->via.map.size; i++) {
        const msgpack_object *key = &map->via.map.ptr[i].key;
        if (key->type == MSGPACK_OBJECT_STR && key->via.str.size == bytes &&
            memcmp(key->via.str.ptr, name, bytes) == 0)
        {
            return &map->via.map.ptr[i].val;
        }
    }
    return NULL;
}

static bool
read_u64(const msgpack_object *object, uint64_t *value)
{
    if (object == NULL || object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *value = object->via.u64;
    return true;
}

static bool
read_u32(const msgpack_object *object, uint32_t limit, uint32_t *value)
{
    uint64_t wide;
    if (!read_u64(object, &wide) || wide > limit) {
        return false;
    }
    *value = (uint32_t)wide;
    return true;
}

static bool
read_bool(const msgpack_object *object, bool *value)
{
    if (object == NULL || object->type != MSGPACK_OBJECT_BOOLEAN) {
        return false;
    }
    *value = object->via.boolean;
    return true;
}

/* Accepts printable ASCII only, because these texts are written to logs,
 * address answers and the timeline. */
static bool
read_text(const msgpack_object *object, char *text, size_t text_bytes)
{
    if (object == NULL || object->type != MSGPACK_OBJECT_STR ||
        object->via.str.size >= text_bytes)
    {
        return false;
    }
    for (uint32_t i = 0; i < object->via.str.size; i++) {
        if (!g_ascii_isprint(object->via.str.ptr[i])) {
            return false;
        }
    }
    memcpy(text, object->via.str.ptr, object->via.str.size);
    text[object->via.str.size] = '\0';
    return true;
}

static bool
read_id(const msgpack_object *object, char id[RP_ID_BYTES])
{
    return read_text(object, id, RP_ID_BYTES) && id[0] != '\0';
}

static bool
read_array(const msgpack_object *object, uint32_t min_size, uint32_t max_size)
{
    return object != NULL && object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size >= min_size &&
           object->via.array.size <= max_size;
}

static bool
read_profile(const msgpack_object *fields, struct rp_member_update *update)
{
    struct rp_member_info *info = &update->info;
    uint32_t phase;
    if (!read_u32(&fields[0], (RP_CONFIG_IN_FORCE + 1) - 1, &phase) ||
        !read_text(&fields[1], info->domain, sizeof(info->domain)) ||
        !read_text(&fields[2], info->address, sizeof(info->address)) ||
        !read_text(&fields[3], info->peer_address,
                   sizeof(info->peer_address)) ||
        !read_text(&fields[4], info->ticket_prefix,
                   sizeof(info->ticket_prefix)) ||
        !read_u32(&fields[5], MAX_AGE_MS, &update->ticket_ttl_ms))
    {
        return false;
    }
    info->phase = (enum rp_config_phase)phase;
    update->has_profile = true;
    return true;
}

static bool
read_update(const msgpack_object *object, struct rp_member_update *update)
{
    struct rp_member_info *info = &update->info;
    uint32_t state;
    memset(update, 0, sizeof(*update));
    if (!read_array(object, 8, 32)) {
        return false;
    }
    const msgpack_object *fields = object->via.array.ptr;
    if (!read_id(&fields[0], info->id) ||
        !read_u64(&fields[1], &info->incarnation) ||
        !read_u32(&fields[2], MAX_REFUTATION, &info->refutation) ||
        !read_u32(&fields[3], RP_MEMBER_STATE_COUNT - 1, &state) ||
        !read_u32(&fields[4], UINT32_MAX, &update->suspector_hash) ||
        !read_u32(&fields[5], UINT32_MAX, &info->version) ||
        !read_u32(&fields[6], UINT32_MAX, &info->load_permille) ||
        !read_u32(&fields[7], MAX_AGE_MS, &update->age_ms))
    {
        return false;
    }
    info->state = (enum rp_member_state)state;
    uint32_t count = object->via.array.size;
    /* Earlier releases do not send the capacity. */
    if (count >= 15 &&
        !read_u32(&fields[14], UINT32_MAX, &info->capacity_permille))
    {
        return false;
    }
    uint32_t loan = count < 14 ? 8 : 15;
    if (count >= loan + 2 &&
        (!read_u32(&fields[loan], UINT32_MAX, &info->loan_borrower) ||
         !read_u32(&fields[loan + 1], UINT32_MAX, &info->loan_ppm)))
    {
        return false;
    }
    return count < 14 || read_profile(&fields[8], update);
}

static bool
read_load(const msgpack_object *fields, struct rp_load_report *load)
{
    uint32_t state;
    if (!read_u32(&fields[0], INT32_MAX, &load->in_flight) ||
        !read_u32(&fields[1], INT32_MAX, &load->slots) ||
        !read_u32(&fields[2], INT32_MAX, &load->queued) ||
        !read_u32(&fields[3], INT32_MAX, &load->service_us) ||
        !read_u32(&fields[4], RP_TARGET_DRAINING, &state))
    {
        return false;
    }
    load->state = (enum rp_target_state)state;
    return true;
}

static bool
read_hint(const msgpack_object *object, struct rp_peer_hint *hint)
{
    uint32_t kind;
    memset(hint, 0, sizeof(*hint));
    if (!read_array(object, 4, 32)) {
        return false;
    }
    const msgpack_object *fields = object->via.array.ptr;
    if (!read_text(&fields[0], hint->service, sizeof(hint->service)) ||
        !read_text(&fields[1], hint->address, sizeof(hint->address)) ||
        !read_u32(&fields[2], RP_HINT_KIND_COUNT - 1, &kind) ||
        !read_u32(&fields[3], MAX_AGE_MS, &hint->age_ms))
    {
        return false;
    }
    hint->kind = (enum rp_hint_kind)kind;
    hint->has_load = object->via.array.size >= 9;
    return !hint->has_load || read_load(&fields[4], &hint->load);
}

static bool
read_config(const msgpack_object *object, struct rp_peer_config *config)
{
    if (!read_array(object, 3, 32)) {
        return false;
    }
    const msgpack_object *fields = object->via.array.ptr;
    uint32_t phase;
    if (!read_u32(&fields[0], RP_CONFIG_IN_FORCE, &phase) ||
        !read_u64(&fields[1], &config->digest) ||
        !read_u64(&fields[2], &config->revision))
    {
        return false;
    }
    config->phase = (enum rp_config_phase)phase;
    config->has_platform = object->via.array.size >= 5;
    return !config->has_platform ||
           (read_u64(&fields[3], &config->platform_revision) &&
            read_u32(&fields[4], MAX_AGE_MS, &config->platform_age_ms));
}

static bool
read_heartbeat(const msgpack_object *map, struct rp_peer_heartbeat *heartbeat)
{
    const msgpack_object *members = find_field(map, "members");
    const msgpack_object *hints = find_field(map, "hints");
    if (!read_bool(find_field(map, "answer"), &heartbeat->is_answer) ||
        !read_bool(find_field(map, "asks"), &heartbeat->requests_answer) ||
        !read_config(find_field(map, "config"), &heartbeat->config) ||
        !read_u64(find_field(map, "digest"), &heartbeat->member_digest) ||
        !read_array(members, 1, RP_PEER_MAX_UPDATES) ||
        !read_array(hints, 0, RP_PEER_MAX_HINTS))
    {
        return false;
    }
    /* Earlier releases do not send these fields. */
    const msgpack_object *alive = find_field(map, "alive");
    const msgpack_object *requests_members = find_field(map, "wants");
    heartbeat->alive_count = 0;
    heartbeat->requests_members = false;
    if ((alive != NULL &&
         !read_u32(alive, RP_MEMBER_LIMIT, &heartbeat->alive_count)) ||
        (requests_members != NULL &&
         !read_bool(requests_members, &heartbeat->requests_members)))
    {
        return false;
    }
    heartbeat->update_count = members->via.array.size;
    for (uint32_t i = 0; i < heartbeat->update_count; i++) {
        if (!read_update(&members->via.array.ptr[i], &heartbeat->updates[i])) {
            return false;
        }
    }
    heartbeat->hint_count = hints->via.array.size;
    for (uint32_t i = 0; i < heartbeat->hint_count; i++) {
        if (!read_hint(&hints->via.array.ptr[i], &heartbeat->hints[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_config_sync_request(const msgpack_object *map,
                         struct rp_peer_config_sync_request *request)
{
    const msgpack_object *buckets = find_field(map, "buckets");
    if (!read_array(buckets, RP_RECORD_SET_BUCKETS, RP_RECORD_SET_BUCKETS)) {
        return false;
    }
    for (uint32_t i = 0; i < RP_RECORD_SET_BUCKETS; i++) {
        if (!read_u64(&buckets->via.array.ptr[i], &request->bucket_digests[i]))
        {
            return false;
        }
    }
    return true;
}

static bool
read_records(const msgpack_object *map, struct rp_peer_batch *records)
{
    const msgpack_object *batch = find_field(map, "batch");
    if (batch == NULL || batch->type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    records->bytes = (const uint8_t *)batch->via.bin.ptr;
    records->byte_count = batch->via.bin.size;
    return read_bool(find_field(map, "answer"), &records->is_answer) &&
           read_u32(find_field(map, "part"), UINT32_MAX, &records->part) &&
           read_bool(find_field(map, "last"), &records->last) &&
           read_u32(find_field(map, "plain"), RP_RECORD_BATCH_MAX_BYTES,
                    &records->uncompressed_bytes) &&
           read_u32(find_field(map, "span"), RP_MEMBER_LIMIT,
                    &records->span) &&
           read_bool(find_field(map, "backward"), &records->backward);
}

static bool
read_probe(const msgpack_object *map, struct rp_peer_probe *probe)
{
    return read_id(find_field(map, "subject"), probe->subject) &&
           read_text(find_field(map, "address"), probe->subject_address,
                     sizeof(probe->subject_address)) &&
           read_text(find_field(map, "reply_to"), probe->reply_to,
                     sizeof(probe->reply_to)) &&
           read_text(find_field(map, "origin"), probe->origin,
                     sizeof(probe->origin));
}

static bool
read_ack(const msgpack_object *map, struct rp_peer_ack *ack)
{
    return read_id(find_field(map, "subject"), ack->subject) &&
           read_text(find_field(map, "origin"), ack->origin,
                     sizeof(ack->origin)) &&
           read_u64(find_field(map, "incarnation"), &ack->incarnation) &&
           read_bool(find_field(map, "reached"), &ack->reached);
}

static bool
read_members(const msgpack_object *map, struct rp_peer_members *members)
{
    const msgpack_object *list = find_field(map, "list");
    if (list == NULL || list->type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    members->bytes = (const uint8_t *)list->via.bin.ptr;
    members->byte_count = list->via.bin.size;
    return read_u32(find_field(map, "plain"), MAX_MEMBERS_BYTES,
                    &members->uncompressed_bytes);
}

static bool
read_hlc(const msgpack_object *object, struct rp_hlc *hlc)
{
    if (!read_array(object, 2, 32)) {
        return false;
    }
    const msgpack_object *fields = object->via.array.ptr;
    uint64_t wall_ms;
    if (!read_u64(&fields[0], &wall_ms) || wall_ms > INT64_MAX / 2 ||
        !read_u32(&fields[1], UINT32_MAX / 2, &hlc->count))
    {
        return false;
    }
    hlc->wall_ms = (int64_t)wall_ms;
    return true;
}

static bool
read_sent(const msgpack_object *object, uint64_t *sent_ms)
{
    *sent_ms = 0;
    return object == NULL ||
           (read_u64(object, sent_ms) && *sent_ms <= INT64_MAX / 2);
}

static bool
read_envelope(const msgpack_object *map, struct rp_peer_message *message)
{
    const msgpack_object *from;
    if (map->type != MSGPACK_OBJECT_MAP ||
        !read_u32(find_field(map, "v"), UINT32_MAX, &message->version) ||
        !read_u32(find_field(map, "kind"), UINT32_MAX, &message->kind))
    {
        return false;
    }
    if (!rp_peer_message_known(message)) {
        return true; /* the other fields are not checked */
    }
    from = find_field(map, "from");
    return from != NULL && from->type == MSGPACK_OBJECT_MAP &&
           read_id(find_field(from, "id"), message->from) &&
           read_u64(find_field(from, "incarnation"), &message->incarnation) &&
           read_u64(find_field(map, "seq"), &message->seq) &&
           read_hlc(find_field(map, "hlc"), &message->hlc) &&
           read_sent(find_field(map, "sent"), &message->sent_ms);
}

static bool
read_body(const msgpack_object *map, struct rp_peer_message *message)
{
    switch (message->kind) {
    case RP_PEER_HEARTBEAT:
        return read_heartbeat(map, &message->body.heartbeat);
    case RP_PEER_CONFIG_SYNC_REQUEST:
        return read_config_sync_request(map,
                                        &message->body.config_sync_request);
    case RP_PEER_CONFIG_RECORDS:
        return read_records(map, &message->body.records);
    case RP_PEER_SUSPECT_PROBE:
        return read_probe(map, &message->body.probe);
    case RP_PEER_SUSPECT_ACK:
        return read_ack(map, &message->body.ack);
    case RP_PEER_MEMBERS:
        return read_members(map, &message->body.members);
    default:
        return true;
    }
}

/* Returns whether this release supports the message's version and kind. */
bool
rp_peer_message_known(const struct rp_peer_message *message)
{
    return message->version == RP_PEER_VERSION &&
           message->kind >= RP_PEER_HEARTBEAT &&
           message->kind <= RP_PEER_MEMBERS;
}

/* Appends an encoded list of updates, without an envelope, to out. */
void
rp_peer_updates_encode(const struct rp_member_update *updates, uint32_t count,
                       GByteArray *out)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, count);
    for (uint32_t i = 0; i < count; i++) {
        pack_update(&packer, &updates[i]);
    }
    g_byte_array_append(out, (const guint8 *)buffer.data, (guint)buffer.size);
    msgpack_sbuffer_destroy(&buffer);
}

/* Decodes a list of updates and appends them to an array of struct
 * rp_member_update. Returns false, with the array unchanged, when the list is
 * malformed. */
bool
rp_peer_updates_decode(const uint8_t *bytes, uint32_t byte_count,
                       GArray *updates)
{
    if (byte_count > MAX_MEMBERS_BYTES || !rp_msgpack_check(bytes, byte_count))
    {
        return false;
    }
    guint old_len = updates->len;
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    bool valid =
        msgpack_unpack_next(&unpacked, (const char *)bytes, byte_count,
                            NULL) == MSGPACK_UNPACK_SUCCESS &&
        read_array(&unpacked.data, 0, RP_MEMBER_LIMIT);
    for (uint32_t i = 0; valid && i < unpacked.data.via.array.size; i++) {
        struct rp_member_update update;
        valid = read_update(&unpacked.data.via.array.ptr[i], &update);
        g_array_append_val(updates, update);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (!valid) {
        g_array_set_size(updates, old_len);
    }
    return valid;
}

/* Decodes a message. Unknown fields and array elements are ignored; for an
 * unsupported version or kind, only these two fields are set. Returns false
 * with RP_ERROR_MESSAGE set when the message is malformed or out of bounds;
 * the contents of message are then unspecified. */
bool
rp_peer_message_decode(const void *bytes, size_t byte_count,
                       struct rp_peer_message *message, GError **error)
{
    bool valid = false;
    message->version = 0;
    message->kind = 0;
    if (byte_count <= RP_WIRE_MAX_BYTES && rp_msgpack_check(bytes, byte_count))
    {
        msgpack_unpacked unpacked;
        msgpack_unpacked_init(&unpacked);
        valid = msgpack_unpack_next(&unpacked, bytes, byte_count, NULL) ==
                    MSGPACK_UNPACK_SUCCESS &&
                read_envelope(&unpacked.data, message) &&
                (!rp_peer_message_known(message) ||
                 read_body(&unpacked.data, message));
        msgpack_unpacked_destroy(&unpacked);
    }
    if (!valid) {
        g_set_error(error, RP_ERROR, RP_ERROR_MESSAGE,
                    "%zu bytes from a peer are no message of version %d; "
                    "check what else connects to the peer port and which "
                    "release the peer runs",
                    byte_count, RP_PEER_VERSION);
    }
    return valid;
}
