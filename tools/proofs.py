"""Mutation tests: disable each safety mechanism and check that its test fails.

Each mutation is applied to a copy of the tree. A test that still passes there does
not cover the mechanism.
"""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs

__all__ = ["Mutation", "main"]

_ROOT = Path(__file__).resolve().parent.parent
_TIMEOUT_S = 90
_PYTEST_TESTS_FAILED = 1


@attrs.frozen
class Mutation:
    """A source text `old`, its replacement `new`, and the test that must then fail."""

    promise: str
    file: str
    old: str
    new: str
    test: str


_HOSTS = "celerypulley/hosts/"

MUTATIONS = (
    Mutation(
        "rate: a new meter waits for its predecessor's loans",
        _HOSTS + "domain_meter.py",
        "clock.now_ms() + (0 if is_first else loan_ms)",
        "clock.now_ms()",
        "tests/test_rates.py",
    ),
    Mutation(
        "rate: a loan is counted from its request",
        _HOSTS + "domain_meter.py",
        "self.borrowed[domain] = requested_ms + self.loan_ms",
        "self.borrowed[domain] = self.clock.now_ms() + self.loan_ms",
        "tests/test_rates.py",
    ),
    Mutation(
        "rate: a share is lent to one meter at a time",
        _HOSTS + "domain_meter.py",
        "        if taken:\n            return False\n",
        "",
        "tests/test_rates.py",
    ),
    Mutation(
        "ownership: a replica refuses an older epoch",
        _HOSTS + "shard_replica.py",
        "        if message.epoch < self.epoch:\n"
        '            return Acknowledged("stale", self.epoch)\n'
        "        if not self.complete",
        "        if not self.complete",
        "tests/test_shard_pair.py",
    ),
    Mutation(
        "history: a repeated record is applied once",
        _HOSTS + "shard_replica.py",
        "        if message.sequence == self.state.sequence:\n"
        '            return Acknowledged("ok", self.epoch)\n',
        "",
        "tests/test_shard_pair.py",
    ),
    Mutation(
        "history: an owner hands over only after it stopped",
        _HOSTS + "shard_owner.py",
        '            self.supersede(f"handed over to {entry.owner}")\n',
        "            self.set_entry(entry)\n",
        "tests/test_shard_pair.py",
    ),
    Mutation(
        "budget: a turn reserves its worst case",
        "celerypulley/programs/shard.py",
        "    if record.reserve_tokens > program.remaining_tokens:\n"
        '        raise InvariantError(f"{record.program} would exceed its budget")\n',
        "",
        "tests/test_shard_pair.py",
    ),
    Mutation(
        "budget: an engine that overruns is cut",
        "celerypulley/programs/chat.py",
        "if self.tokens >= self.max_tokens and _has_content(chunk):",
        "if False:",
        "tests/test_links.py",
    ),
    Mutation(
        "order: a turn follows the one before it",
        _HOSTS + "turn_runner.py",
        "        if turn != program.turn_count + 1:\n            raise",
        "        if False:\n            raise",
        "tests/test_whole_path.py::test_turns_keep_their_order_and_numbers",
    ),
    Mutation(
        "at most once: a known call is not sent again",
        _HOSTS + "call_runner.py",
        "        if known is not None:\n"
        "            return self._replay(known, fingerprint), True\n",
        "",
        "tests/test_at_most_once.py",
    ),
    Mutation(
        "at most once: a reset is not 'not run'",
        _HOSTS + "call_runner.py",
        "                if error.sent:\n",
        "                if False:\n",
        "tests/test_at_most_once.py",
    ),
    Mutation(
        "keys: a withdrawn key ends what runs with it",
        _HOSTS + "host.py",
        "        self.configuration.on_change.append(self.callers.drop_withdrawn)\n",
        "",
        "tests/test_whole_path.py::"
        "test_withdrawn_key_stops_at_every_host_and_ends_streams",
    ),
    Mutation(
        "keys: a peer proves the secret",
        "celerypulley/links/peer_server.py",
        "        verify_proof(expected, hello.proof)\n",
        "",
        "tests/test_links.py",
    ),
    Mutation(
        "organisations: another's program does not exist",
        _HOSTS + "program_rules.py",
        "if program is not None and program.organisation == organisation:",
        "if program is not None:",
        "tests/test_whole_path.py::test_another_organisations_program_does_not_exist",
    ),
    Mutation(
        "configuration: a version is written where none came between",
        "celerypulley/operators/configuration_store.py",
        "        if current != head and not await self._is_in_history(head):\n"
        "            raise ChangeRefusedError(_conflict_message(current))\n",
        "",
        "tests/test_configuration.py",
    ),
    Mutation(
        "configuration: nothing irreversible on a stale one",
        _HOSTS + "entry.py",
        "self.require_fresh_configuration(limits, irreversible=not route.repeatable)",
        "pass",
        "tests/test_configuration.py",
    ),
    Mutation(
        "leaving servers get no new work",
        "celerypulley/backend_servers/routing.py",
        "if engine.state is ServerState.LEAVING or engine.name in avoid:",
        "if engine.name in avoid:",
        "tests/test_decisions.py",
    ),
)


def _is_detected(mutation: Mutation, folder: Path) -> bool:
    """Return whether the test fails or times out without the mechanism."""
    copy = folder / "copy"
    ignore = shutil.ignore_patterns(".git", ".venv", "dist", "out", "build")
    shutil.copytree(_ROOT, copy, ignore=ignore)
    path = copy / mutation.file
    text = path.read_text()
    if mutation.old not in text:
        raise ValueError(f"{mutation.file} has no {mutation.old!r}")
    path.write_text(text.replace(mutation.old, mutation.new, 1))
    command = [sys.executable, "-m", "pytest", "-x", "-q", mutation.test]
    try:
        completed = subprocess.run(
            command, cwd=copy, capture_output=True, timeout=_TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return True
    return completed.returncode == _PYTEST_TESTS_FAILED


def main() -> None:
    """Run all mutations; exit with status 1 if a test passed despite one."""
    undetected = 0
    for mutation in MUTATIONS:
        with tempfile.TemporaryDirectory(prefix="celerypulley-proofs-") as folder:
            detected = _is_detected(mutation, Path(folder))
        undetected += not detected
        print(f"{'noticed' if detected else 'NOT NOTICED'}: {mutation.promise}")
        sys.stdout.flush()
    print(f"{len(MUTATIONS) - undetected} of {len(MUTATIONS)} mutations noticed")
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    main()
