"""An address of this machine's loopback network for this test run alone.

Several checkouts run their tests at a time, on the same ports.
"""

import os

# Host numbers of 127.32.0.0/11 are taken from the process number.
HOST_NUMBERS = 1 << 21
FIRST_HOST = (127 << 24) | (32 << 16)


def _own_host():
    number = FIRST_HOST | (os.getpid() % HOST_NUMBERS)
    return '.'.join(str(part) for part in number.to_bytes(4, 'big'))


HOST = _own_host()
