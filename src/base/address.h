#ifndef RP_ADDRESS_H
#define RP_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

bool rp_address_parse(const char *text, struct sockaddr_in *address);

#ifdef __cplusplus
}
#endif

#endif
