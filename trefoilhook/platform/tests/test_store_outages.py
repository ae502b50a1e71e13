"""Tests of the log lines of the store's client on outages."""

import unittest

import trio

from trefoilhook.clock import build_boottime_clock
from trefoilhook.exceptions import StoreError
from trefoilhook.http import HttpRequest, HttpResponse, HttpServer
from trefoilhook.logs.tests.lines import capture_lines, count_lines, find_line
from trefoilhook.platform import KeyValueStore

_LISTING = {"items": [], "has_more": False, "as_of": 7}


class _Server:
    """A store that gives a fixed sequence of answers; None stands for no answer."""

    def __init__(self, *answers: HttpResponse | None) -> None:
        self._answers = list(answers)
        self.server = HttpServer(handler=self._answer, host="127.0.0.1", port=0)

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        answer = self._answers.pop(0)
        if answer is None:
            await trio.sleep_forever()
        return answer


def _answer(status: int) -> HttpResponse:
    return HttpResponse.from_json(_LISTING, status=status)


async def _call_all(store: KeyValueStore, count: int) -> None:
    for _ in range(count):
        try:
            await store.list_items("a/")
        except StoreError:
            continue


class StoreOutageTest(unittest.TestCase):
    """Log lines for each kind of failure."""

    def _record_lines(
        self, *answers: HttpResponse | None
    ) -> tuple[list[dict], KeyValueStore]:
        lines: list[dict] = []
        stores: list[KeyValueStore] = []

        async def main() -> None:
            server = _Server(*answers)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.server.run)
                store = KeyValueStore(
                    address=("127.0.0.1", port),
                    timeout_ms=150.0,
                    clock=build_boottime_clock(),
                )
                with capture_lines() as captured:
                    await _call_all(store, len(answers))
                    lines.extend(captured)
                stores.append(store)
                nursery.cancel_scope.cancel()

        trio.run(main)
        return lines, stores[0]

    def test_failures_table(self):
        table = (
            (_answer(503), "turned away"),
            (_answer(429), "rate limited"),
            (_answer(500), "internal error"),
            (_answer(403), "refused"),
            (None, "no answer"),
            (HttpResponse(status=200, body=b"no json"), "unreadable"),
        )
        for answer, why in table:
            with self.subTest(why):
                lines, store = self._record_lines(answer, answer, _answer(200))
                names = count_lines(lines)
                self.assertEqual(names["STORE_DOWN"], 1)
                self.assertEqual(find_line(lines, "STORE_DOWN")["why"], why)
                self.assertEqual(store.failures, 2)

    def test_failures_are_counted_by_reason(self):
        lines, store = self._record_lines(
            _answer(503), None, _answer(429), _answer(200)
        )
        back = find_line(lines, "STORE_BACK")
        expected = {"turned away": 1, "no answer": 1, "rate limited": 1}
        self.assertEqual(back["why"], expected)
        self.assertEqual(back["calls"], {"list": 3})
        self.assertEqual((store.answers, store.failures), (1, 3))

    def test_store_without_listener(self):
        lines: list[dict] = []

        async def main() -> None:
            store = KeyValueStore(
                address=("127.0.0.1", 1), timeout_ms=150.0, clock=build_boottime_clock()
            )
            with capture_lines() as captured:
                await _call_all(store, 5)
                lines.extend(captured)

        trio.run(main)
        self.assertEqual(find_line(lines, "STORE_DOWN")["why"], "not sent")
