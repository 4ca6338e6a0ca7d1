"""The reply to an operator's request depends on the store's outcome."""

import json

from gentianspoke_platform import control
import pytest

from gentianspoke.decisions.control import catalogue_records
from gentianspoke.net import http
from gentianspoke.shells.control import documents

BODY = json.dumps(
    {
        'version': 3,
        'routes': [],
        'services': [],
        'limits': {'idle_timeout_ms': 1},
    }
).encode()
DOCUMENT = catalogue_records.Document(3, BODY)


class FakeDocuments:
    """A document store whose methods all return one outcome."""

    def __init__(self, outcome):
        """Return ``outcome`` from each method."""
        self.outcome = outcome
        self.put_documents = []

    def find_redirect(self):
        """Return ``None``, as the leader does."""
        return None

    async def put(self, document):
        """Record the document and return the outcome."""
        self.put_documents.append(document)
        return self.outcome

    async def read(self):
        """Return the outcome."""
        return self.outcome


@pytest.mark.parametrize(
    ('call', 'outcome', 'status', 'body', 'location'),
    [
        (control.PUT_CONFIG, documents.Accepted(3), 200, b'{}', ''),
        (
            control.PUT_CONFIG,
            documents.AskLeader('10.0.0.4'),
            307,
            b'',
            'http://10.0.0.4:8080/v1/config/put',
        ),
        (
            control.PUT_CONFIG,
            documents.Unavailable('later'),
            503,
            b'later',
            '',
        ),
        (control.GET_CONFIG, documents.Found(DOCUMENT), 200, BODY, ''),
        (
            control.GET_CONFIG,
            documents.AskLeader('10.0.0.4'),
            307,
            b'',
            'http://10.0.0.4:8080/v1/config/get',
        ),
        (
            control.GET_CONFIG,
            documents.Unavailable('later'),
            503,
            b'later',
            '',
        ),
    ],
)
async def test_each_outcome_of_a_document_request_has_its_http_reply(
    call, outcome, status, body, location
):
    operator_handler = control.OperatorHandler(FakeDocuments(outcome), 8_080)
    reply = await operator_handler.handle(http.Request(*call, BODY))
    assert (reply.status, reply.body, reply.location) == (
        status,
        body,
        location,
    )


async def test_an_invalid_configuration_is_not_stored():
    fake_documents = FakeDocuments(documents.Accepted(3))
    operator_handler = control.OperatorHandler(fake_documents, 8_080)
    reply = await operator_handler.handle(
        http.Request(*control.PUT_CONFIG, b'{')
    )
    assert (reply.status, fake_documents.put_documents) == (400, [])


async def test_an_unknown_request_is_not_found():
    operator_handler = control.OperatorHandler(
        FakeDocuments(documents.Accepted(3)), 8_080
    )
    reply = await operator_handler.handle(http.Request('GET', '/', b''))
    assert reply.status == 404
