"""Which catalogue versions are so old that no flow is open from before them.

Guards against an expiry that removes a pool while flows are open there.
"""

import pytest

from gentianspoke.decisions.control import flow_expiry

LIFETIME_MS = 1_000


@pytest.mark.parametrize(
    ('seen', 'now', 'expired_version'),
    [
        pytest.param([], 9_000, 0, id='no-version'),
        pytest.param([(3, 500)], 2_499, 0, id='too-young'),
        pytest.param([(3, 500)], 2_500, 3, id='old-enough'),
        pytest.param([(3, 0), (4, 600)], 2_599, 3, id='only-the-older-one'),
        pytest.param([(3, 0), (4, 600)], 2_600, 4, id='both'),
        pytest.param([(3, 0), (3, 1_900)], 2_000, 3, id='seen-again'),
    ],
)
def test_a_version_expires_two_lifetimes_after_it_was_first_seen(
    seen, now, expired_version
):
    expiry = flow_expiry.FlowExpiry(LIFETIME_MS)
    for version, seen_ms in seen:
        expiry.note_version(version, seen_ms)
    assert expiry.find_expired_version(now) == expired_version


def test_an_expired_version_stays_expired_while_a_newer_one_is_young():
    expiry = flow_expiry.FlowExpiry(LIFETIME_MS)
    expiry.note_version(3, 0)
    assert expiry.find_expired_version(2_000) == 3
    expiry.note_version(4, 2_000)
    assert expiry.find_expired_version(3_999) == 3
    assert expiry.find_expired_version(4_000) == 4
