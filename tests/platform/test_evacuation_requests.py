"""The operator's evacuation requests and their HTTP replies."""

from gentianspoke_platform import evacuations
import pytest

from gentianspoke.decisions.control import zone_orders
from gentianspoke.net import http
from gentianspoke.shells.control import documents

PORT = 8_080
START_A = '/v1/evacuations/zone-a/start'
ACCEPTED = documents.Accepted(3)
LEADER = documents.AskLeader('10.0.0.4')
LATER = documents.Unavailable('later')


class FakeEvacuations:
    """Evacuations of which each order has one outcome."""

    def __init__(self, outcome=ACCEPTED, redirect=None, evacuated=()):
        self.outcome = outcome
        self.redirect = redirect
        self.evacuated = list(evacuated)
        self.orders = []

    def find_redirect(self):
        """Return the outcome of an instance that does not lead."""
        return self.redirect

    def list_zones(self):
        """Return the evacuated zones."""
        return self.evacuated

    async def carry_out(self, order):
        """Record the order and return the outcome."""
        self.orders.append(order)
        return self.outcome


async def send(fake, path=START_A, method='POST', zones=('zone-a',)):
    handler = evacuations.EvacuationHandler(fake, PORT, zones)
    return await handler.handle(http.Request(method, path, b''))


@pytest.mark.parametrize(
    ('fields', 'status', 'body', 'location'),
    [
        pytest.param({}, 200, b'{}', '', id='accepted'),
        pytest.param({'outcome': LATER}, 503, b'later', '', id='no-majority'),
        pytest.param(
            {'outcome': LEADER},
            307,
            b'',
            f'http://10.0.0.4:{PORT}{START_A}',
            id='lost-the-lead',
        ),
        pytest.param(
            {'redirect': LEADER},
            307,
            b'',
            f'http://10.0.0.4:{PORT}{START_A}',
            id='does-not-lead',
        ),
    ],
)
async def test_each_outcome_has_its_http_reply(fields, status, body, location):
    # Guards against a reply that ends the operator's attempts, such as 409,
    # where another attempt would succeed.
    reply = await send(FakeEvacuations(**fields))
    assert (reply.status, reply.body, reply.location) == (
        status,
        body,
        location,
    )


@pytest.mark.parametrize(
    ('path', 'zones', 'order'),
    [
        pytest.param(
            START_A, ('zone-a',), zone_orders.Start('zone-a'), id='start'
        ),
        pytest.param(
            '/v1/evacuations/zone-a/end',
            ('zone-a',),
            zone_orders.End('zone-a'),
            id='end',
        ),
        pytest.param(
            '/v1/evacuations/zone%20a/start',
            (),
            zone_orders.Start('zone a'),
            id='encoded-name-and-no-listed-zones',
        ),
        pytest.param(
            '/v1/evacuations/gone/end',
            ('zone-a',),
            zone_orders.End('gone'),
            id='evacuated-zone-that-is-not-listed',
        ),
    ],
)
async def test_a_request_becomes_an_order(path, zones, order):
    # Guards against an order for another zone, and against a zone that cannot
    # return to service because the settings no longer list it.
    fake = FakeEvacuations(evacuated=['gone'])
    reply = await send(fake, path, zones=zones)
    assert (reply.status, fake.orders) == (200, [order])


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        pytest.param(
            'POST',
            '/v1/evacuations/zone-x/start',
            b'zone-x: no such availability zone; use one of zone-a, zone-b',
            id='unknown-zone',
        ),
        pytest.param('GET', START_A, b'', id='other-method'),
        pytest.param('POST', '/v1/evacuations//start', b'', id='no-zone'),
        pytest.param('POST', '/v1/evacuations/zone-a', b'', id='no-change'),
        pytest.param('POST', START_A + '/now', b'', id='longer-path'),
    ],
)
async def test_a_request_that_names_no_known_order_is_not_found(
    method, path, body
):
    # Guards against an evacuation by a mistyped request.
    fake = FakeEvacuations()
    reply = await send(fake, path, method, ('zone-b', 'zone-a'))
    assert (reply.status, reply.body, fake.orders) == (404, body, [])
