#include "error.h"

/* Returns the GError domain of all errors of this project; the codes are
 * those of enum rp_error. */
GQuark
rp_error_quark(void)
{
    return g_quark_from_static_string("rosemarypulley-error");
}
