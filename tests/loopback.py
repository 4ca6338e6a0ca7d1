"""The loopback address that this test process uses.

Several checkouts run their tests at the same time and on the same ports, so
each test process binds to a loopback address of its own.
"""

import os

# The process id, modulo the size of 127.32.0.0/11, selects the address.
HOST_COUNT = 1 << 21
FIRST_HOST = (127 << 24) | (32 << 16)


def _host_of_process():
    number = FIRST_HOST | (os.getpid() % HOST_COUNT)
    return '.'.join(str(part) for part in number.to_bytes(4, 'big'))


HOST = _host_of_process()
