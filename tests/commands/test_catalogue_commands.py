"""Test the catalogue commands against control instances on loopback."""

import asyncio
import contextlib
import json

import cappa
import control_fakes
import pytest
import yaml

from gentianspoke.commands import root
from gentianspoke.decisions.control import catalogue
from gentianspoke import errors
from gentianspoke.shells import catalogue_client
from gentianspoke.shells.control import relay

PORTS = (31_030, 31_031)
CONTROL = ','.join(f'{control_fakes.HOST}:{port}' for port in PORTS)
ENTRY = {
    'name': 'booking',
    'owner': 'yard',
    'address': '10.1.0.1',
    'ports': [8002],
    'class': 'booking',
}


class LossyLog(control_fakes.FakeLog):
    """A log whose first answers are lost; a follower rejects all requests.

    A test sets ``answers_lost``, the number of lost answers, and
    ``is_leader``. ``submitted`` counts the requests that reached the leader.
    """

    def __init__(self, shared):
        super().__init__(shared)
        self.answers_lost = 0
        self.submitted = 0

    async def submit(self, request):
        """Apply the request; raise an error if its answer is lost.

        A follower applies nothing and raises an error.
        """
        if not self.is_leader:
            raise errors.NotLeaderError(self.leader)
        answer = await super().submit(request)
        self.submitted += 1
        if self.submitted <= self.answers_lost:
            raise errors.ControlError('the outcome is not known')
        return answer


@pytest.fixture(autouse=True)
def shorten_timeouts(monkeypatch):
    """Shorten the timeouts and intervals so that the tests end sooner."""
    monkeypatch.setattr(catalogue_client, 'APPLY_TIMEOUT_S', 1.0)
    monkeypatch.setattr(catalogue_client, 'RETRY_INTERVAL_S', 0.02)
    monkeypatch.setattr(catalogue_client, 'STATUS_POLL_INTERVAL_S', 0.02)
    monkeypatch.setattr(relay, 'POLL_INTERVAL_S', 0.02)


class Deployment:
    """Two control instances and the files of an operator."""

    def __init__(self, folder, controls):
        self.folder = folder
        self.logs = [control.log for control in controls]
        self.controls = controls
        keys = {'active': 1, 'keys': [{'id': 1, 'hex': (b'k' * 32).hex()}]}
        self.keys = self.write_yaml('keys.yaml', keys)
        self.keys.chmod(0o600)

    def write_yaml(self, name, content):
        """Write a YAML file into the folder and return its path."""
        path = self.folder / name
        path.write_text(yaml.safe_dump(content))
        return path

    def write_entries(self, *changes):
        """Write a catalogue file and return its path.

        The file has one entry for each item of ``changes``: ``ENTRY`` with
        the fields of the item in place of its own.
        """
        return self.write_yaml(
            'catalogue.yaml',
            {'services': [ENTRY | change for change in changes]},
        )

    async def run(self, *arguments):
        """Run a ``catalogue`` subcommand as the program does, in a thread."""
        subcommand, *rest = map(str, arguments)
        argv = ['catalogue', subcommand, '--control', CONTROL]
        argv += ['--key-file', str(self.keys), *rest]
        await asyncio.to_thread(
            cappa.invoke, root.Gentianspoke, argv=argv, color=False
        )


@pytest.fixture
async def deployment(tmp_path):
    shared = catalogue.Catalogue()
    async with contextlib.AsyncExitStack() as stack:
        controls = []
        for position, port in enumerate(PORTS):
            log = LossyLog(shared)
            log.is_leader = position == 1
            log.leader = f'{control_fakes.HOST}:{PORTS[1]}'
            running = control_fakes.run_control(f'c-{position}', port, log)
            controls.append(await stack.enter_async_context(running))
        yield Deployment(tmp_path, controls)


