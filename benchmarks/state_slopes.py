"""Costs of state in one process: engines, organisations, programs and history."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import msgpack
import orjson

from benchmarks.fit import Series
from celerypulley.backend_servers.engine_state import EngineReport, EngineState
from celerypulley.backend_servers.routing import EngineCall, choose_engine
from celerypulley.clock import Clock
from celerypulley.contracts.configuration import Configuration
from celerypulley.contracts.declaration import (
    BackendServer,
    Declaration,
    Limits,
    Organisation,
    Policy,
    Route,
    RouteKind,
)
from celerypulley.contracts.keys import StoredKey, generate_key
from celerypulley.contracts.stored_configuration import (
    ConfigurationHead,
    join_chunks,
    split_configuration,
)
from celerypulley.hosts.domain_meter import DomainMeter
from celerypulley.hosts.shard_replica import ShardReplica
from celerypulley.links.codec import encode, from_wire, to_wire
from celerypulley.links.peer_messages import InstallSnapshot, Replicate
from celerypulley.programs.chat import read_chat_request
from celerypulley.programs.identifier import ProgramId, ShardId
from celerypulley.programs.program import compress_messages
from celerypulley.programs.records import ProgramOpened, TurnBegun, TurnCompleted
from celerypulley.programs.shard import ShardState

__all__ = ["measure_state"]

_BYTES_PER_TOKEN = 4
_TURNS_PER_PROGRAM = 280
_US_PER_S = 1e6
_MS_PER_S = 1e3
_BYTES_PER_MB = 1024 * 1024


def cpu_s_per_call(
    operation: Callable[[], object], min_duration_s: float = 0.15
) -> float:
    """Return the CPU time of one call in s, the best of three rounds."""
    best = float("inf")
    for _ in range(3):
        count = 0
        begun = time.process_time()
        while time.process_time() - begun < min_duration_s:
            operation()
            count += 1
        best = min(best, (time.process_time() - begun) / count)
    return best


def memory_mb(build: Callable[[], object]) -> float:
    """Return the memory in MB that the object returned by `build` occupies."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size / _BYTES_PER_MB


