#include <stdio.h>
#include <string.h>

/* Prints the version. */
int
main(int argc, char **argv)
{
    if (argc == 2 && strcmp(argv[1], "version") == 0) {
        puts("rosemarypulley " RP_VERSION);
        return 0;
    }
    fputs("usage: rosemarypulley version\n", stderr);
    return 64;
}