async def test_an_accepted_edit_is_listed_in_the_history(deployment, capsys):
    await deployment.run('apply', deployment.write_entries({}))
    await deployment.run('apply', deployment.write_entries({'owner': 'port'}))
    await deployment.run('apply', deployment.write_entries({'owner': 'port'}))
    out = capsys.readouterr().out
    assert out.splitlines() == [
        'accepted as version 1',
        'accepted as version 2',
        'nothing to change at version 2',
    ]
    await deployment.run('history', 'booking', '--json')
    lines = map(json.loads, capsys.readouterr().out.splitlines())
    assert [line['entry']['owner'] for line in lines] == ['yard', 'port']


@pytest.mark.parametrize(
    ('arguments', 'expected'),
    [
        (('list',), 'booking  1        booking  yard   10.1.0.1  tcp 8002'),
        (('history', 'booking'), '1        '),
        (('status',), f'{control_fakes.HOST}:31031  leader'),
        (('get', 'booking'), 'base_version: 1'),
        (('list', '--json'), '"name":"booking"'),
        (('status', '--json'), '"role":"leader"'),
        (('get', 'booking', '--json'), '"base_version":1'),
    ],
)
async def test_read_commands_print_a_table_or_json(
    deployment, capsys, arguments, expected
):
    await deployment.run('apply', deployment.write_entries({}))
    capsys.readouterr()
    await deployment.run(*arguments)
    assert expected in capsys.readouterr().out


async def test_the_output_of_get_can_be_applied(deployment, capsys):
    await deployment.run(
        'apply', deployment.write_entries({'limits': {'wait': '300ms'}})
    )
    capsys.readouterr()
    await deployment.run('get', 'booking')
    path = deployment.folder / 'edited.yaml'
    text = capsys.readouterr().out
    path.write_text(text.replace('owner: yard', 'owner: port'))
    await deployment.run('diff', path)
    assert 'booking  owner  yard  port' in capsys.readouterr().out
    await deployment.run('apply', path)
    assert deployment.logs[0].catalogue.entries['booking'].owner == 'port'
    with pytest.raises(errors.EditRefusedError, match='read it again'):
        await deployment.run('apply', path)


@pytest.mark.parametrize('answers_lost', [1, 2])
async def test_an_edit_whose_answer_is_lost_is_applied_once(
    deployment, capsys, answers_lost
):
    deployment.logs[1].answers_lost = answers_lost
    await deployment.run('apply', deployment.write_entries({}))
    expected = 'accepted as version 1 (answer to an earlier request)\n'
    assert capsys.readouterr().out == expected
    assert deployment.logs[1].submitted == answers_lost + 1
    assert deployment.logs[1].catalogue.version == 1


async def test_a_retried_edit_is_answered_by_the_next_leader(deployment):
    deployment.logs[1].answers_lost = 1_000
    task = asyncio.create_task(
        deployment.run('apply', deployment.write_entries({}))
    )
    await control_fakes.wait_until(lambda: deployment.logs[1].submitted)
    deployment.logs[1].is_leader = False
    deployment.logs[0].is_leader = True
    for log in deployment.logs:
        log.leader = f'{control_fakes.HOST}:{PORTS[0]}'
    await task
    assert deployment.logs[0].catalogue.version == 1


async def test_an_unknown_outcome_names_the_idempotency_key(
    deployment, capsys
):
    deployment.logs[1].answers_lost = 1_000
    with pytest.raises(errors.OutcomeUnknownError) as caught:
        await deployment.run('apply', deployment.write_entries({}))
    deployment.logs[1].answers_lost = 0
    key = caught.value.key
    await deployment.run(
        'apply', deployment.write_entries({}), '--key', key, '--json'
    )
    answer = json.loads(capsys.readouterr().out)
    assert answer['repeated_answer'] and answer['version'] == 1


async def test_a_conflict_shows_the_current_entry(deployment, capsys):
    await deployment.run('apply', deployment.write_entries({}))
    await deployment.run(
        'apply', deployment.write_entries({'owner': 'faster'})
    )
    with pytest.raises(errors.EditRefusedError, match='at 2'):
        await deployment.run(
            'apply', deployment.write_entries({'base_version': 1})
        )
    assert 'owner: faster' in capsys.readouterr().err


