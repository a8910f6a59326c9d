#ifndef RP_ERROR_H
#define RP_ERROR_H

#include <glib.h>

#define RP_ERROR (rp_error_quark())

/* Kinds of failure. The message of each error says what to do about it. */
enum rp_error {
    RP_ERROR_SETTING,  /* a flag or environment variable */
    RP_ERROR_RECORD,   /* a published record */
    RP_ERROR_REQUEST,  /* a caller's request */
    RP_ERROR_TICKET,   /* a ticket of a request */
    RP_ERROR_MESSAGE,  /* a message from a peer */
    RP_ERROR_TARGET,   /* an answer or load report of a target */
    RP_ERROR_PLATFORM, /* an answer of the platform */
    RP_ERROR_FULL,     /* a bounded queue or table */
    RP_ERROR_NOT_FOUND,
    RP_ERROR_SYSTEM, /* a call of the operating system or a library */
};

#ifdef __cplusplus
extern "C" {
#endif

GQuark rp_error_quark(void);

#ifdef __cplusplus
}
#endif

#endif
