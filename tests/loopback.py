"""The loopback address that this test process uses."""

from demo import loopback

HOST = loopback.HOST
