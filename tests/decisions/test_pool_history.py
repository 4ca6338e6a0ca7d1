"""Former pools of entries whose endpoints belonged to other entries before.

Guards against an entry that gets the packets of open flows with an endpoint,
but does not list the pools in which these flows are open. The flows would be
lost, or reset where agents inquire about flows.
"""

import dataclasses

import pytest
import test_documents

from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control import former_pools

entry = test_documents.make_entry
LIVE, OTHER = 443, 8_443


def apply_all(versions):
    return test_documents.apply_requests(
        *(
            test_documents.make_request(number, *entries)
            for number, entries in enumerate(versions, 1)
        )
    )


def list_former(state, name):
    return [former.name for former in state.entries[name].former]


@pytest.mark.parametrize(
    ('versions', 'name', 'expected'),
    [
        pytest.param(
            [
                [entry('a', 'p', LIVE), entry('b', 'q', OTHER)],
                [entry('a', 'p', OTHER), entry('b', 'q', LIVE)],
            ],
            'b',
            ['p'],
            id='exchanged-endpoints',
        ),
        pytest.param(
            [
                [entry('a', 'p', LIVE), entry('b', 'q', OTHER)],
                [entry('a', 'p', OTHER), entry('b', 'q', LIVE)],
                [entry('a', 'p', LIVE), entry('b', 'q', OTHER)],
            ],
            'a',
            ['q'],
            id='exchanged-there-and-back',
        ),
        pytest.param(
            [
                [entry('a', 'p', LIVE)],
                [entry('a', 'r', LIVE)],
                [entry('b', 'q', LIVE)],
            ],
            'b',
            ['r', 'p'],
            id='renamed-after-another-pool',
        ),
        pytest.param(
            [[entry('a', 'p', LIVE)], [], [entry('b', 'q', LIVE)]],
            'b',
            ['p'],
            id='renamed-after-a-gap',
        ),
        pytest.param(
            [
                [entry('a', 'p', LIVE)],
                [entry('a', 'p', OTHER)],
                [entry('a', 'q', LIVE)],
            ],
            'a',
            ['p'],
            id='moved-there-and-back',
        ),
        pytest.param(
            [
                [entry('a', 'p', LIVE)],
                [entry('b', 'q', LIVE)],
                [entry('b', 'q', LIVE), entry('c', 'r', OTHER)],
            ],
            'c',
            [],
            id='endpoint-of-nobody',
        ),
    ],
)
def test_an_entry_lists_the_pools_of_all_flows_with_its_endpoints(
    versions, name, expected
):
    assert list_former(apply_all(versions), name) == expected


def test_a_retired_entry_keeps_the_version_since_which_it_got_no_flows():
    # Guards against pools of retired entries that come back after they have
    # expired, each time that a new entry takes the endpoint.
    state = apply_all(
        [[entry('a', 'p', LIVE)], [], [], [entry('b', 'q', LIVE)]]
    )
    (former,) = state.entries['b'].former
    assert former.since_version == 2


def test_an_entry_without_shares_before_lists_the_pool_of_its_own():
    state = catalogue.Catalogue()
    own_service = test_documents.builders.service()
    edit = catalogue_records.Edit('a', 0, catalogue_records.Put(own_service))
    state.apply(catalogue_records.Request('key', '', (edit,)))
    number = state.entries['a'].number
    state.apply(test_documents.make_request(1, entry('a', 'p')))
    assert services.get_all_pools(state.entries['a'])[1:] == (number,)


@pytest.mark.parametrize('order', [('a', 'b'), ('b', 'a')])
def test_the_order_of_former_pools_does_not_depend_on_that_of_entries(order):
    # Replicas have the entries in different orders, for example after a start.
    pools = {'a': 8, 'b': 9}
    retired_entries = [
        dataclasses.replace(
            entry(name, retired=True),
            version=3,
            shares=(services.Share(pools[name], 1, name),),
        )
        for name in order
    ]
    new_entry = entry('c', 'q')
    holders = former_pools.index_holders(retired_entries, [new_entry])
    listed = former_pools.list_former_pools(None, holders, new_entry, 4)
    assert [former.name for former in listed] == ['a', 'b']
