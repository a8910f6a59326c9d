/* RP_COUNTER(identifier, name with unit, kind, help). One line each; the list
 * in docs/interfaces.md is checked against this one by a test. */
/* clang-format off */
RP_COUNTER(MAILBOX_FULL, "kernel_mailbox_full_total", COUNTER, "Messages not accepted because a task's mailbox was full")
RP_COUNTER(PAUSES, "kernel_pauses_total", COUNTER, "Pauses of the process noticed by the kernel")
RP_COUNTER(PAUSED_MS, "kernel_paused_ms_total", COUNTER, "Time the process was paused, in milliseconds")
RP_COUNTER(EVENTS_LOST, "events_overwritten_total", COUNTER, "Time line events overwritten before anyone read them")
RP_COUNTER(INVARIANT_FAILED, "invariant_failures_total", COUNTER, "Failed invariants of all kinds")
