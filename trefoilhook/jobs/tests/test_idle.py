"""Shard whose owner may not act."""

import unittest

from trefoilhook.jobs.tests.shard import Shard, run_shard

_WAIT_S = 5
_MAX_CHECKS = 200


class IdleTest(unittest.TestCase):
    """Behaviour of a runner while it may not act."""

    def test_pending_work_does_not_busy_loop_while_owner_may_not_act(self):
        # During a store outage the owner may not act while work is pending. Without a
        # pause the runner would busy-loop and occupy a CPU core for the whole outage.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1")
            checks: list[int] = []

            def may_act() -> bool:
                checks.append(len(checks))
                if len(checks) > _MAX_CHECKS:
                    raise AssertionError("the runner checks without a pause")
                return False

            owner.runner._may_act = may_act
            owner.runner.cancel(["j1"])
            await shard.sleep_s(_WAIT_S)
            self.assertGreater(len(checks), 1)

        run_shard(scenario)
