#ifndef STANDIN_OWN_BODY_H
#define STANDIN_OWN_BODY_H

#include <stdbool.h>
#include <stddef.h>

bool standin_own_body_check(const char *body, size_t bytes, const char *id);

#endif
