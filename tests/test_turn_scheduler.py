"""Slots that hosts assign to each other's turns, and what is lost on the way."""

import asyncio
from contextlib import suppress

import pytest

from celerypulley.fleet.fleet_datagrams import NoReplyError
from celerypulley.stand_ins.opaque_server import Mode
from celerypulley.turn_scheduling.slot_request import SlotRequest
from celerypulley.turn_scheduling.turn_dispatcher import SlotOutcome
from tests.fleet import Fleet, running_fleet
from tests.harness import wait_until

SERVICE = "engines"
REQUEST = {
    "number": 1,
    "service": SERVICE,
    "organisation": "kiosks",
    "program": "program",
    "continues_turn": True,
    "priority": 0,
    "prompt_tokens": 100,
    "expected_tokens": 20,
    "parts": [["shared", 50]],
    "remaining_ms": 1_000,
    "target_ms": None,
    "excluded": [],
}


def _payload(**changes: object) -> list:
    return ["instance", True, *({**REQUEST, **changes}).values()]


async def _assign(fleet: Fleet, **changes: object) -> list:
    return await fleet.hosts[0].turn_scheduler._handle_assign(
        "peer", _payload(**changes)
    )


def _occupied(fleet: Fleet) -> int:
    dispatcher = fleet.hosts[0].turn_scheduler._dispatchers[SERVICE]
    return sum(len(each.assignments) for each in dispatcher.slots._engines.values())


async def _occupy_all(fleet: Fleet) -> None:
    for number in range(100, 108):
        assert (await _assign(fleet, number=number))[0] == "assigned"


@pytest.mark.parametrize(
    ("modes", "status", "served_by"),
    [
        ([Mode.STREAM], 200, 1),
        ([Mode.SHED, Mode.STREAM], 200, 2),
        ([Mode.ERROR], 500, 1),
        ([Mode.RESET], 502, 1),
    ],
)
async def test_turn_gives_its_slot_back(modes, status, served_by):
    """Guards against slots that stay occupied after a turn has ended somehow."""
    async with running_fleet(servers=2, schedules_turns=True) as fleet:
        remaining = list(modes)
        for server in fleet.servers:
            server.next_modes = remaining
        response = await fleet.call("/turns/x")
        assert response.status == status
        assert sum(len(server.received) for server in fleet.servers) == served_by
        assert _occupied(fleet) == 0


@pytest.mark.parametrize("is_leaving", [True, False])
async def test_turn_that_waits_runs_only_for_a_caller_that_is_there(is_leaving):
    """Guards against turns that run at an engine after their caller has left."""
    async with running_fleet(schedules_turns=True) as fleet:
        scheduler = fleet.hosts[0].turn_scheduler
        await _occupy_all(fleet)
        fleet.servers[0].next_modes = [Mode.STREAM]
        headers = {"Previous-Turn": "", "Program-Id": "program"}
        call = asyncio.create_task(fleet.call("/turns/x", headers=headers))
        await wait_until(lambda: scheduler.waiting_count() == 1)
        assert not fleet.servers[0].received
        if is_leaving:
            call.cancel()
            await wait_until(lambda: scheduler.waiting_count() == 0)
        scheduler._handle_release("peer", ["instance", 100, "complete"])
        with suppress(asyncio.CancelledError):
            assert (await call).status == 200
        await asyncio.sleep(0.05)
        assert len(fleet.servers[0].received) == (0 if is_leaving else 1)


@pytest.mark.parametrize(
    "changes",
    [
        {"priority": "urgent"},
        {"prompt_tokens": -1},
        {"parts": [["shared", "fifty"]]},
        {"parts": [["shared"]]},
        {"parts": [["shared", 1]] * 100},
        {"program": b"program"},
        {"excluded": [3]},
        {"remaining_ms": None},
        {"service": "x" * 300},
    ],
)
async def test_malformed_request_is_dropped(changes):
    """Guards against a datagram that ends the service or occupies a slot for good."""
    async with running_fleet(schedules_turns=True) as fleet:
        assert (await _assign(fleet, number=1))[0] == "assigned"
        with pytest.raises((TypeError, ValueError)):
            await _assign(fleet, number=2, **changes)
        with pytest.raises((TypeError, ValueError)):
            await fleet.hosts[0].turn_scheduler._handle_assign("peer", ["instance", 1])
        assert _occupied(fleet) == 1


async def test_service_that_nobody_configured_gets_no_slot():
    """Guards against memory that grows with names from other hosts."""
    async with running_fleet(schedules_turns=True) as fleet:
        assert (await _assign(fleet, service="unknown"))[0] == "no engine"
        assert "unknown" not in fleet.hosts[0].turn_scheduler._dispatchers


async def test_release_that_arrives_before_its_request_leaves_no_slot():
    """Guards against a host that wakes from a freeze and assigns slots to nobody."""
    async with running_fleet(schedules_turns=True) as fleet:
        scheduler = fleet.hosts[0].turn_scheduler
        scheduler._handle_release("peer", ["instance", 7, SlotOutcome.UNKNOWN.value])
        assert (await _assign(fleet, number=7))[0] == "no engine"


@pytest.mark.parametrize(
    "reply", [NoReplyError("peer"), TimeoutError(), ["assigned", 5], ["a"] * 9, []]
)
async def test_host_without_a_valid_answer_chooses_an_engine_itself(reply):
    """Guards against turns that depend on one host."""
    async with running_fleet(hosts=2, schedules_turns=True) as fleet:
        host = next(
            each
            for each in fleet.hosts
            if each.turn_scheduler._assigning_host("a") != each.settings.host_id
        )

        async def request(_host: str, _kind: str, _payload: list) -> list:
            if isinstance(reply, Exception):
                raise reply
            return reply

        host.datagrams.request = request
        fleet.servers[0].next_modes = [Mode.STREAM]
        response = await fleet.call("/turns/x", host=fleet.hosts.index(host))
        assert response.status == 200
        assert host.turn_scheduler.unanswered == 1


async def test_first_turn_is_refused_at_once_where_it_does_not_fit():
    """Guards against first turns that wait although they will be refused."""
    async with running_fleet(schedules_turns=True) as fleet:
        await _occupy_all(fleet)
        answers = [
            await asyncio.wait_for(
                _assign(
                    fleet,
                    number=number,
                    program=f"new-{number}",
                    continues_turn=False,
                    target_ms=100,
                ),
                5.0,
            )
            for number in range(2)
        ]
        assert [answer[0] for answer in answers] == ["refused"] * 2
        assert all(answer[3] > 0 for answer in answers)


async def test_turn_of_an_evacuated_domain_gets_no_slot():
    """Guards against slots that are assigned by a host that knows no evacuation yet."""
    async with running_fleet(schedules_turns=True, evacuates_domains=True) as fleet:
        fleet.store.put("op/evacuate/a", b"{}")
        evacuations = fleet.hosts[0].desired_state.evacuations
        await wait_until(lambda: evacuations.domains == {"a"})
        assert (await fleet.call("/turns/x")).status == 503
        assert not fleet.servers[0].received


def test_request_survives_the_way_between_hosts():
    """Guards against fields that are read in another order than they are sent."""
    request = SlotRequest(**REQUEST)
    assert SlotRequest.unpack(request.pack()) == request
