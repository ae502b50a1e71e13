"""``make demo``: what the system does, in a table; exit code 0 if all was right."""

import sys
from typing import Any

import attrs
import trio

from trefoilhook.clock import build_system_clock
from trefoilhook.configuration import digest_token
from trefoilhook.demo.clients import AdminClient
from trefoilhook.demo.cluster import LocalCluster, LocalPlan, LocalPlatform
from trefoilhook.logs import configure_logs
from trefoilhook.requests import format_key, mint_key
from trefoilhook.results import ResultCode
from trefoilhook.standins import check_answer

__all__ = ["main"]

_CALLER = "caller-token"
_OPERATOR = "operator-token"
_TEAM = "carrowmore"
_DEADLINE_S = 120.0
_FOLLOW_STEP_MS = 50.0
_COLUMNS = "{:<34} {:>5} {:<14} {:<9} {:<14} {:>9}  {}"


@attrs.frozen(kw_only=True)
class _Row:
    """One line of the table."""

    request: str
    code: ResultCode
    instance: str
    place: str
    latency_ms: float
    is_right: bool

    def render(self) -> str:
        """Return the line."""
        return _COLUMNS.format(
            self.request,
            self.code.number,
            self.code.name,
            self.instance,
            self.place,
            f"{self.latency_ms:.1f} ms",
            "right" if self.is_right else "WRONG",
        )


async def _configure(cluster: LocalCluster) -> _Row:
    admin = cluster.open_admin(0)
    started_ms = cluster.clock.monotonic_ms()
    subtree = {
        "tokens": {
            "callers": [digest_token(_CALLER)],
            "operators": [digest_token(_OPERATOR)],
        },
        "services": {
            "seat-check": {"is_idempotent": True},
            "seat-sale": {"is_idempotent": False},
        },
    }
    changed = await admin.send("PUT", f"/v1/config/teams/{_TEAM}", subtree)
    revision = changed["revision"]
    waited = await admin.send(
        "GET", f"/v1/config/wait?revision={revision}&timeout_ms=10000"
    )
    await admin.close()
    return _Row(
        request="configuration in force everywhere",
        code=ResultCode.OK,
        instance="all",
        place=f"revision {revision}",
        latency_ms=cluster.clock.monotonic_ms() - started_ms,
        is_right=waited["is_in_force"],
    )


async def _check_seats(cluster: LocalCluster) -> list[_Row]:
    rows = []
    for number in range(len(cluster.instances)):
        entry = cluster.open_entry(number, _CALLER)
        body = f'{{"dome": 1, "night": {number}}}'.encode()
        answer = await entry.send(_TEAM, "seat-check", body)
        rows.append(
            _Row(
                request=f"seat check through instance {number}",
                code=answer.code,
                instance=answer.instance_id,
                place=answer.executor_id,
                latency_ms=answer.latency_ms,
                is_right=answer.code is ResultCode.OK and answer.executor_id != "",
            )
        )
        await entry.close()
    return rows


async def _sell_seat(cluster: LocalCluster) -> list[_Row]:
    """Sell one seat, then ask again under the same key elsewhere: it runs once."""
    key = mint_key()
    text = format_key(key)
    rows = []
    for number, wanted in ((0, ResultCode.OK), (1, ResultCode.REPLAYED)):
        entry = cluster.open_entry(number, _CALLER)
        answer = await entry.send(_TEAM, "seat-sale", b"seat 7", key=text)
        is_whole = check_answer(answer.body, request_id=key.hex(), body=b"seat 7")
        rows.append(
            _Row(
                request=f"seat sale, same key, instance {number}",
                code=answer.code,
                instance=answer.instance_id,
                place=answer.executor_id,
                latency_ms=answer.latency_ms,
                is_right=answer.code is wanted and is_whole,
            )
        )
        await entry.close()
    return rows


