"""Tests of the queue that a request's host and path belong to."""

import random
import time
import unittest

import attrs

from trefoilhook.scheduling import Configuration, Queue
from trefoilhook.scheduling.tests.cases import QUEUE

_ROUTES = 4200
"""Number of routes of the largest known configuration."""

_REQUESTS = 1000
_MAX_COST_S = 0.1
"""Maximum processor time of all requests, in s. At 0.3 of a core, a request takes a
third of a millisecond."""


def _build_queue(number: int, host: str, prefix: str) -> Queue:
    return attrs.evolve(QUEUE, name=f"q{number}", host=host, prefix=prefix)


def _find(configuration: Configuration, host: str, path: str) -> Queue | None:
    """Return the first queue with the longest prefix of the path."""
    found = [
        queue
        for queue in configuration.queues
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(found, key=lambda queue: len(queue.prefix), default=None)


class RoutingTest(unittest.TestCase):
    """`Configuration.route`."""

    def test_longest_prefix_is_found(self):
        # Guards against another queue than that of a search through all of them.
        choices = random.Random(7)
        found = 0
        for _ in range(300):
            prefixes = [
                "/" + "".join(choices.choices("ab/", k=choices.randrange(5)))
                for _ in range(6)
            ]
            queues = tuple(
                _build_queue(number, choices.choice("xy"), prefix)
                for number, prefix in enumerate(prefixes)
            )
            configuration = Configuration(version=1, queues=queues)
            for path in [*prefixes, "/", "/a", "/abab/a", "", "b", "*"]:
                expected = _find(configuration, "x", path)
                found += expected is not None
                self.assertIs(configuration.route("x", path), expected)
        self.assertGreater(found, 300)

    def test_cost_of_a_request_does_not_grow_with_the_routes(self):
        # Guards against requests that take milliseconds each on a small instance.
        queues = tuple(
            _build_queue(number, QUEUE.host, f"/r{number}/")
            for number in range(_ROUTES)
        )
        configuration = Configuration(version=1, queues=queues)
        began_s = time.process_time()
        for _ in range(_REQUESTS):
            queue = configuration.route(QUEUE.host, f"/r{_ROUTES - 1}/x")
        self.assertLess(time.process_time() - began_s, _MAX_COST_S)
        self.assertIs(queue, queues[-1])


if __name__ == "__main__":
    unittest.main()
