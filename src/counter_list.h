/* RP_COUNTER(identifier, name with unit, kind, help). One line each; the list
 * in docs/interfaces.md is checked against this one by a test. */
RP_COUNTER(MAILBOX_FULL, "kernel_mailbox_full_total", COUNTER,
           "Messages not accepted because a task's mailbox was full")
RP_COUNTER(PAUSES, "kernel_pauses_total", COUNTER,
           "Pauses of the process noticed by the kernel")
RP_COUNTER(PAUSED_MS, "kernel_paused_ms_total", COUNTER,
           "Time the process was paused, in milliseconds")
RP_COUNTER(EVENTS_LOST, "events_overwritten_total", COUNTER,
           "Time line events overwritten before anyone read them")
RP_COUNTER(INVARIANT_FAILED, "invariant_failures_total", COUNTER,
           "Failed invariants of all kinds")
RP_COUNTER(RECORDS_ACCEPTED, "config_records_accepted_total", COUNTER,
           "Record versions put in force")
RP_COUNTER(RECORDS_REFUSED, "config_records_refused_total", COUNTER,
           "Offered values refused as invalid or because a limit is reached")
RP_COUNTER(RECORDS_CONFLICTING, "config_record_conflicts_total", COUNTER,
           "Offered values with the version of the one in force and other "
           "content")
RP_COUNTER(RECORDS_OLDER, "config_records_older_total", COUNTER,
           "Offered values older than the one in force")
RP_COUNTER(CONFIG_REVISION, "config_revision", GAUGE,
           "Greatest platform revision among the records in force")
RP_COUNTER(CONFIG_KEYS, "config_keys", GAUGE,
           "Record keys known, retired ones included")
RP_COUNTER(CONFIG_RETIRED_KEYS, "config_retired_keys", GAUGE,
           "Retired record keys")
RP_COUNTER(CONFIG_BYTES, "config_record_bytes", GAUGE,
           "Bytes of all record values")
RP_COUNTER(CONFIG_PHASE, "config_phase", GAUGE,
           "Start phase: 0 starting, 1 provisional, 2 in force")
RP_COUNTER(CONFIG_WARNINGS, "config_warnings", GAUGE,
           "Records in force that do not fit together")
RP_COUNTER(CONFIG_WANTS, "config_wants_total", COUNTER,
           "Comparisons with peers asked for because digests differed")
RP_COUNTER(CONFIG_SEND_RETRIES, "config_send_retries_total", COUNTER,
           "Snapshots sent again because a task's mailbox was full")
RP_COUNTER(PLATFORM_READS, "platform_reads_total", COUNTER,
           "Reads of the platform started; a waiting watch is one")
RP_COUNTER(PLATFORM_READ_FAILURES, "platform_read_failures_total", COUNTER,
           "Reads of the platform that failed or timed out")
RP_COUNTER(PLATFORM_STALE_ANSWERS, "platform_stale_answers_total", COUNTER,
           "Answers of the platform older than what was known already")
RP_COUNTER(PLATFORM_WATCHER, "platform_watcher", GAUGE,
           "Watches the platform: 0 no, 1 chosen, 2 promoted because the "
           "freshness was stale")
RP_COUNTER(PLATFORM_PROMOTIONS, "platform_promotions_total", COUNTER,
           "Times this VM began to watch because the freshness was stale")
RP_COUNTER(PLATFORM_FRESHNESS_MS, "platform_freshness_age_ms", GAUGE,
           "Age of the platform's state as best known, in milliseconds")
/* clang-format off */
RP_COUNTER(MAILBOX_FULL, "kernel_mailbox_full_total", COUNTER, "Messages not accepted because a task's mailbox was full")
RP_COUNTER(PAUSES, "kernel_pauses_total", COUNTER, "Pauses of the process noticed by the kernel")
RP_COUNTER(PAUSED_MS, "kernel_paused_ms_total", COUNTER, "Time the process was paused, in milliseconds")
RP_COUNTER(EVENTS_LOST, "events_overwritten_total", COUNTER, "Time line events overwritten before anyone read them")
RP_COUNTER(INVARIANT_FAILED, "invariant_failures_total", COUNTER, "Failed invariants of all kinds")
RP_COUNTER(PEER_SENT, "peer_sent_messages_total", COUNTER, "Messages sent to peers")
RP_COUNTER(PEER_SENT_BYTES, "peer_sent_bytes_total", COUNTER, "Bytes of messages sent to peers, without framing")
RP_COUNTER(PEER_SEND_DROPPED, "peer_send_dropped_total", COUNTER, "Messages to peers dropped because the wire task took no more")
RP_COUNTER(PEER_RECEIVED, "peer_received_messages_total", COUNTER, "Messages received from peers")
RP_COUNTER(PEER_RECEIVED_BYTES, "peer_received_bytes_total", COUNTER, "Bytes of messages received from peers, without framing")
RP_COUNTER(PEER_MALFORMED, "peer_malformed_total", COUNTER, "Malformed messages from peers, dropped")
RP_COUNTER(PEER_UNKNOWN, "peer_unknown_total", COUNTER, "Messages from peers of an unknown version or kind, passed over")
RP_COUNTER(PEER_STALE, "peer_stale_total", COUNTER, "Messages from peers that were older than others of the same peer, dropped")
RP_COUNTER(PEER_HELD_BACK, "peer_records_held_back_total", COUNTER, "Batches of records not sent because the byte budget was used up")
RP_COUNTER(REFUTATIONS, "member_refutations_total", COUNTER, "Suspicions of this entry VM that it contradicted")
RP_COUNTER(MEMBERS_ALIVE, "members_alive", GAUGE, "Entry VMs known to be alive, this one included")
RP_COUNTER(MEMBERS_LEAVING, "members_leaving", GAUGE, "Entry VMs known to be leaving")
RP_COUNTER(MEMBERS_SUSPECT, "members_suspect", GAUGE, "Entry VMs that have been silent and may be dead")
RP_COUNTER(MEMBERS_DEAD, "members_dead", GAUGE, "Entry VMs that are remembered as dead")
RP_COUNTER(LOCAL_HEALTH, "member_local_health", GAUGE, "Sign of slowness of this process itself, 0 to 8")
RP_COUNTER(HINTS_POOLED, "target_hints_pooled", GAUGE, "Targets with a recent hint of any entry VM")
