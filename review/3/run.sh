#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case3 ] && [ -x target/proxy ] && [ -x target/registry ] && [ -x target/configstore ] || exit 2
exec review/bin/case3
