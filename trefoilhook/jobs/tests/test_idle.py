"""A shard whose owner may not act at the moment."""

import unittest

from trefoilhook.jobs.tests.shard import Shard, run_shard

_SLEPT_S = 5
_MOST_LOOKS = 200


class IdleTest(unittest.TestCase):
    """What a runner does while it waits for its right to act."""

    def test_work_that_may_not_be_done_keeps_no_core_busy(self):
        # The store is out, so an owner may not act for a while. Work is waiting, and
        # the instance takes a whole core until the store is back: its callers' requests
        # become slow just when everything else is in trouble.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1")
            looks: list[int] = []

            def may_act() -> bool:
                looks.append(len(looks))
                if len(looks) > _MOST_LOOKS:
                    raise AssertionError("the runner looks without a pause")
                return False

            owner.runner._may_act = may_act
            owner.runner.cancel(["j1"])
            await shard.sleep_s(_SLEPT_S)
            self.assertGreater(len(looks), 1)

        run_shard(scenario)
