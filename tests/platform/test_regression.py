"""A regression run says which days are worse than accepted."""

import json
import stat
import sys

from gentianspoke_bench import __main__ as regression
from gentianspoke_bench import plan
from gentianspoke_bench import results
import pytest

PLAN = """
runs:
  - {name: small, site: a.toml, options: [--quick]}
  - {name: one-day, site: b.toml, day: trouble-1}
"""
# A stand-in for the bench, which writes the days of a file to the journal.
BENCH = """#!{python}
import json, pathlib, sys
site = next(word for word in sys.argv if word.endswith('.toml'))
days = json.loads(pathlib.Path({days!r}).read_text())[pathlib.Path(site).name]
if days is not None:
    entry = {{'v': 1, 'id': 'e1', 'argv': sys.argv[1:], 'days': days}}
    name = pathlib.Path('journal', pathlib.Path(site).stem + '.json')
    name.write_text(json.dumps(entry))
sys.exit(3)
"""


def make_day(name='quiet-1', worth=0.9, **changes):
    """Return a day as the bench writes it."""
    day = {'name': name, 'G': worth, 'gate': True, 'rules': {}, 'fault': None}
    return {**day, **changes}


@pytest.fixture
def run(tmp_path, monkeypatch, capsys):
    """Return a function that runs the command on days of the stand-in."""
    monkeypatch.chdir(tmp_path)
    (tmp_path / 'journal').mkdir()
    (tmp_path / 'plan.yaml').write_text(PLAN)
    days_path, program = tmp_path / 'days.json', tmp_path / 'bench'
    program.write_text(
        BENCH.format(python=sys.executable, days=str(days_path))
    )
    program.chmod(program.stat().st_mode | stat.S_IXUSR)

    def run_command(days, *options):
        days_path.write_text(json.dumps(days))
        for path in (tmp_path / 'journal').iterdir():
            path.unlink()
        arguments = ['--bench', str(program), '--sites', 'sites']
        arguments += ['--plan', 'plan.yaml', '--accepted', 'accepted.yaml']
        status = regression.main([*arguments, *options])
        return status, capsys.readouterr()

    return run_command


GOOD_DAYS = {'a.toml': [make_day()], 'b.toml': [make_day('trouble-1', 0.6)]}


@pytest.mark.parametrize(
    ('day', 'worse'),
    [
        pytest.param(make_day(), '', id='as-accepted'),
        pytest.param(make_day(worth=0.88), '', id='within-noise'),
        pytest.param(make_day(worth=0.86), 'worth -0.040', id='worth-less'),
        pytest.param(make_day(worth=0.99), '', id='worth-more'),
        pytest.param(make_day(gate=False), 'gate missed', id='gate'),
        pytest.param(
            make_day(rules={'FLOW': 1}), 'broken: FLOW', id='broken-rule'
        ),
        pytest.param(
            make_day(fault='too slow'), 'fault: too slow', id='fault'
        ),
        pytest.param(make_day('new', 0.1), '', id='day-never-accepted'),
    ],
)
def test_a_day_is_compared_with_its_accepted_result(run, day, worse):
    assert run(GOOD_DAYS, '--accept')[0] == 0
    status, output = run({**GOOD_DAYS, 'a.toml': [day]})
    assert status == bool(worse)
    line = next(
        line
        for line in output.out.splitlines()
        if line.startswith('small ') and day['name'] in line
    )
    assert line.endswith(worse or '-')


def test_a_run_without_results_is_a_regression(run):
    status, output = run({**GOOD_DAYS, 'b.toml': None})
    assert status == regression.EXIT_REGRESSION
    assert 'no results (exit status 3)' in output.out


def test_only_the_named_run_is_played_and_accepted(run, tmp_path):
    status, output = run(GOOD_DAYS, '--only', 'one-day', '--accept')
    assert status == 0 and 'small' not in output.out
    accepted = plan.read_accepted(tmp_path / 'accepted.yaml')
    assert accepted == {('one-day', 'trouble-1'): 0.6}


@pytest.mark.parametrize(
    ('text', 'word'),
    [
        pytest.param('runs: [', 'YAML', id='not-yaml'),
        pytest.param('runs: []', 'length', id='no-runs'),
        pytest.param('runs: [{name: a}]', 'site', id='no-site'),
    ],
)
def test_a_plan_that_is_not_valid_is_refused_in_one_line(
    run, tmp_path, text, word
):
    (tmp_path / 'plan.yaml').write_text(text)
    status, output = run(GOOD_DAYS)
    assert status == regression.EXIT_BAD_INPUT
    assert word in output.err and output.err.count('\n') == 1


def test_a_rule_counts_before_the_worth():
    day = results.DayResult('r', 'd', 0.1, True, ('FLOW',), '', 'e', 0.9)
    assert results.find_regression(day) == 'broken: FLOW'
