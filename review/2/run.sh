#!/usr/bin/env bash
# TROUBLE=0 runs the case without its disruption.
TROUBLE=${TROUBLE:-1} exec "$(dirname "$0")/../run-case.sh" 2
