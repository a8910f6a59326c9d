/* RP_COUNTER(identifier, name with unit, kind, help). One line each; the list
 * in docs/interfaces.md is checked against this one by a test. */
/* clang-format off */
RP_COUNTER(MAILBOX_FULL, "kernel_mailbox_full_total", COUNTER, "Messages not accepted because a task's mailbox was full")
RP_COUNTER(PAUSES, "kernel_pauses_total", COUNTER, "Pauses of the process noticed by the kernel")
RP_COUNTER(PAUSED_MS, "kernel_paused_ms_total", COUNTER, "Time the process was paused, in milliseconds")
RP_COUNTER(EVENTS_LOST, "events_overwritten_total", COUNTER, "Time line events overwritten before anyone read them")
RP_COUNTER(INVARIANT_FAILED, "invariant_failures_total", COUNTER, "Failed invariants of all kinds")
RP_COUNTER(CALLS, "calls_total", COUNTER, "Calls accepted from callers")
RP_COUNTER(CALLS_OPEN, "calls_open", GAUGE, "Calls in progress")
RP_COUNTER(CALLS_REFUSED, "calls_refused_total", COUNTER, "Calls answered as not run")
RP_COUNTER(CALLS_UNKNOWN, "calls_unknown_total", COUNTER, "Calls answered with an unknown outcome")
RP_COUNTER(CALLS_GONE, "calls_caller_gone_total", COUNTER, "Calls whose caller left before the whole answer")
RP_COUNTER(CALLS_DEADLINE, "calls_deadline_total", COUNTER, "Calls that met their deadline")
RP_COUNTER(ANSWERS_BROKEN, "answers_broken_total", COUNTER, "Answers broken off after their first byte was passed on")
RP_COUNTER(ATTEMPTS, "attempts_total", COUNTER, "Attempts sent to targets")
RP_COUNTER(RETRIES, "attempt_retries_total", COUNTER, "Attempts that repeat a failed one")
RP_COUNTER(HEDGES, "attempt_hedges_total", COUNTER, "Attempts beside a late one")
RP_COUNTER(FRESH_TRIALS, "attempt_fresh_trials_total", COUNTER, "Attempts on a fresh connection beside a silent one")
RP_COUNTER(SILENT_CONNECTIONS, "connections_silent_total", COUNTER, "Connections given up because a fresh one answered")
RP_COUNTER(PROBES, "probes_total", COUNTER,
           "Probes sent to targets to measure them")
RP_COUNTER(PROBES_FAILED, "probes_failed_total", COUNTER,
           "Probes without a whole answer with a status below 500")
