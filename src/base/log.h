#ifndef RP_LOG_H
#define RP_LOG_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

void rp_log_open(const char *format, const char *level, const char *id);
char *rp_log_format_line(const char *format, const char *level, const char *id,
                         const char *time, const char *message);

#ifdef __cplusplus
}
#endif

#endif
