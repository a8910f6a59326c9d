#ifndef RP_TIME_TEXT_H
#define RP_TIME_TEXT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

bool rp_time_parse(const char *text, const char *unit, int64_t *time_ms);

#ifdef __cplusplus
}
#endif

#endif
