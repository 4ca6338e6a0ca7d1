"""The loopback address that this process and the processes it starts use.

Several checkouts run their tests and demonstrations at the same time and on
the same ports, so each run binds to a loopback address of its own. Outgoing
connections have the source address 127.0.0.1, so their ephemeral ports cannot
conflict with ports on that address.
"""

import os

# The process id, modulo the number of addresses in 127.32.0.0/11, selects the
# address.
ADDRESS_COUNT = 1 << 21
FIRST_ADDRESS = (127 << 24) | (32 << 16)


def _choose_host() -> str:
    address = FIRST_ADDRESS | (os.getpid() % ADDRESS_COUNT)
    return '.'.join(str(part) for part in address.to_bytes(4, 'big'))


HOST = _choose_host()