async def _run_job(
    cluster: LocalCluster, *, kind: str, name: str, wanted_state: str
) -> _Row:
    admin = cluster.open_admin(1, _OPERATOR)
    started_ms = cluster.clock.monotonic_ms()
    body: dict[str, Any] = {
        "name": name,
        "is_idempotent": True,
        "resources": {"cores": 2.0, "memory_bytes": 1_000_000_000},
        "declared_run_ms": 1_000 if kind == "batch" else 0,
    }
    path = f"/v1/teams/{_TEAM}/{_COLLECTIONS[kind]}"
    submitted = await admin.send("POST", path, body)
    job_id = submitted["job_id"]
    record = await _follow(cluster, admin, f"{path}/{job_id}", wanted_state)
    await admin.close()
    is_ended = record["state"] == "ended"
    number = record["result_number"] if is_ended else ResultCode.ACCEPTED.number
    return _Row(
        request=f"{name}, {record['state']}",
        code=ResultCode.from_number(number),
        instance=cluster.addresses[1].instance_id,
        place=record["worker_id"],
        latency_ms=cluster.clock.monotonic_ms() - started_ms,
        is_right=record["state"] == wanted_state and number < 100,
    )


_COLLECTIONS = {"batch": "jobs", "watcher": "watchers"}


async def _follow(
    cluster: LocalCluster, admin: AdminClient, path: str, wanted_state: str
) -> dict[str, Any]:
    while True:
        record: dict[str, Any] = await admin.send("GET", path)
        if record["state"] in (wanted_state, "ended"):
            return record
        await cluster.clock.sleep_ms(_FOLLOW_STEP_MS)


async def _let_one_leave(cluster: LocalCluster) -> list[_Row]:
    """Shut one instance down gracefully; the others serve on."""
    started_ms = cluster.clock.monotonic_ms()
    leaver = cluster.instances.pop()
    address = cluster.addresses.pop()
    leaver.begin_shutdown()
    await cluster.wait_settled()
    row = _Row(
        request="graceful shutdown, shards moved",
        code=ResultCode.OK,
        instance=address.instance_id,
        place="",
        latency_ms=cluster.clock.monotonic_ms() - started_ms,
        is_right=True,
    )
    return [row, *await _check_seats(cluster)]


def _judge(cluster: LocalCluster) -> _Row:
    """Compare with the stand-ins' own records."""
    records = [standin.records for standin in cluster.platform.executors.values()]
    repeated = [r for each in records for r in each.find_repeated()]
    overloads = sum(each.overloads for each in records)
    refused = sum(w.records.refused_starts for w in cluster.platform.workers.values())
    return _Row(
        request="stand-ins: repeated, overloaded",
        code=ResultCode.OK,
        instance="",
        place=f"{len(repeated)}, {overloads + refused}",
        latency_ms=0.0,
        is_right=not repeated and overloads + refused == 0,
    )


async def _run_demo() -> bool:
    rows: list[_Row] = []
    async with trio.open_nursery() as nursery:
        platform = LocalPlatform(
            clock=build_system_clock(),
            nursery=nursery,
            plan=LocalPlan(
                services={f"{_TEAM}/seat-check": 3, f"{_TEAM}/seat-sale": 3}
            ),
        )
        await platform.start()
        cluster = LocalCluster(platform=platform)
        await cluster.start()
        rows.append(await _configure(cluster))
        rows.extend(await _check_seats(cluster))
        rows.extend(await _sell_seat(cluster))
        rows.append(
            await _run_job(
                cluster, kind="batch", name="night roster", wanted_state="ended"
            )
        )
        rows.append(
            await _run_job(
                cluster, kind="watcher", name="cloud watcher", wanted_state="running"
            )
        )
        rows.extend(await _let_one_leave(cluster))
        rows.append(_judge(cluster))
        nursery.cancel_scope.cancel()
    print(_COLUMNS.format("request", "code", "", "instance", "at", "latency", ""))
    for row in rows:
        print(row.render())
    return all(row.is_right for row in rows)


def main() -> None:
    """Run the demo and exit with 0 if everything was right."""
    configure_logs(level="ERROR", as_json=False)
    is_right = trio.run(_run_within_deadline)
    print("All answers were right." if is_right else "Something was WRONG.")
    sys.exit(0 if is_right else 1)


async def _run_within_deadline() -> bool:
    with trio.fail_after(_DEADLINE_S):
        return await _run_demo()


if __name__ == "__main__":
    main()
