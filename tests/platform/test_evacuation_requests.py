"""The operator's evacuation requests and their HTTP replies."""

from gentianspoke_platform import evacuations
import pytest

from gentianspoke.decisions.control import zone_orders
from gentianspoke.net import http
from gentianspoke.shells.control import documents

START_A = '/v1/evacuations/zone-a/start'
ACCEPTED = documents.Accepted(3)
LEADER = documents.AskLeader('10.0.0.4')
LATER = documents.Unavailable('later')
LOCATION = f'http://10.0.0.4:8080{START_A}'
UNKNOWN = b'x: no such availability zone; use one of a, b, gone'


class FakeEvacuations:
    """Evacuations of which each order has one outcome."""

    def __init__(self, outcome, redirect=None):
        self.outcome = outcome
        self.redirect = redirect
        self.orders = []

    def find_redirect(self):
        """Return the outcome of an instance that does not lead."""
        return self.redirect

    def list_zones(self):
        """Return the evacuated zones."""
        return ['gone']

    async def carry_out(self, order):
        """Record the order and return the outcome."""
        self.orders.append(order)
        return self.outcome


async def send(fake, path, method='POST', zones=('b', 'a')):
    handler = evacuations.EvacuationHandler(fake, 8_080, zones)
    return await handler.handle(http.Request(method, path, b''))


@pytest.mark.parametrize(
    ('outcome', 'redirect', 'expected'),
    [
        (ACCEPTED, None, http.Reply(200, b'{}')),
        (LATER, None, http.Reply(503, b'later', 'text/plain')),
        (LEADER, None, http.Reply(307, location=LOCATION)),
        (ACCEPTED, LEADER, http.Reply(307, location=LOCATION)),
    ],
    ids=['accepted', 'no-majority', 'lost-the-lead', 'does-not-lead'],
)
async def test_each_outcome_has_its_http_reply(outcome, redirect, expected):
    # Guards against a reply that ends the operator's attempts, such as 409,
    # where another attempt would succeed.
    fake = FakeEvacuations(outcome, redirect)
    assert await send(fake, START_A, zones=()) == expected


@pytest.mark.parametrize(
    ('method', 'path', 'zones', 'orders', 'body'),
    [
        ('POST', 'a/start', 'ab', [zone_orders.Start('a')], b'{}'),
        ('POST', 'a/end', 'ab', [zone_orders.End('a')], b'{}'),
        ('POST', 'a%20b/end', '', [zone_orders.End('a b')], b'{}'),
        ('POST', 'gone/end', 'ab', [zone_orders.End('gone')], b'{}'),
        ('POST', 'x/start', 'ab', [], UNKNOWN),
        ('GET', 'a/start', 'ab', [], b''),
        ('POST', '/start', 'ab', [], b''),
        ('POST', 'a', 'ab', [], b''),
    ],
)
async def test_a_request_becomes_an_order_or_is_not_found(
    method, path, zones, orders, body
):
    # Guards against an order by a mistyped request, and against a zone that
    # cannot be restored because the settings no longer list it.
    fake = FakeEvacuations(ACCEPTED)
    path = evacuations.PATH_PREFIX + path
    reply = await send(fake, path, method, tuple(zones))
    assert (fake.orders, reply.body) == (orders, body)
    assert reply.status == (200 if orders else 404)
