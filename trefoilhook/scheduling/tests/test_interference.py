"""Tests of the update of interference weights."""

import json
import random
import unittest

from trefoilhook.scheduling import Demand, Interference, Step
from trefoilhook.scheduling.colocation import Colocation
from trefoilhook.scheduling.interference import (
    decode_interference,
    encode_interference,
)

_IMAGES = [f"f{number}" for number in range(12)]


class _PlainModel:
    """The same model of one victim, with one loop for each operation."""

    def __init__(self):
        self.means = {}
        self.covariance = {}

    def _add_image(self, image):
        if image in self.means:
            return
        self.means[image] = 4.0
        for row in self.covariance.values():
            row[image] = 0.0
        self.covariance[image] = dict.fromkeys(self.means, 0.0)
        self.covariance[image][image] = 30.0

    def learn_change(self, before, after, change):
        features = {
            image: -(after.get(image, 0.0) - before.get(image, 0.0))
            for image in before.keys() | after.keys()
        }
        for image in features:
            self._add_image(image)
        for image, cells in self.covariance.items():
            cells[image] += 0.004
        variance = sum(self.covariance[i][i] * x * x for i, x in features.items())
        if variance < 0.02 * 0.18:
            return
        cross = {
            image: sum(cells[i] * x for i, x in features.items())
            for image, cells in self.covariance.items()
        }
        scale = 0.18 + sum(cross[i] * x for i, x in features.items())
        predicted = sum(self.means[i] * x for i, x in features.items())
        for image, value in cross.items():
            self.means[image] += value * ((change - predicted) / scale)
            for other, other_value in cross.items():
                self.covariance[image][other] -= value * other_value / scale


def _learn(model, before, after, change):
    model.learn_change(
        "s", before=before, after=after, slack_before=2.0, slack_after=2.0 + change
    )


class UpdateTest(unittest.TestCase):
    """Weights after changes of several images at once."""

    def test_weights_equal_those_of_plain_loops(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                choices = random.Random(seed)
                model, plain = Interference(), _PlainModel()
                for _ in range(200):
                    before, after = (
                        {image: choices.uniform(0.01, 0.2) for image in images}
                        for images in (
                            choices.sample(_IMAGES[:6], 2),
                            choices.sample(_IMAGES[6:], 1),
                        )
                    )
                    slack = 2.0 + choices.uniform(-1.0, 1.0)
                    _learn(model, before, after, slack - 2.0)
                    change = (2.0 + (slack - 2.0)) - 2.0
                    plain.learn_change(before, after, change)
                for image in _IMAGES:
                    weight = max(0.0, plain.means[image])
                    self.assertEqual(model.get_weight("s", image), weight)
                record = json.loads(encode_interference(model))["s"]
                for image, cells in plain.covariance.items():
                    rounded = {other: round(cell, 3) for other, cell in cells.items()}
                    self.assertEqual(record["covariance"][image], rounded)

    def test_images_of_a_record_are_in_any_order(self):
        model = Interference()
        _learn(model, {"a": 0.2}, {"b": 0.3}, -0.5)
        _learn(model, {"b": 0.1}, {"c": 0.2}, 0.5)
        value = json.loads(encode_interference(model))
        rows = value["s"]["covariance"]
        value["s"]["covariance"] = {
            image: dict(reversed(rows[image].items())) for image in reversed(rows)
        }
        read = decode_interference(json.dumps(value).encode())
        self.assertEqual(encode_interference(read), encode_interference(model))

    # Guards against weights of earlier rounds: a filler would join a service that it
    # is now known to disturb.
    def test_change_renews_optimistic_weight(self):
        model = Interference()
        earlier = model.get_optimistic_weight("s", "a")
        for _ in range(5):
            _learn(model, {}, {"a": 0.15}, -1.5)
        self.assertGreater(model.get_optimistic_weight("s", "a"), earlier + 2.0)


class ColocationTest(unittest.TestCase):
    """Room for fillers beside service tasks of several images."""

    def setUp(self):
        self.model = Interference()
        for image, cost in (("a", -0.2), ("b", -1.4)):
            for _ in range(5):
                _learn(self.model, {}, {image: 0.15}, cost)
        self.colocation = Colocation(cores=16_000.0)

    def _add_service(self, base):
        step = Step(count=1, demand=Demand(cpu=100), latency_limit_ms=18.0, image="s")
        self.colocation.add_task(step, base=base)

    def _compute_room(self, image):
        return self.colocation.compute_max_filler_cpu(
            self.model, image, least_slack=1.0
        )

    def test_task_with_least_slack_counts(self):
        self._add_service(1.5)
        room = self._compute_room("b")
        self._add_service(2.5)
        self.assertEqual(self._compute_room("b"), room)
        self._add_service(1.2)
        self.assertLess(self._compute_room("b"), room)
        self._add_service(0.9)
        self.assertEqual(self._compute_room("b"), 0.0)

    # Guards against room that a filler placed in the same round has taken.
    def test_added_filler_takes_room(self):
        self._add_service(2.0)
        room = self._compute_room("b")
        step = Step(count=1, demand=Demand(cpu=1000), filler=True, image="a")
        self.colocation.add_task(step, base=0.0)
        self.assertLess(self._compute_room("b"), room)
