"""Write the settings files for the processes of the demonstration."""

import secrets
import typing

import yaml

from demo import plan as plans

KEY_BYTES = 32


def write_settings(plan: plans.Plan) -> dict[str, str]:
    """Write the key file and all settings files into the folder of the plan.

    Return the role of each instance: ``control``, ``entry`` or ``agent``.
    """
    plan.folder.mkdir(parents=True, exist_ok=True)
    key = {'id': 1, 'hex': secrets.token_hex(KEY_BYTES)}
    plan.key_path.touch(mode=0o600)
    plan.key_path.write_text(yaml.safe_dump({'active': 1, 'keys': [key]}))
    roles: dict[str, str] = {}
    for index, listen in enumerate(plan.control):
        content = _build_common_settings(plan, f'control-{index}', index)
        content['control'] = _build_control_settings(plan, index, listen)
        roles.update(_write_settings_file(plan, 'control', content))
    for index, (listen, page_address) in enumerate(plan.entries.items()):
        content = _build_common_settings(plan, f'entry-{index}', index)
        content['entry'] = {'listen': plans.format_address(listen)}
        content['metrics'] = plans.format_address(page_address)
        roles.update(_write_settings_file(plan, 'entry', content))
    for index, agent in enumerate(plan.agents):
        content = _build_common_settings(plan, agent.instance, index)
        content['agent'] = _build_agent_settings(plan, agent)
        content['metrics'] = plans.format_address(agent.metrics)
        roles.update(_write_settings_file(plan, 'agent', content))
    return roles


def _build_common_settings(
    plan: plans.Plan, instance: str, index: int
) -> dict[str, typing.Any]:
    return {
        'instance': instance,
        'zone': plans.ZONES[index % len(plans.ZONES)],
        'key_file': str(plan.key_path),
        'log_file': str(plan.folder / f'{instance}.jsonl'),
        'grace': '5s',
    }


def _build_control_settings(
    plan: plans.Plan, index: int, listen: plans.Address
) -> dict[str, typing.Any]:
    control_settings: dict[str, typing.Any] = {
        'listen': plans.format_address(listen),
        'data_folder': str(plan.folder / f'control-{index}'),
    }
    if len(plan.control) > 1:
        control_settings['members'] = [
            {
                'instance': f'control-{member_index}',
                'address': plans.format_address(address),
            }
            for member_index, address in enumerate(plan.advertised_control)
        ]
    return control_settings


def _build_agent_settings(
    plan: plans.Plan, agent: plans.AgentPlan
) -> dict[str, typing.Any]:
    return {
        'listen': plans.format_address(agent.listen),
        'upstream_side': plans.format_address(agent.upstream_side),
        'upstream': plans.format_address(agent.upstream),
        'status': plans.format_address(agent.status),
        'fabric': plans.format_address(plan.fabric),
        'services': list(agent.services),
        'slots': agent.slots,
        'connections': agent.connections,
        'ramp': '1s',
    }


def _write_settings_file(
    plan: plans.Plan, role: str, content: dict[str, typing.Any]
) -> dict[str, str]:
    """Write the settings file of one instance and return its role by its name.

    Entries and agents also get the addresses of their feeds.
    """
    if role != 'control':
        content['feeds'] = [
            plans.format_address(address)
            for address in plan.advertised_control
        ]
    instance = content['instance']
    path = plan.folder / f'{instance}.yaml'
    path.write_text(yaml.safe_dump(content))
    return {instance: role}
