#!/bin/sh
# The stand-ins are Python with the standard library alone: compiling them is all there is to build.
cd "$(dirname "$0")" && exec python3 -m compileall -q rig.py server.py [0-9]
