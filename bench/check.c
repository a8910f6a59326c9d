#include "bench.h"

int
bench_check(const struct bench_cell *cells, uint32_t count,
            const struct bench_options *options)
{
    (void)cells;
    (void)count;
    (void)options;
    return 0;
}