async def test_a_retired_entry_is_listed_only_on_request(deployment, capsys):
    await deployment.run('apply', deployment.write_entries({}))
    await deployment.run('retire', 'booking')
    capsys.readouterr()
    await deployment.run('list')
    assert 'booking' not in capsys.readouterr().out
    await deployment.run('list', '--retired')
    assert 'booking (retired)' in capsys.readouterr().out


@pytest.mark.parametrize(
    ('changes', 'location'),
    [
        ({'class': 'bulk'}, 'services.1.class'),
        ({'address': 'here'}, 'services.1.address'),
        ({'ports': [0]}, 'services.1.ports'),
        ({'wieght': 2}, 'services.1.wieght'),
        ({'limits': {'wait': '3 s'}}, 'services.1.limits.wait'),
        ({'protocol': 'udp'}, 'services.1.idempotent'),
        ({'name': 'booking'}, 'services.1.name'),
    ],
)
async def test_an_invalid_file_is_not_applied_at_all(
    deployment, changes, location
):
    path = deployment.write_entries(
        {}, {'name': 'second', 'ports': [1]} | changes
    )
    with pytest.raises(errors.CatalogueFileError) as caught:
        await deployment.run('apply', path)
    text = str(caught.value)
    assert text.startswith(f'{path}: {location}') and '\n' not in text
    assert deployment.logs[1].catalogue.version == 0


@pytest.mark.parametrize(
    'arguments',
    [
        ('apply', 'none.yaml'),
        ('apply', 'none.yaml', '--timeout', '20'),
        ('list', '--control', 'nowhere'),
    ],
)
async def test_an_invalid_argument_raises_settings_error(
    deployment, arguments
):
    with pytest.raises(errors.SettingsError):
        await deployment.run(*arguments)


@pytest.mark.parametrize(
    ('commands', 'version', 'zones'),
    [
        (['evacuate b'], 1, ['b']),
        (['evacuate b', 'evacuate a'], 2, ['a', 'b']),
        (['evacuate b', 'evacuate b'], 1, ['b']),
        (['evacuate b', 'restore b'], 2, []),
        (['restore b'], 0, []),
    ],
)
async def test_zones_are_evacuated_and_restored_by_commands(
    deployment, capsys, commands, version, zones
):
    # Guards against a command that ends with an error where the zone is in the
    # requested state already, and a status that hides an evacuated zone.
    for command in commands:
        await deployment.run(*command.split())
    last_line = capsys.readouterr().out.splitlines()[-1]
    assert last_line == f'accepted as version {version}'
    await deployment.run('status')
    lines = capsys.readouterr().out.splitlines()
    expected = ['evacuated: ' + ' '.join(zones)] if zones else []
    assert [text for text in lines if 'evacuated' in text] == expected
    await deployment.run('status', '--json')
    for text in capsys.readouterr().out.splitlines():
        assert json.loads(text)['evacuated_zones'] == zones


@pytest.mark.parametrize('is_lagging', [False, True])
async def test_wait_ends_once_in_force_or_names_the_lagging_consumers(
    deployment, capsys, is_lagging
):
    leader = deployment.controls[1]
    await control_fakes.wait_until(leader.leadership.issues_views)
    consumers = leader.hub.consumers
    number = consumers.connect('entry-7', 0, 0)
    if not is_lagging:
        consumers.record_version(number, 1)
    command = (
        'apply',
        deployment.write_entries({}),
        '--wait',
        '--timeout',
        '500ms',
    )
    if is_lagging:
        with pytest.raises(errors.NotInForceError, match='entry-7'):
            await deployment.run(*command)
    else:
        await deployment.run(*command)
        assert 'in force on 1 consumers' in capsys.readouterr().out


async def test_an_operator_with_another_key_is_refused(deployment):
    keys = {'active': 1, 'keys': [{'id': 1, 'hex': 'ab' * 32}]}
    deployment.keys.write_text(yaml.safe_dump(keys))
    with pytest.raises(errors.ControlError, match='key files'):
        await deployment.run('list')
