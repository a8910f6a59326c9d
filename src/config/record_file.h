#ifndef RP_RECORD_FILE_H
#define RP_RECORD_FILE_H

#include <glib.h>

#include "record_batch.h"

#ifdef __cplusplus
extern "C" {
#endif

struct rp_record_batch *rp_record_file_read_list(const char *files,
                                                 GError **error);

#ifdef __cplusplus
}
#endif

#endif
