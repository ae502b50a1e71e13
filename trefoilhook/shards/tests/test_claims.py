"""Table tests of claims, handovers and the evidence that a claimant needs."""

import unittest

import attrs

from trefoilhook.membership import Member, Members
from trefoilhook.shards.claims import hand_over, plan_claims, plan_handovers
from trefoilhook.shards.core import PreviousOwner, ShardRow, ShardTable
from trefoilhook.shards.rights import Evidence, ServingGrounds, evaluate_evidence

_SHARD = "req-000"
_OUTAGE_LIMIT_MS = 60_000.0


def _build_member(instance_id: str, incarnation: str = "now") -> Member:
    return Member(
        instance_id=instance_id,
        incarnation=incarnation,
        host="127.0.0.1",
        port=1,
        failure_domain="fd-1",
    )


def _build_members(*instance_ids: str) -> Members:
    return Members(by_id={each: _build_member(each) for each in instance_ids})


def _build_row(owner_id: str, incarnation: str = "now") -> ShardRow:
    return ShardRow(owner_id=owner_id, incarnation=incarnation, epoch=7, port=1)


class ClaimTest(unittest.TestCase):
    """What an instance writes to the shard table."""

    def test_claimable_shards(self):
        # name: owner, its incarnation, live members, owner promised to, may_claim,
        # outcome ("claim", "affirm" for a refreshed row, or neither). A case with
        # "restarted" in its name has held no shard in this process.
        alone = ("me",)
        cases = {
            "nobody's": ("", "", alone, "x", True, "claim"),
            "a dead owner's": ("gone", "old", alone, "x", True, "claim"),
            "a live owner's": ("other", "now", ("me", "other"), "x", True, ""),
            "one that joined anew": ("other", "old", ("me", "other"), "x", True, ""),
            "promised not to": ("gone", "old", alone, "gone", True, ""),
            "not settled yet": ("gone", "old", alone, "x", False, ""),
            "own": ("me", "now", alone, "x", True, ""),
            "own of a former lease": ("me", "old", alone, "x", True, "affirm"),
            "own, not settled": ("me", "old", alone, "x", False, "affirm"),
            "own, restarted": ("me", "old", alone, "x", True, "claim"),
            "restarted, not settled": ("me", "old", alone, "x", False, ""),
        }
        for name, case in cases.items():
            owner_id, incarnation, live, promised, may_claim, outcome = case
            with self.subTest(name):
                row = _build_row(owner_id, incarnation) if owner_id else ShardRow()
                plan = plan_claims(
                    table=ShardTable(rows={_SHARD: row}, revision=3),
                    members=_build_members(*live),
                    local_member=_build_member("me"),
                    shard_ids=(_SHARD,),
                    is_promised_to=lambda each, promised=promised: each == promised,
                    held=() if "restarted" in name else (_SHARD,),
                    may_claim=may_claim,
                )
                self.assertEqual(plan.claimed, (_SHARD,) * (outcome == "claim"))
                self.assertEqual(plan.refreshed, (_SHARD,) * (outcome == "affirm"))
                epoch = row.epoch + (outcome == "claim")
                self.assertEqual(plan.table.rows[_SHARD].epoch, epoch)

    def test_only_the_chosen_member_claims(self):
        # All nine members detect that an owner died; exactly one of them must claim
        # its shard.
        names = tuple(f"i-{number}" for number in range(9))
        claimants = [
            name
            for name in names
            if plan_claims(
                table=ShardTable(rows={_SHARD: _build_row("gone")}),
                members=_build_members(*names),
                local_member=_build_member(name),
                shard_ids=(_SHARD,),
                is_promised_to=lambda _: False,
                held=(),
            ).claimed
        ]
        self.assertEqual(len(claimants), 1)

    def test_claim_keeps_unresolved_previous_owners(self):
        # A claimant dies while it waits for proof that the previous owner stopped. The
        # next claimant needs proof for both, or it and the first owner would serve the
        # shard at the same time.
        first = PreviousOwner(instance_id="first", host="127.0.0.1", port=9)
        row = attrs.evolve(_build_row("second"), host="127.0.0.1", unmet=(first,))
        plan = plan_claims(
            table=ShardTable(rows={_SHARD: row}),
            members=_build_members("me"),
            local_member=_build_member("me"),
            shard_ids=(_SHARD,),
            is_promised_to=lambda _: False,
            held=(),
        )
        unmet = [owner.instance_id for owner in plan.table.rows[_SHARD].unmet]
        self.assertEqual(unmet, ["first", "second"])

    def test_only_own_shards_are_handed_over(self):
        # name: owner, its incarnation, whether the shard moves to the only member
        cases = {
            "own": ("me", "now", True),
            "own of a former lease": ("me", "old", False),
            "another's": ("other", "now", False),
        }
        for name, (owner_id, incarnation, is_moved) in cases.items():
            with self.subTest(name):
                row = _build_row(owner_id, incarnation)
                members = _build_members("next")
                table = ShardTable(rows={_SHARD: row})
                moves = plan_handovers(
                    table=table, members=members, local_member=_build_member("me")
                )
                self.assertEqual(_SHARD in moves, is_moved)
        handed = hand_over(_build_row("me"), _build_member("next"), unmet=())
        self.assertEqual((handed.owner_id, handed.epoch), ("next", 8))


class ServingGroundsTest(unittest.TestCase):
    """A claimant waits until the previous owner is proved to have stopped."""

    def test_evidence(self):
        # is_in_view, is_proved_dead, is_attested, waited_ms, expected grounds
        cases = (
            (False, False, False, 0.0, ServingGrounds.WAIT),
            (False, False, False, _OUTAGE_LIMIT_MS - 1, ServingGrounds.WAIT),
            (False, False, False, _OUTAGE_LIMIT_MS, ServingGrounds.OUTAGE_LIMIT),
            (True, False, False, 0.0, ServingGrounds.IN_VIEW),
            (False, True, False, 0.0, ServingGrounds.PROVED_DEAD),
            (False, False, True, 0.0, ServingGrounds.ATTESTED),
        )
        for in_view, dead, attested, waited_ms, verdict in cases:
            with self.subTest(verdict=verdict, waited_ms=waited_ms):
                evidence = Evidence(
                    is_in_view=in_view,
                    is_proved_dead=dead,
                    is_attested=attested,
                    waited_ms=waited_ms,
                )
                found = evaluate_evidence(evidence, outage_limit_ms=_OUTAGE_LIMIT_MS)
                self.assertIs(found, verdict)
