"""Runs a stand-in as a separate process: ``python -m trefoilhook.standins KIND``.

The first line on standard output contains the ports as JSON.
"""

import json
from typing import Any, Protocol

import cattrs
import trio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from trefoilhook.clock import Clock, build_system_clock
from trefoilhook.exchange import build_converter
from trefoilhook.standins.core import FaultyServer
from trefoilhook.standins.executor import ExecutorSettings, ExecutorStandin
from trefoilhook.standins.instances import InstanceLists, InstanceListStandin
from trefoilhook.standins.store import StoreStandin
from trefoilhook.standins.store_state import StoreSettings
from trefoilhook.standins.worker import WorkerStandin
from trefoilhook.standins.worker_state import WorkerSettings

__all__ = ["main"]

_EXIT_USAGE = 2


class _Standin(Protocol):
    server: FaultyServer

    async def run(self, *, task_status: trio.TaskStatus[int]) -> None: ...


class _ServeCommand(Command):
    options = [
        option("host", None, "Address to listen on.", flag=False, default="127.0.0.1"),
        option("port", None, "Port for calls.", flag=False, default="0"),
        option("control-port", None, "Port for orders.", flag=False, default="0"),
        option("settings", None, "Settings as JSON.", flag=False, default="{}"),
    ]

    def build(self, clock: Clock, settings: Any, address: Any) -> _Standin:
        """Build the stand-in."""
        raise NotImplementedError

    def handle(self) -> int:
        """Run the stand-in until the process is terminated."""
        try:
            address = {
                "host": self.option("host"),
                "port": int(self.option("port")),
                "control_port": int(self.option("control-port")),
            }
            settings = json.loads(self.option("settings"))
            standin = self.build(build_system_clock(), settings, address)
        except (ValueError, cattrs.BaseValidationError) as error:
            self.line_error(f"wrong option: {error!r}")
            return _EXIT_USAGE
        trio.run(_serve, standin)
        return 0


class _StoreCommand(_ServeCommand):
    name = "store"
    description = "Runs a configuration store."

    def build(self, clock: Clock, settings: Any, address: Any) -> _Standin:
        read = _structure(settings, StoreSettings)
        return StoreStandin(clock=clock, settings=read, **address)


class _InstancesCommand(_ServeCommand):
    name = "instances"
    description = "Runs an instance list; its settings may hold lag_ms besides."

    def build(self, clock: Clock, settings: Any, address: Any) -> _Standin:
        lag_ms = float(settings.pop("lag_ms", 0.0))
        lists = _structure(settings, InstanceLists)
        return InstanceListStandin(clock=clock, lag_ms=lag_ms, lists=lists, **address)


class _WorkerCommand(_ServeCommand):
    name = "worker"
    description = "Runs a worker."

    def build(self, clock: Clock, settings: Any, address: Any) -> _Standin:
        read = _structure(settings, WorkerSettings)
        return WorkerStandin(clock=clock, settings=read, **address)


class _ExecutorCommand(_ServeCommand):
    name = "executor"
    description = "Runs an executor."

    def build(self, clock: Clock, settings: Any, address: Any) -> _Standin:
        read = _structure(settings, ExecutorSettings)
        return ExecutorStandin(clock=clock, settings=read, **address)


async def _serve(standin: _Standin) -> None:
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.run)
        ports = {"port": port, "control_port": standin.server.control_port}
        print(json.dumps(ports), flush=True)


def _structure(settings: Any, kind: Any) -> Any:
    return build_converter().structure(settings, kind)


def main() -> int:
    """Run the command line."""
    application = Application("trefoilhook-standins")
    for command in (
        _StoreCommand(),
        _InstancesCommand(),
        _WorkerCommand(),
        _ExecutorCommand(),
    ):
        application.add(command)
    return application.run()


if __name__ == "__main__":
    raise SystemExit(main())
