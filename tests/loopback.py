"""The loopback address that this test process uses.

Several checkouts run their tests at the same time and on the same ports, so
each test process binds to a loopback address of its own.
"""

import os

# The process id, modulo the number of addresses in 127.32.0.0/11, selects the
# address.
ADDRESS_COUNT = 1 << 21
FIRST_ADDRESS = (127 << 24) | (32 << 16)


def _choose_host():
    address = FIRST_ADDRESS | (os.getpid() % ADDRESS_COUNT)
    return '.'.join(str(part) for part in address.to_bytes(4, 'big'))


HOST = _choose_host()
