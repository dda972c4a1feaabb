#!/usr/bin/env bash
set -u
set -- crashing-part
. "$(dirname "$0")/../run-case.sh"
