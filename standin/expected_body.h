#ifndef STANDIN_EXPECTED_BODY_H
#define STANDIN_EXPECTED_BODY_H

#include <stdbool.h>
#include <stddef.h>

bool standin_body_matches(const char *body, size_t bytes, const char *id);

#endif
