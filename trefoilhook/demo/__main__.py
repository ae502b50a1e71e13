"""``make demo``: runs a scenario and prints its results; exit code 0 on success."""

import sys
from typing import Any

import attrs
import trio

from trefoilhook.clock import build_system_clock
from trefoilhook.configuration import digest_token
from trefoilhook.demo.clients import AdminClient
from trefoilhook.demo.cluster import LocalCluster, LocalPlan, LocalPlatform
from trefoilhook.logs import configure_logs
from trefoilhook.requests import format_key, generate_key
from trefoilhook.results import ResultCode
from trefoilhook.standins import check_answer

__all__ = ["main"]

_CALLER = "caller-token"
_OPERATOR = "operator-token"
_TEAM = "carrowmore"
_DEADLINE_S = 120.0
_POLL_INTERVAL_MS = 50.0
_COLUMNS = "{:<34} {:>5} {:<14} {:<9} {:<14} {:>9}  {}"


@attrs.frozen(kw_only=True)
class _Row:
    """Row of the result table."""

    request: str
    code: ResultCode
    instance: str
    location: str
    latency_ms: float
    is_expected: bool

    def render(self) -> str:
        """Return the row as a line of text."""
        return _COLUMNS.format(
            self.request,
            self.code.number,
            self.code.name,
            self.instance,
            self.location,
            f"{self.latency_ms:.1f} ms",
            "right" if self.is_expected else "WRONG",
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
        location=f"revision {revision}",
        latency_ms=cluster.clock.monotonic_ms() - started_ms,
        is_expected=waited["is_in_force"],
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
                location=answer.executor_id,
                latency_ms=answer.latency_ms,
                is_expected=answer.code is ResultCode.OK and answer.executor_id != "",
            )
        )
        await entry.close()
    return rows


async def _sell_seat(cluster: LocalCluster) -> list[_Row]:
    """Sell a seat, and repeat the request with the same key at another instance.

    The repeated request must not run; it is answered with the first result.
    """
    key = generate_key()
    text = format_key(key)
    rows = []
    for number, expected_code in ((0, ResultCode.OK), (1, ResultCode.REPLAYED)):
        entry = cluster.open_entry(number, _CALLER)
        answer = await entry.send(_TEAM, "seat-sale", b"seat 7", key=text)
        is_valid = check_answer(answer.body, request_id=key.hex(), body=b"seat 7")
        rows.append(
            _Row(
                request=f"seat sale, same key, instance {number}",
                code=answer.code,
                instance=answer.instance_id,
                location=answer.executor_id,
                latency_ms=answer.latency_ms,
                is_expected=answer.code is expected_code and is_valid,
            )
        )
        await entry.close()
    return rows


async def _run_job(
    cluster: LocalCluster, *, kind: str, name: str, expected_state: str
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
    record = await _wait_for_state(cluster, admin, f"{path}/{job_id}", expected_state)
    await admin.close()
    is_ended = record["state"] == "ended"
    number = record["result_number"] if is_ended else ResultCode.ACCEPTED.number
    return _Row(
        request=f"{name}, {record['state']}",
        code=ResultCode.from_number(number),
        instance=cluster.addresses[1].instance_id,
        location=record["worker_id"],
        latency_ms=cluster.clock.monotonic_ms() - started_ms,
        is_expected=record["state"] == expected_state and number < 100,
    )


_COLLECTIONS = {"batch": "jobs", "watcher": "watchers"}


async def _wait_for_state(
    cluster: LocalCluster, admin: AdminClient, path: str, expected_state: str
) -> dict[str, Any]:
    while True:
        record: dict[str, Any] = await admin.send("GET", path)
        if record["state"] in (expected_state, "ended"):
            return record
        await cluster.clock.sleep_ms(_POLL_INTERVAL_MS)


async def _shut_down_one_instance(cluster: LocalCluster) -> list[_Row]:
    """Shut down one instance gracefully and check that the others keep serving."""
    started_ms = cluster.clock.monotonic_ms()
    instance = cluster.instances.pop()
    address = cluster.addresses.pop()
    instance.begin_shutdown()
    await cluster.wait_settled()
    row = _Row(
        request="graceful shutdown, shards moved",
        code=ResultCode.OK,
        instance=address.instance_id,
        location="",
        latency_ms=cluster.clock.monotonic_ms() - started_ms,
        is_expected=True,
    )
    return [row, *await _check_seats(cluster)]


def _verify_records(cluster: LocalCluster) -> _Row:
    """Check the stand-ins' records for repeated requests and overloads."""
    records = [standin.records for standin in cluster.platform.executors.values()]
    repeated = [r for each in records for r in each.find_repeated()]
    overloads = sum(each.overloads for each in records)
    refused = sum(w.records.refused_starts for w in cluster.platform.workers.values())
    return _Row(
        request="stand-ins: repeated, overloaded",
        code=ResultCode.OK,
        instance="",
        location=f"{len(repeated)}, {overloads + refused}",
        latency_ms=0.0,
        is_expected=not repeated and overloads + refused == 0,
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
                cluster, kind="batch", name="night roster", expected_state="ended"
            )
        )
        rows.append(
            await _run_job(
                cluster, kind="watcher", name="cloud watcher", expected_state="running"
            )
        )
        rows.extend(await _shut_down_one_instance(cluster))
        rows.append(_verify_records(cluster))
        nursery.cancel_scope.cancel()
    print(_COLUMNS.format("request", "code", "", "instance", "at", "latency", ""))
    for row in rows:
        print(row.render())
    return all(row.is_expected for row in rows)


def main() -> None:
    """Run the demo and exit with 0 if every result was as expected."""
    configure_logs(level="ERROR", as_json=False)
    is_expected = trio.run(_run_within_deadline)
    print("All answers were right." if is_expected else "Something was WRONG.")
    sys.exit(0 if is_expected else 1)


async def _run_within_deadline() -> bool:
    with trio.fail_after(_DEADLINE_S):
        return await _run_demo()


if __name__ == "__main__":
    main()