def random_text(rng: random.Random, tokens: int) -> str:
    """Return random text of about `tokens` tokens, as varied as prose."""
    vocabulary = [f"{rng.randrange(16**5):05x}" for _ in range(3_000)]
    return " ".join(rng.choice(vocabulary) for _ in range(tokens * 2 // 3))


def _engine_series() -> list[Series]:
    sizes = (10, 60, 200, 600)
    costs = []
    rng = random.Random(1)
    for size in sizes:
        engines = []
        for number in range(size):
            engine = EngineState(f"e{number}", "a", "", frozenset({"m"}))
            report = EngineReport(0.0, rng.randrange(200), rng.randrange(20), 9_000)
            engine.apply_report(report)
            engines.append(engine)
        call = EngineCall("p", "m", 20_000, 128, "a", 1_000.0)

        def choose(call: EngineCall = call, engines: list = engines) -> object:
            return choose_engine(Policy.SHARED_COST, call, engines)

        costs.append(cpu_s_per_call(choose) * _MS_PER_S)
    return [Series("choice of an engine", "engines", "ms", sizes, tuple(costs))]


def _make_declaration(organisations: int) -> tuple[Declaration, tuple[StoredKey, ...]]:
    names = [f"organisation-{number}" for number in range(organisations)]
    declaration = Declaration(
        version=1,
        failure_domains=[f"domain-{number}" for number in range(12)],
        defaults=Limits(),
        routes=[
            Route(name=f"route-{n}", kind=RouteKind.ENGINE, models=[f"m{n}"])
            for n in range(13)
        ],
        backend_servers=[
            BackendServer(
                name=f"engine-{n}",
                route=f"route-{n % 13}",
                domain=f"domain-{n % 12}",
                address="10.0.0.1:80",
            )
            for n in range(600)
        ],
        organisations=[Organisation(name=name) for name in names],
    )
    keys = tuple(generate_key(name, 0).stored for name in names for _ in range(2))
    return declaration, keys


def _organisation_series() -> list[Series]:
    sizes = (8, 80, 800, 2_300)
    apply_ms, size_mb, change_kb, acquire_us, meters_mb = [], [], [], [], []
    for size in sizes:
        declaration, keys = _make_declaration(size)
        digests, chunks = split_configuration(declaration, keys)
        head = ConfigurationHead(1, digests, 0, "")

        def load(head: ConfigurationHead = head, chunks: dict = chunks) -> object:
            return Configuration(1, *join_chunks(head, chunks))

        apply_ms.append(cpu_s_per_call(load) * _MS_PER_S)
        size_mb.append(memory_mb(lambda load=load, c=chunks: (load(), dict(c))))
        changed_digests, changed_chunks = split_configuration(declaration, keys[:-1])
        new_bytes = sum(
            len(changed_chunks[d]) for d in set(changed_digests.values()) - set(chunks)
        )
        change_kb.append((new_bytes + len(head.encode())) / 1024)
        configuration = Configuration(1, declaration, keys)
        acquire_us.append(_acquire_cost_s(configuration, size) * _US_PER_S)
        meters_mb.append(
            memory_mb(lambda f=configuration, s=size: _make_full_meter(f, s))
        )
    return [
        Series(
            "putting a version into force",
            "organisations",
            "ms",
            sizes,
            tuple(apply_ms),
        ),
        Series("configuration in memory", "organisations", "MB", sizes, tuple(size_mb)),
        Series(
            "bytes of one key's change", "organisations", "KB", sizes, tuple(change_kb)
        ),
        Series("one take at a meter", "organisations", "us", sizes, tuple(acquire_us)),
        Series("a meter's buckets", "organisations", "MB", sizes, tuple(meters_mb)),
    ]


def _make_full_meter(configuration: Configuration, size: int) -> DomainMeter:
    meter = DomainMeter("domain-0", 0, Clock(), 2_000.0, is_first=True)
    for number in range(size):
        meter.acquire(f"organisation-{number}", configuration)
    return meter


def _acquire_cost_s(configuration: Configuration, size: int) -> float:
    meter = _make_full_meter(configuration, size)
    return cpu_s_per_call(lambda: meter.acquire("organisation-1", configuration))


def _program_series() -> list[Series]:
    sizes = (500, 1_000, 2_000, 4_000)
    size_mb, copy_ms = [], []
    turn = compress_messages(
        orjson.dumps({"content": random_text(random.Random(2), 300)})
    )
    for size in sizes:
        size_mb.append(memory_mb(lambda s=size: _make_filled_shard(s, turn)))
        shard = _make_filled_shard(size, turn)
        begun = time.process_time()
        _copy_to_replica(shard)
        copy_ms.append((time.process_time() - begun) * _MS_PER_S)
    return [
        Series(
            "programs of 4 turns of 300 tokens held",
            "programs",
            "MB",
            sizes,
            tuple(size_mb),
            f"a turn packs to {len(turn)} bytes",
        ),
        Series("a copy of them, both sides", "programs", "ms", sizes, tuple(copy_ms)),
    ]


def _make_filled_shard(programs: int, turn: bytes) -> ShardState:
    shard = ShardState(ShardId("domain-0", 0))
    for _ in range(programs):
        name = str(ProgramId.new(shard.shard, 1))
        shard.apply(ProgramOpened(name, "organisation-1", 9_999, 0, None))
        for number in range(1, 5):
            shard.apply(TurnBegun(name, number, 100, "host-1+00000000"))
            blob = bytes(bytearray(turn))
            shard.apply(TurnCompleted(name, number, "r" * 16, b"d" * 16, blob, 50, 0))
    return shard


def _copy_to_replica(shard: ShardState) -> ShardReplica:
    replica = ShardReplica(shard.shard, Clock())
    records = [to_wire(record) for record in shard.snapshot_records()]
    for start in range(0, len(records), 64):
        batch = records[start : start + 64]
        is_last = start + 64 >= len(records)
        message = InstallSnapshot("domain-0/0", 1, start == 0, is_last, 0, batch)
        frame = msgpack.unpackb(encode(1, message))
        replica.apply_install(from_wire(frame[1]))
    return replica


def _history_series() -> list[Series]:
    sizes = (1_000, 10_000, 50_000, 200_000)
    body_ms, stored_kb, commit_us = [], [], []
    rng = random.Random(3)
    for size in sizes:
        shard = ShardState(ShardId("domain-0", 0))
        shard.apply(ProgramOpened("p", "organisation-1", 10**9, 0, None))
        per_turn = max(1, size // _TURNS_PER_PROGRAM)
        for number in range(1, _TURNS_PER_PROGRAM + 1):
            messages = orjson.dumps(
                {"role": "user", "content": random_text(rng, per_turn)}
            )
            shard.apply(TurnBegun("p", number, 1, "h"))
            blob = compress_messages(messages)
            shard.apply(TurnCompleted("p", number, "r" * 16, b"d" * 16, blob, 1, 0))
        program = shard.programs["p"]
        request = read_chat_request(
            b'{"model":"m","messages":[{"role":"user","content":"next"}]}'
        )
        body_ms.append(
            cpu_s_per_call(
                lambda p=program, r=request: r.engine_body(
                    p.history_json(), 100, 1, "p"
                )
            )
            * _MS_PER_S
        )
        stored_kb.append(shard.history_bytes / 1024)
        commit_us.append(_commit_cost_s(blob) * _US_PER_S)
    return [
        Series(
            "the body of a turn",
            "history tokens",
            "ms",
            sizes,
            tuple(body_ms),
            "280 turns; unpack and join, no parsing",
        ),
        Series("a history stored", "history tokens", "KB", sizes, tuple(stored_kb)),
        Series(
            "a turn's record, both sides",
            "history tokens",
            "us",
            sizes,
            tuple(commit_us),
        ),
    ]


def _commit_cost_s(blob: bytes) -> float:
    record = TurnCompleted("p", 1, "r" * 16, b"d" * 16, blob, 1, 0)

    def operation() -> object:
        message = Replicate("domain-0/0", 1, 1, to_wire(record))
        frame = msgpack.unpackb(encode(1, message))
        return from_wire(from_wire(frame[1]).record)

    return cpu_s_per_call(operation)


def measure_state() -> list[Series]:
    """Measure all costs of state, which takes about half a minute."""
    return [
        *_engine_series(),
        *_organisation_series(),
        *_program_series(),
        *_history_series(),
    ]
