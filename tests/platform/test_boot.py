"""The platform's settings file is translated, or refused with an error."""

import sys

from gentianspoke_platform import boot
from gentianspoke_platform import start
import pytest

from gentianspoke import __main__ as program
from gentianspoke.config import settings
from gentianspoke import errors

FRONT = '''
node = "front-a-1"
class = "front"
serves = ["front", "control"]
ip = "10.1.0.10"
zone = "a"
internal_port_range = [7720, 7735]
seeds = ["10.1.0.10:8166", "10.2.0.40:8166"]
bootstrap = true
data_dir = "/data/x"
unknown = 1
[listen]
data_addr = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
control = "10.1.0.10:8166"
[tolerate]
machines = 1
[bounds]
grace_s = 6
flow_ttl_s = 60
'''
SIDE = '''
node = "side-a-1"
class = "side"
serves = ["side"]
ip = "10.1.0.13"
zone = "a"
internal_port_range = [7720, 7735]
seeds = ["10.1.0.10:8166"]
app = "10.1.0.13:8165"
service = "pricing"
[listen]
data_addr = "10.1.0.13:8172"
outbound = "10.1.0.13:8162"
ready = "10.1.0.13:8167"
control = "10.1.0.13:8166"
[tolerate]
[bounds]
'''


def read(tmp_path, text):
    path = tmp_path / 'boot.toml'
    path.write_text(text)
    return boot.read(str(path))


@pytest.mark.parametrize(
    ('table', 'link_kbps'),
    [('', 0), ('[limits]\nlink_mbps = 2.3\n', 2_300)],
)
def test_an_entry_gets_the_rate_of_its_link(tmp_path, table, link_kbps):
    cfg = boot.build_entry_settings(read(tmp_path, FRONT + table))
    assert cfg.role.link_kbps == link_kbps


# Failure: a deployment whose upstreams may be slow places by open flows, or
# one without this contract places otherwise than before.
@pytest.mark.parametrize(
    ('line', 'placement'),
    [
        ('', settings.Placement.OPEN_FLOWS),
        ('contracts = ["other"]\n', settings.Placement.OPEN_FLOWS),
        ('contracts = ["other", "health"]\n', settings.Placement.CAPACITY),
    ],
)
def test_the_health_contract_places_by_capacity(tmp_path, line, placement):
    cfg = boot.build_agent_settings(read(tmp_path, line + SIDE))
    assert cfg.role.placement is placement


def test_seeds_become_the_initial_members(tmp_path):
    cfg = boot.build_control_settings(read(tmp_path, FRONT))
    # Control instances listen on the first port of the internal port range of
    # their host, not on the port that the seed names.
    assert cfg.feeds == (('10.1.0.10', 7_720), ('10.2.0.40', 7_720))
    assert [name for name, _ in cfg.role.members] == [
        '10.1.0.10:7720',
        '10.2.0.40:7720',
    ]
    assert (cfg.role.member, cfg.role.join) == ('10.1.0.10:7720', False)
    assert cfg.grace_ms == 6_000 - boot.STOP_MARGIN_MS


@pytest.mark.parametrize(
    ('line', 'zones'),
    [('', ()), ('zones = {c = "r", b = "r"}', ('a', 'b', 'c'))],
)
def test_the_zones_include_the_own_one_if_any_is_listed(tmp_path, line, zones):
    # Guards against a zone that the operator cannot evacuate because the
    # settings list only the other zones.
    platform_settings = read(tmp_path, line + FRONT)
    assert boot.list_zones(platform_settings) == zones


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ('bootstrap = true', 'bootstrap = false'),
        ('ip = "10.1.0.10"', 'ip = "10.1.0.99"'),
    ],
)
def test_an_instance_that_is_no_initial_member_joins(tmp_path, old, new):
    cfg = boot.build_control_settings(read(tmp_path, FRONT.replace(old, new)))
    assert cfg.role.join and cfg.role.members == ()


@pytest.mark.parametrize(
    ('contracts', 'is_on'),
    [
        pytest.param('', False, id='none-listed'),
        pytest.param('contracts = ["rolling"]\n', False, id='others-listed'),
        pytest.param('contracts = ["rolling", "health"]\n', True, id='health'),
    ],
)
def test_the_health_contract_switches_on_inquiries_holds_and_retention(
    tmp_path, contracts, is_on
):
    # Deployments without the contract must behave as before.
    entry = boot.build_entry_settings(read(tmp_path, contracts + FRONT))
    agent = boot.build_agent_settings(read(tmp_path, contracts + SIDE))
    control = boot.build_control_settings(read(tmp_path, contracts + FRONT))
    assert entry.role.hold_ms == 400 * is_on
    assert agent.role.inquire_flows == is_on
    assert control.role.retention_ms == 60_000 * is_on


def test_former_pools_are_kept_for_the_greatest_age_of_a_flow(tmp_path):
    # Guards against former pools that control keeps for ever or forgets at
    # once.
    control = boot.build_control_settings(read(tmp_path, FRONT))
    assert control.role.flow_lifetime_ms == 60_000


