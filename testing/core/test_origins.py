"""What one box remembers of streams, and what all boxes together make of it."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import membership, origins, peers, pool_versions

FIRST, SECOND = origins.Origin("llm", "v1"), origins.Origin("llm", "v2")
NAMES = tuple("abcd")


def stream(number, workspace="clinic"):
    return origins.StreamId(workspace, f"request-{number}")


def told(number, origin=FIRST, workspace="clinic", kept_s=60.0):
    return origins.Told(stream(number, workspace), origin, kept_s)


def test_the_oldest_streams_are_forgotten_first():
    kept = origins.Origins(most=3, most_of_workspace=3)
    for number in range(5):
        kept.note(told(number), 0.0)
    assert [kept.find(stream(number), 1.0) is not None for number in range(5)] == [
        False,
        False,
        True,
        True,
        True,
    ]


def test_a_workspace_with_many_streams_crowds_out_no_other():
    kept = origins.Origins(most=10, most_of_workspace=2)
    kept.note(told(0, workspace="small"), 0.0)
    for number in range(8):
        kept.note(told(number), 0.0)
    assert kept.find(stream(0, "small"), 1.0) is not None
    assert len(kept) == 3


def test_a_stream_that_is_taken_up_is_kept_anew():
    kept = origins.Origins()
    kept.note(told(0), 0.0)
    kept.note(told(0), 50.0)
    assert kept.find(stream(0), 100.0) is not None


def test_a_stream_that_ended_whole_is_kept_for_a_moment():
    kept = origins.Origins()
    kept.note(told(0), 0.0)
    kept.ended_whole(stream(0), 1.0)
    assert kept.find(stream(0), 2.0) is not None
    assert kept.find(stream(0), 1.0 + origins.KEPT_WHOLE_S) is None


def test_the_same_id_in_another_workspace_is_another_stream():
    kept = origins.Origins()
    kept.note(told(0, FIRST, "clinic"), 0.0)
    kept.note(told(0, SECOND, "market"), 0.0)
    found = [kept.find(stream(0, name), 1.0).origin for name in ("clinic", "market")]
    assert found == [FIRST, SECOND]


def test_whoever_is_told_learns_that_an_id_was_used_twice():
    begun, kept = origins.Origins(), origins.Origins()
    for origin in (FIRST, SECOND, FIRST):
        begun.note(told(0, origin), 0.0, is_told=False)
        for each in begun.take_untold(["llm"], 0.0):
            kept.note(each, 0.0)
    assert [each.find(stream(0), 1.0).origin for each in (begun, kept)] == [None, None]
    assert len(list(kept.told(1.0))) == 2


def test_what_is_forgotten_is_not_told():
    kept = origins.Origins(most=1, most_of_workspace=1)
    kept.note(told(0), 0.0, is_told=False)
    kept.note(told(1), 0.0, is_told=False)
    assert [each.stream for each in kept.take_untold(["llm"], 1.0)] == [stream(1)]
    assert kept.take_untold(["llm"], 1.0) == []


def test_an_id_that_is_too_long_is_not_remembered():
    kept = origins.Origins()
    long = origins.StreamId("clinic", "x" * (origins.LONGEST_ID + 1))
    kept.note(origins.Told(long, FIRST, 60.0), 0.0)
    assert kept.find(long, 0.0) is None


def boxes_of(names):
    return tuple(membership.Box(name, "h", "", f"{name}:1") for name in names)


HALLS = ("hall-a", "hall-b", "hall-c")


def in_halls(names):
    """Return boxes of three halls, by the numbers in their names."""
    halls = {name: HALLS[sum(map(ord, name)) % len(HALLS)] for name in names}
    return tuple(membership.Box(name, halls[name], "", f"{name}:1") for name in names)


@given(st.integers(0, 500), st.integers(2, 40), st.integers(0, 3), st.sampled_from(range(3)))
def test_one_that_is_asked_was_told_with_one_box_more_or_less(number, size, changed, change):
    """Whoever asks may know one box more than whoever told, or one less."""
    names = [f"box-{n}" for n in range(size)]
    teller = names[number % size]
    asker = names[(number + 1 + changed) % size]
    keepers = peers.Keepers(teller).of(stream(number), in_halls(names))[: peers.TOLD]
    seen = (names, names[1:], [*names, "new"])[change]
    if asker not in seen:
        return
    asked = {each.name for each in peers.Keepers(asker).of(stream(number), in_halls(seen))}
    holders = {teller, *(each.name for each in keepers)} & set(seen)
    assert not holders or holders & {*asked, asker}


@given(st.integers(0, 500), st.integers(4, 40))
def test_what_is_told_outlasts_the_loss_of_a_hall(number, size):
    boxes = in_halls([f"box-{n}" for n in range(size)])
    keepers = peers.Keepers("box-0").of(stream(number), boxes)[: peers.TOLD]
    others = {each.hall for each in boxes if each.name != "box-0"}
    assert len({each.hall for each in keepers}) == min(len(others), peers.TOLD)


@attrs.define
class World:
    """Boxes that begin streams, tell each other and end, in any order."""

    alive: dict[str, origins.Origins] = attrs.field(
        factory=lambda: {name: origins.Origins() for name in NAMES}
    )
    under_way: list[tuple[str, origins.Told]] = attrs.field(factory=list)
    """Messages to boxes that have not arrived."""
    wrote: dict[origins.StreamId, set[str]] = attrs.field(factory=dict)
    went_on: int = 0

    def begin(self, box, number, version):
        name = stream(number)
        if box not in self.alive or name in self.wrote:
            return
        self.wrote[name] = {version}
        self.tell(box, origins.Told(name, origins.Origin("llm", version), 60.0))

    def tell(self, box, told_stream):
        self.alive[box].note(told_stream, 0.0)
        keepers = peers.Keepers(box).of(told_stream.stream, boxes_of(self.alive))
        self.under_way += [(each.name, told_stream) for each in keepers[: peers.TOLD]]

    def arrive(self, position):
        if not self.under_way:
            return
        box, told_stream = self.under_way.pop(position % len(self.under_way))
        if box in self.alive:
            self.alive[box].note(told_stream, 0.0)

    def lose(self, position):
        if self.under_way:
            self.under_way.pop(position % len(self.under_way))

    def kill(self, box):
        self.alive.pop(box, None)

    def start(self, box):
        self.alive.setdefault(box, origins.Origins())

    def take_up(self, box, number, wanted):
        """Take a stream up; ``wanted`` is the version that the box would choose by itself."""
        name = stream(number)
        if box not in self.alive or name not in self.wrote:
            return
        asked = peers.Keepers(box).of(name, boxes_of(self.alive))
        for each in (box, *(peer.name for peer in asked)):
            record = self.alive[each].find(name, 0.0)
            if record is not None:
                assert record.origin is not None
                self.wrote[name].add(record.origin.version)
                self.went_on += 1
                self.tell(box, origins.Told(name, record.origin, 60.0))
                return
        # Nobody knows: refused, whatever the box would choose.
        del wanted


BOX, NUMBER, VERSION = st.sampled_from(NAMES), st.integers(0, 3), st.sampled_from(["v1", "v2"])
STEP = st.one_of(
    st.tuples(st.just("begin"), BOX, NUMBER, VERSION),
    st.tuples(st.just("arrive"), NUMBER),
    st.tuples(st.just("lose"), NUMBER),
    st.tuples(st.just("kill"), BOX),
    st.tuples(st.just("start"), BOX),
    st.tuples(st.just("take_up"), BOX, NUMBER, VERSION),
)


@given(st.lists(STEP, max_size=60))
def test_no_order_of_beginning_telling_ending_and_taking_up_mixes_versions(steps):
    world = World()
    for name, *given_values in steps:
        getattr(world, name)(*given_values)
    assert all(len(versions) == 1 for versions in world.wrote.values())


@given(NUMBER, VERSION, st.sampled_from(NAMES), st.sampled_from(NAMES))
def test_a_stream_that_was_told_is_taken_up_after_one_box_has_ended(number, version, lost, asker):
    world = World()
    world.begin("a", number, version)
    while world.under_way:
        world.arrive(0)
    world.kill(lost)
    world.start(lost)
    world.take_up(asker, number, "v1")
    assert world.went_on == 1


LISTS = st.lists(st.sets(VERSION, min_size=1), min_size=1, max_size=8)


@given(LISTS, st.floats(0, 300), st.floats(0, 119))
def test_a_pool_is_mixed_while_streams_of_two_versions_may_be_taken_up(lists, pause_s, since_s):
    known = pool_versions.PoolVersions()
    for position, listed in enumerate(lists):
        found = [pool_versions.PoolVersion("llm", version) for version in listed]
        known = known.with_listed(found, position * pause_s)
    now_s = (len(lists) - 1) * pause_s + since_s
    last_listed_s = {
        version: position * pause_s for position, listed in enumerate(lists) for version in listed
    }
    may_come = {
        version
        for version, at_s in last_listed_s.items()
        if now_s - at_s < pool_versions.OUTLIVED_S
    }
    if len(may_come) > 1:
        assert known.mixed(now_s) == ("llm",)
