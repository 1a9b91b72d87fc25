"""Operator commands: functions that return the lines to print."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import attrs
import orjson
from returns.result import Failure

from celerypulley.clock import Clock
from celerypulley.contracts.declaration import Declaration
from celerypulley.contracts.declaration_file import read_declaration, read_lines
from celerypulley.contracts.declaration_review import review_declaration
from celerypulley.contracts.keys import StoredKey, generate_key
from celerypulley.failure_domains.member import MEMBERS_PREFIX, Member
from celerypulley.links.cuts import CutTable
from celerypulley.links.platform_link import PlatformLink, PlatformUnavailableError
from celerypulley.links.server_session import open_server_session
from celerypulley.operators.configuration_store import (
    ChangeRefusedError,
    ConfigurationStore,
    StoredVersion,
)
from celerypulley.operators.declaration_report import DeclarationReport
from celerypulley.operators.differences import differences

__all__ = [
    "CommandFailedError",
    "apply_declaration",
    "check_declaration",
    "explain",
    "give_key",
    "history",
    "list_keys",
    "plan_declaration",
    "rollback",
    "run_with_store",
    "status",
    "withdraw_key",
]

_STATUS_TIMEOUT_S = 2.0


class CommandFailedError(Exception):
    """A command made no change; the message gives the reason."""


def run_with_store(
    store_address: str, command: Callable[[ConfigurationStore], Awaitable[list[str]]]
) -> list[str]:
    """Run a command against the key-value store at `store_address` (ip:port).

    Raise CommandFailedError if a change is refused or the store is unavailable.
    """

    async def run() -> list[str]:
        async with open_server_session() as session:
            link = PlatformLink(f"http://{store_address}", session, CutTable())
            return await command(ConfigurationStore(link, Clock()))

    try:
        return asyncio.run(run())
    except (ChangeRefusedError, PlatformUnavailableError) as error:
        raise CommandFailedError(str(error)) from None


def load_declaration(file: str) -> Declaration:
    """Return the declaration in a file; raise CommandFailedError with all errors."""
    result = read_declaration(Path(file))
    if isinstance(result, Failure):
        raise CommandFailedError("\n".join(str(each) for each in result.failure()))
    return result.unwrap()


def check_declaration(file: str, store_address: str = "") -> DeclarationReport:
    """Check a declaration without writing it.

    It is compared with the version in force of the store at `store_address`, unless
    that is empty. Raise CommandFailedError if that store is unavailable.
    """
    result = read_declaration(Path(file))
    if isinstance(result, Failure):
        return DeclarationReport(file, errors=result.failure())
    declaration = result.unwrap()
    report = DeclarationReport(
        file,
        declaration=declaration,
        findings=tuple(review_declaration(declaration)),
        line_of=read_lines(Path(file)),
    )
    if not store_address:
        return report
    changes = run_with_store(
        store_address, lambda store: plan_declaration(store, declaration)
    )
    return attrs.evolve(report, changes=tuple(changes))


async def plan_declaration(
    store: ConfigurationStore, declaration: Declaration
) -> list[str]:
    """Show the changes that applying a declaration would make."""
    base = await store.newest()
    lines = differences(base.declaration if base else None, declaration)
    version = base.head.version if base else 0
    return [f"compared with version {version}:", *(lines or ["no change"])]


async def apply_declaration(
    store: ConfigurationStore, declaration: Declaration, reason: str
) -> list[str]:
    """Apply a declaration; keys of removed organisations are withdrawn."""
    base = await store.newest()
    if base is not None and not differences(base.declaration, declaration):
        return [f"no change; version {base.head.version} stays"]
    names = {each.name for each in declaration.organisations}
    current_keys = base.keys if base else ()
    keys = tuple(key for key in current_keys if key.organisation in names)
    head = await store.write(base, declaration, keys, reason)
    return [f"version {head.version} applied"]


async def explain(store: ConfigurationStore, subject: str) -> list[str]:
    """Show each value of an organisation or route, what decides it, and why."""
    newest = await _require_newest(store)
    configuration = newest.configuration()
    subjects = configuration.organisations | set(configuration.routes)
    if subject not in subjects:
        raise ChangeRefusedError(
            f"{subject!r} is neither an organisation nor a route; "
            f"known: {', '.join(sorted(subjects))}"
        )
    lines = [f"{subject}, version {newest.head.version}:"]
    for item in configuration.explain(subject):
        lines.append(f"  {item.name} = {item.value} ({item.decided_by}: {item.reason})")
    return lines


async def history(store: ConfigurationStore) -> list[str]:
    """Show every stored version."""
    return [
        f"version {head.version}, made at {head.made_ms} ms: {head.reason}"
        for head in await store.history()
    ]


async def rollback(store: ConfigurationStore, version: int, reason: str) -> list[str]:
    """Apply an older declaration as a new version; keys are not rolled back."""
    base = await _require_newest(store)
    old = await store.version(version)
    names = {each.name for each in old.declaration.organisations}
    keys = tuple(key for key in base.keys if key.organisation in names)
    full_reason = f"rollback to version {version}: {reason}"
    head = await store.write(base, old.declaration, keys, full_reason)
    return [f"version {head.version} applied with the declaration of {version}"]


async def give_key(store: ConfigurationStore, organisation: str) -> list[str]:
    """Give an organisation a new key, which is shown only here."""
    generated = generate_key(organisation, store.clock.wall_ms())

    def add(base: StoredVersion) -> tuple[StoredKey, ...]:
        if organisation not in {each.name for each in base.declaration.organisations}:
            raise CommandFailedError(f"unknown organisation {organisation!r}")
        return (*base.keys, generated.stored)

    head = await store.change_keys(add, f"key given to {organisation}")
    return [f"version {head.version}", f"key {generated.stored.key_id}", generated.text]


async def withdraw_key(store: ConfigurationStore, key_id: str) -> list[str]:
    """Withdraw a key on all hosts."""

    def remove(base: StoredVersion) -> tuple[StoredKey, ...]:
        if key_id not in {key.key_id for key in base.keys}:
            raise CommandFailedError(f"no key {key_id!r} is in force")
        return tuple(key for key in base.keys if key.key_id != key_id)

    head = await store.change_keys(remove, f"key {key_id} withdrawn")
    return [f"version {head.version}: key {key_id} withdrawn"]


async def list_keys(store: ConfigurationStore) -> list[str]:
    """Show the keys in force by organisation and identifier."""
    newest = await _require_newest(store)
    keys = sorted(newest.keys, key=lambda key: (key.organisation, key.given_ms))
    return [
        f"{key.organisation} {key.key_id} given at {key.given_ms} ms" for key in keys
    ]


async def status(store: ConfigurationStore) -> list[str]:
    """Show every registered host with its status."""
    snapshot = await store.platform.read_prefix(MEMBERS_PREFIX)
    members = [Member.decode(item.value or b"{}") for item in snapshot.items]
    newest = await store.newest()
    version = newest.head.version if newest else 0
    lines = [f"configuration version {version}, {len(members)} hosts"]
    for member in sorted(members, key=lambda each: each.name):
        lines.append(await _host_line(store.platform.session, member))
    return lines


async def _host_line(session: aiohttp.ClientSession, member: Member) -> str:
    url = f"http://{member.admin_address}/status"
    timeout = aiohttp.ClientTimeout(total=_STATUS_TIMEOUT_S)
    try:
        async with session.get(url, timeout=timeout) as response:
            report = orjson.loads(await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        return f"{member.name} {member.domain} no response: {error!r}"
    shards = report["shards"]
    engines = ", ".join(
        f"{each['name']}:{each['state']}:{each['running']}+{each['waiting']}"
        for each in report["engines"]
    )
    return (
        f"{member.name} {member.domain} version {report['configuration_version']}"
        f" owned {shards['owned']} ({shards['promised']} promised)"
        f" replicated {shards['replicated']} programs {shards['programs']}"
        f" requests {report['active_requests']} engines {engines}"
        + (" leaving" if member.leaving else "")
    )


async def _require_newest(store: ConfigurationStore) -> StoredVersion:
    newest = await store.newest()
    if newest is None:
        raise ChangeRefusedError("no declaration has been applied yet")
    return newest