def test_an_agent_serves_the_pool_of_its_upstream(tmp_path):
    cfg = boot.build_agent_settings(read(tmp_path, SIDE))
    assert (cfg.role.pool, cfg.role.services) == ('pricing', ('pricing',))
    assert cfg.role.upstream == ('10.1.0.13', 8_165)
    assert cfg.role.upstream_side == ('10.1.0.13', 8_162)


@pytest.mark.parametrize(
    ('contracts', 'is_scheduled'),
    [
        pytest.param('', False, id='none'),
        pytest.param('contracts = ["base"]', False, id='others'),
        pytest.param('contracts = ["base", "health"]', True, id='health'),
    ],
)
def test_requests_are_scheduled_where_upstreams_may_be_slow(
    tmp_path, contracts, is_scheduled
):
    cfg = boot.build_agent_settings(read(tmp_path, contracts + SIDE))
    assert cfg.role.schedule_requests is is_scheduled


@pytest.mark.parametrize(
    ('bounds', 'openings_per_s'),
    [
        pytest.param('', 0, id='no-bound'),
        pytest.param('cold_per_s = 9', 0, id='rate-alone-is-no-bound'),
        pytest.param('cold_slack = 5', 5, id='slack-alone'),
        pytest.param('cold_excess = 1.5\ncold_slack = 5', 5, id='no-rate'),
        pytest.param(
            'cold_excess = 1.5\ncold_slack = 5\ncold_per_s = 3',
            9,
            id='rounded-down',
        ),
        pytest.param('cold_slack = 0', 1, id='never-no-limit'),
        pytest.param('cold_slack = inf', 1_000_000, id='infinite'),
    ],
)
def test_the_bounds_limit_the_openings_of_a_cold_upstream(
    tmp_path, bounds, openings_per_s
):
    cfg = boot.build_agent_settings(read(tmp_path, SIDE + bounds))
    assert cfg.role.cold_openings_per_s == openings_per_s


@pytest.mark.parametrize(
    ('text', 'old', 'new', 'key'),
    [
        (FRONT, 'ip = "10.1.0.10"', '', 'ip'),
        (FRONT, '[7720, 7735]', '7720', 'internal_port_range'),
        (FRONT, '"10.2.0.40:8166"', '"nowhere"', 'seeds.1'),
        (FRONT, 'data_addr = "10.1.0.10:8172"', '', 'listen.data_addr'),
        (FRONT, ':8167"', ':0"', 'listen.ready'),
        (FRONT, 'machines = 1', 'machines = "1"', 'tolerate.machines'),
        (SIDE, 'app = "10.1.0.13:8165"', '', 'app'),
        (SIDE, 'outbound = "10.1.0.13:8162"', '', 'listen.outbound'),
    ],
)
def test_an_error_names_the_file_and_the_key(tmp_path, text, old, new, key):
    assert old in text
    with pytest.raises(errors.SettingsError) as caught:
        read(tmp_path, text.replace(old, new, 1))
    # For a missing key the error has the key 'settings'; its text names the
    # missing one.
    assert caught.value.key in (key, 'settings')
    assert key.rpartition('.')[2] in str(caught.value)
    assert caught.value.file.endswith('boot.toml')


def test_a_file_that_is_missing_or_not_toml_is_refused(tmp_path):
    with pytest.raises(errors.SettingsError):
        read(tmp_path, 'node = ')
    with pytest.raises(errors.SettingsError):
        boot.read(str(tmp_path / 'none.toml'))


@pytest.mark.parametrize(('text', 'status'), [(FRONT, 0), ('x = ', 2)])
def test_the_exit_status_of_the_check_command_tells_whether_a_file_is_valid(
    tmp_path, capsys, text, status
):
    path = tmp_path / 'boot.toml'
    path.write_text(text)
    assert start.run(['check', str(path)]) == status
    assert str(path) in ''.join(capsys.readouterr())


def test_unknown_arguments_print_the_usage(capsys):
    assert start.run(['dance']) == start.EXIT_BAD_INPUT
    assert 'usage' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('text', 'reader', 'status', 'expected_text'),
    [
        (FRONT, 'gentianspoke_platform.boot', 0, 'front-a-1'),
        ('x = ', 'gentianspoke_platform.boot', 2, 'is not valid TOML'),
        (FRONT, 'no_such_module', 2, 'PYTHONPATH'),
    ],
)
def test_the_gentianspoke_program_checks_a_platform_file(
    tmp_path, capsys, monkeypatch, text, reader, status, expected_text
):
    path = tmp_path / 'boot.toml'
    path.write_text(text)
    arguments = [
        'gentianspoke',
        'config',
        'check',
        str(path),
        '--reader',
        reader,
    ]
    monkeypatch.setattr(sys, 'argv', arguments)
    try:
        program.main()
        exit_status = 0
    except SystemExit as exc:
        exit_status = exc.code
    assert exit_status == status
    assert expected_text in ''.join(capsys.readouterr())
