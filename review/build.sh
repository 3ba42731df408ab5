#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs Go and no network.
cd "$(dirname "$0")/standin" || exit 2
exec go build -o bin/standin .
