#include <argp.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/random.h>
#include <sysexits.h>
#include <zmq.h>

#include "cli.h"

#define CURVE_KEY_CHARS 40
#define FLEET_KEY_BYTES 32

static int
print_keys(void)
{
    char public_key[CURVE_KEY_CHARS + 1];
    char secret_key[CURVE_KEY_CHARS + 1];
    uint8_t fleet_key[FLEET_KEY_BYTES];
    if (zmq_curve_keypair(public_key, secret_key) != 0) {
        fputs("rosemarypulley keygen: this build of libzmq has no CURVE; "
              "install one that has\n",
              stderr);
        return EX_UNAVAILABLE;
    }
    if (getrandom(fleet_key, sizeof(fleet_key), 0) != sizeof(fleet_key)) {
        perror("rosemarypulley keygen: no random bytes from the system");
        return EX_OSERR;
    }
    /* Quoted for shells: keys may contain any of ()[]{}<>$&*?!. */
    printf("ROSEMARYPULLEY_PEER_PUBLIC_KEY='%s'\n", public_key);
    printf("ROSEMARYPULLEY_PEER_SECRET_KEY='%s'\n", secret_key);
    fputs("ROSEMARYPULLEY_FLEET_KEY='", stdout);
    for (int i = 0; i < FLEET_KEY_BYTES; i++) {
        printf("%02x", fleet_key[i]);
    }
    puts("'");
    return 0;
}

/* Prints a new CURVE key pair for the peer ports and a random key for
 * tickets as environment variables. All entry VMs of a fleet share them. */
int
cli_keygen_main(int argc, char **argv)
{
    struct argp argp = {
        .doc =
            "Print new keys as environment variables. All entry VMs of a "
            "fleet share one set of keys. Keep the secret key and the fleet "
            "key secret.",
    };
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    return print_keys();
}
