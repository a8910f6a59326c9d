/* RP_SETTING(identifier, flag, kind, default, flags, help). The environment
 * variable is ROSEMARYPULLEY_ and the flag in capitals. A default of NULL
 * means none. The order is that of --help and --print-settings. */
/* clang-format off */
RP_SETTING(ID, "id", NAME, NULL, RP_SETTING_REQUIRED, "name of this entry VM, unique in the fleet")
RP_SETTING(DOMAIN, "domain", NAME, NULL, RP_SETTING_REQUIRED, "failure domain of this entry VM")
RP_SETTING(CALLER_ADDRESS, "caller-address", ADDRESS, NULL, RP_SETTING_REQUIRED, "ip:port where callers connect")
RP_SETTING(PEER_ADDRESS, "peer-address", ADDRESS, NULL, RP_SETTING_REQUIRED, "ip:port where other entry VMs connect")
RP_SETTING(ADMIN_ADDRESS, "admin-address", ADDRESS, "127.0.0.1:9901", 0, "ip:port of metrics, status and time line")
RP_SETTING(PEERS, "peers", ADDRESS_LIST, "", 0, "ip:port of the peer ports of some other entry VMs, separated by commas")
RP_SETTING(PLATFORM, "platform", URL, "", 0, "http://ip:port of the platform's configuration service")
RP_SETTING(FLEET_SIZE, "fleet-size", NUMBER(1, 4096), "14", 0, "greatest number of entry VMs; budgets are shared by it")
RP_SETTING(FLEET_KEY, "fleet-key", HEX_KEY, "", RP_SETTING_SECRET, "64 hex digits shared by the fleet, for tickets")
RP_SETTING(PEER_PUBLIC_KEY, "peer-public-key", CURVE_KEY, "", 0, "public key of this entry VM for peers")
RP_SETTING(PEER_SECRET_KEY, "peer-secret-key", CURVE_KEY, "", RP_SETTING_SECRET, "secret key of this entry VM for peers")
RP_SETTING(PEER_ALLOWED_KEYS, "peer-allowed-keys", CURVE_KEY_LIST, "", 0, "public keys of peers that may connect, separated by commas")
RP_SETTING(ADDRESS_TTL_MS, "address-ttl-ms", NUMBER(500, 300000), "5000", 0, "time that callers may keep an address answer, in ms")
RP_SETTING(BOOT_WAIT_MS, "boot-wait-ms", NUMBER(0, 600000), "30000", 0, "time to wait at start for a peer's state, in ms")
RP_SETTING(STOP_TIMEOUT_MS, "stop-timeout-ms", NUMBER(0, 600000), "30000", 0, "time for requests to finish after SIGTERM, in ms")
RP_SETTING(MAX_CALLS, "max-calls", NUMBER(1, 1000000), "8192", 0, "requests in progress at once")
RP_SETTING(MAX_CONNECTIONS, "max-connections", NUMBER(16, 1000000), "20000", 0, "connections of callers at once")
RP_SETTING(LOG_FORMAT, "log-format", CHOICE("text|json"), "text", 0, "text or json")
RP_SETTING(LOG_LEVEL, "log-level", CHOICE("debug|info|message|warning|critical"), "info", 0, "least level that is logged")
