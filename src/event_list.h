/* RP_EVENT(identifier, name). One line each. */
/* clang-format off */
RP_EVENT(STARTED, "started")
RP_EVENT(STOPPING, "stopping")
RP_EVENT(PAUSE_NOTICED, "pause_noticed")
RP_EVENT(INVARIANT_FAILED, "invariant_failed")
