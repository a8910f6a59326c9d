/* RP_EVENT(identifier, name). One line each. */
/* clang-format off */
RP_EVENT(STARTED, "started")
RP_EVENT(STOPPING, "stopping")
RP_EVENT(PAUSE_NOTICED, "pause_noticed")
RP_EVENT(INVARIANT_FAILED, "invariant_failed")
RP_EVENT(MEMBER_JOINED, "member_joined")
RP_EVENT(MEMBER_ALIVE, "member_alive")
RP_EVENT(MEMBER_LEAVING, "member_leaving")
RP_EVENT(MEMBER_SUSPECT, "member_suspect")
RP_EVENT(MEMBER_DEAD, "member_dead")
RP_EVENT(MEMBER_REFUTED, "member_refuted")
RP_EVENT(PEER_MALFORMED, "peer_malformed")
