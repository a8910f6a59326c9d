#!/bin/sh
# Checks the dependencies between the folders of src/: a folder may include
# headers of the folders that allowed() lists for it. Guards against cyclic
# dependencies other than that of config and peers.
set -eu
cd "$(dirname "$0")/.."
status=0
allowed() { # FOLDER: the folders that it may use
    case $1 in
    base) echo base ;;
    # Peers exchange records and the freshness of the platform's data, and the
    # configuration uses the members: each uses the other's messages.
    config | peers) echo base config peers ;;
    balance) echo base config peers balance ;;
    call) echo base config peers balance call ;;
    node) echo base config peers balance call node ;;
    *) echo "" ;;
    esac
}
for folder in src/*/; do
    name=$(basename "$folder")
    may=" $(allowed "$name") "
    grep -ho '#include "[a-z_0-9]*\.h"' "$folder"*.[ch] | sort -u |
        sed 's/.*"\(.*\)"/\1/' | while read -r header; do
        for found in src/*/"$header"; do
            [ -e "$found" ] || continue
            used=$(basename "$(dirname "$found")")
            case $may in
            *" $used "*) ;;
            *) echo "layers: src/$name uses src/$used/$header" ;;
            esac
        done
    done
done >"${TMPDIR:-/tmp}/layers.$$"
if [ -s "${TMPDIR:-/tmp}/layers.$$" ]; then
    cat "${TMPDIR:-/tmp}/layers.$$"
    status=1
else
    echo "layers: clean"
fi
rm -f "${TMPDIR:-/tmp}/layers.$$"
exit $status
