#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
python3 -I -S "$(dirname "$0")/case.py"
case $? in 0) exit 0 ;; 3) exit 1 ;; *) exit 2 ;; esac
