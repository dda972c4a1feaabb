#!/usr/bin/env bash
set -u
set -- time-limit
. "$(dirname "$0")/../run-case.sh"
