"""What runs under a duty in trials: it notes each act with its token, unless a newer one has acted."""

import fcntl
import os
import signal
import sys
import time

path, stubborn = sys.argv[1], "stubborn" in sys.argv
if stubborn:
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
token = int(os.environ["LATCHSPOKE_TOKEN"])
while True:
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    with open(path, "a+") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        file.seek(0)
        newest = max((int(line.split()[1]) for line in file if " acts" in line), default=0)
        word = "acts" if token >= newest else "refused"
        file.write(f"{now:.4f} {token} {os.getpid()} {word}\n")
    time.sleep(0.02)
