/* RP_EVENT(identifier, name). One line each. */
/* clang-format off */
RP_EVENT(STARTED, "started")
RP_EVENT(STOPPING, "stopping")
RP_EVENT(PAUSE_NOTICED, "pause_noticed")
RP_EVENT(INVARIANT_FAILED, "invariant_failed")
RP_EVENT(RECORD_ACCEPTED, "record_accepted")
RP_EVENT(RECORD_REFUSED, "record_refused")
RP_EVENT(RECORD_CONFLICT, "record_conflict")
RP_EVENT(CONFIG_PHASE, "config_phase")
RP_EVENT(CONFIG_WARNING, "config_warning")
RP_EVENT(PLATFORM_LOST, "platform_lost")
RP_EVENT(PLATFORM_BACK, "platform_back")
RP_EVENT(PLATFORM_WATCH, "platform_watch")
