"""Stream origins: what one box remembers, and how a fleet of boxes resumes streams by them."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import membership, origins, peers, pool_versions

FIRST, SECOND = origins.Origin("llm", "v1"), origins.Origin("llm", "v2")
NAMES = tuple("abcd")


def stream(number, workspace="clinic"):
    return origins.StreamId(workspace, f"request-{number}")


def announcement(number, origin=FIRST, workspace="clinic", kept_s=60.0):
    return origins.OriginAnnouncement(stream(number, workspace), origin, kept_s)


def test_the_oldest_streams_are_forgotten_first():
    table = origins.OriginTable(max_streams=3, max_streams_per_workspace=3)
    for number in range(5):
        table.remember(announcement(number), 0.0)
    assert [table.find(stream(number), 1.0) is not None for number in range(5)] == [
        False,
        False,
        True,
        True,
        True,
    ]


def test_a_workspace_at_its_limit_displaces_only_its_own_streams():
    table = origins.OriginTable(max_streams=10, max_streams_per_workspace=2)
    table.remember(announcement(0, workspace="small"), 0.0)
    for number in range(8):
        table.remember(announcement(number), 0.0)
    assert table.find(stream(0, "small"), 1.0) is not None
    assert len(table) == 3


def test_a_resumed_stream_is_remembered_for_longer():
    table = origins.OriginTable()
    table.remember(announcement(0), 0.0)
    table.remember(announcement(0), 50.0)
    assert table.find(stream(0), 100.0) is not None


def test_a_completed_stream_is_remembered_only_briefly():
    table = origins.OriginTable()
    table.remember(announcement(0), 0.0)
    table.mark_completed(stream(0), 1.0)
    assert table.find(stream(0), 2.0) is not None
    assert table.find(stream(0), 1.0 + origins.COMPLETED_RETENTION_S) is None


def test_the_same_id_in_another_workspace_is_another_stream():
    table = origins.OriginTable()
    table.remember(announcement(0, FIRST, "clinic"), 0.0)
    table.remember(announcement(0, SECOND, "market"), 0.0)
    found = [table.find(stream(0, name), 1.0).origin for name in ("clinic", "market")]
    assert found == [FIRST, SECOND]


def test_announcements_show_the_recipient_that_an_id_was_used_twice():
    origin_box, table = origins.OriginTable(), origins.OriginTable()
    for origin in (FIRST, SECOND, FIRST):
        origin_box.remember(announcement(0, origin), 0.0, is_announced=False)
        for each in origin_box.take_unannounced(["llm"], 0.0):
            table.remember(each, 0.0)
    assert [each.find(stream(0), 1.0).origin for each in (origin_box, table)] == [None, None]
    assert len(list(table.announced(1.0))) == 2


def test_forgotten_streams_are_not_announced():
    table = origins.OriginTable(max_streams=1, max_streams_per_workspace=1)
    table.remember(announcement(0), 0.0, is_announced=False)
    table.remember(announcement(1), 0.0, is_announced=False)
    assert [each.stream for each in table.take_unannounced(["llm"], 1.0)] == [stream(1)]
    assert table.take_unannounced(["llm"], 1.0) == []


def test_a_stream_with_too_long_an_id_is_not_remembered():
    table = origins.OriginTable()
    stream_id = origins.StreamId("clinic", "x" * (origins.MAX_REQUEST_ID_LENGTH + 1))
    table.remember(origins.OriginAnnouncement(stream_id, FIRST, 60.0), 0.0)
    assert table.find(stream_id, 0.0) is None


def boxes_of(names):
    return tuple(membership.Box(name, "h", "", f"{name}:1") for name in names)


HALLS = ("hall-a", "hall-b", "hall-c")


def boxes_in_halls(names):
    """Return boxes spread over three halls by their names."""
    halls = {name: HALLS[sum(map(ord, name)) % len(HALLS)] for name in names}
    return tuple(membership.Box(name, halls[name], "", f"{name}:1") for name in names)


@given(st.integers(0, 500), st.integers(2, 40), st.integers(0, 3), st.sampled_from(range(3)))
def test_an_asked_box_knows_the_origin_if_views_differ_by_one_box(number, size, changed, change):
    """The asking box may know one box more than the announcing one, or one less."""
    names = [f"box-{n}" for n in range(size)]
    announcer = names[number % size]
    asker = names[(number + 1 + changed) % size]
    keepers = peers.OriginHolders(announcer).for_stream(stream(number), boxes_in_halls(names))[
        : peers.ORIGIN_COPIES
    ]
    known_to_asker = (names, names[1:], [*names, "new"])[change]
    if asker not in known_to_asker:
        return
    asked = {
        each.name
        for each in peers.OriginHolders(asker).for_stream(
            stream(number), boxes_in_halls(known_to_asker)
        )
    }
    holders = {announcer, *(each.name for each in keepers)} & set(known_to_asker)
    assert not holders or holders & {*asked, asker}


@given(st.integers(0, 500), st.integers(4, 40))
def test_announcements_survive_the_loss_of_a_hall(number, size):
    boxes = boxes_in_halls([f"box-{n}" for n in range(size)])
    keepers = peers.OriginHolders("box-0").for_stream(stream(number), boxes)[: peers.ORIGIN_COPIES]
    others = {each.hall for each in boxes if each.name != "box-0"}
    assert len({each.hall for each in keepers}) == min(len(others), peers.ORIGIN_COPIES)


@attrs.define
class Simulation:
    """Boxes that begin streams, announce and resume them, and crash, in any order."""

    alive: dict[str, origins.OriginTable] = attrs.field(
        factory=lambda: {name: origins.OriginTable() for name in NAMES}
    )
    in_transit: list[tuple[str, origins.OriginAnnouncement]] = attrs.field(factory=list)
    """Announcements that have not arrived yet, with the box that they are sent to."""
    versions_written: dict[origins.StreamId, set[str]] = attrs.field(factory=dict)
    resumed_count: int = 0

    def begin(self, box, number, version):
        name = stream(number)
        if box not in self.alive or name in self.versions_written:
            return
        self.versions_written[name] = {version}
        self.announce(box, origins.OriginAnnouncement(name, origins.Origin("llm", version), 60.0))

    def announce(self, box, announced):
        self.alive[box].remember(announced, 0.0)
        keepers = peers.OriginHolders(box).for_stream(announced.stream, boxes_of(self.alive))
        self.in_transit += [(each.name, announced) for each in keepers[: peers.ORIGIN_COPIES]]

    def deliver(self, position):
        if not self.in_transit:
            return
        box, announced = self.in_transit.pop(position % len(self.in_transit))
        if box in self.alive:
            self.alive[box].remember(announced, 0.0)

    def drop(self, position):
        if self.in_transit:
            self.in_transit.pop(position % len(self.in_transit))

    def crash(self, box):
        self.alive.pop(box, None)

    def start(self, box):
        self.alive.setdefault(box, origins.OriginTable())

    def resume(self, box, number, wanted):
        """Resume a stream; ``wanted`` is the version that the box would choose by itself."""
        name = stream(number)
        if box not in self.alive or name not in self.versions_written:
            return
        asked = peers.OriginHolders(box).for_stream(name, boxes_of(self.alive))
        for each in (box, *(peer.name for peer in asked)):
            record = self.alive[each].find(name, 0.0)
            if record is not None:
                assert record.origin is not None
                self.versions_written[name].add(record.origin.version)
                self.resumed_count += 1
                self.announce(box, origins.OriginAnnouncement(name, record.origin, 60.0))
                return
        # No box knows the origin: the request is refused, whatever the box would choose.
        del wanted


BOX, NUMBER, VERSION = st.sampled_from(NAMES), st.integers(0, 3), st.sampled_from(["v1", "v2"])
STEP = st.one_of(
    st.tuples(st.just("begin"), BOX, NUMBER, VERSION),
    st.tuples(st.just("deliver"), NUMBER),
    st.tuples(st.just("drop"), NUMBER),
    st.tuples(st.just("crash"), BOX),
    st.tuples(st.just("start"), BOX),
    st.tuples(st.just("resume"), BOX, NUMBER, VERSION),
)


@given(st.lists(STEP, max_size=60))
def test_no_order_of_events_resumes_a_stream_at_another_version(steps):
    simulation = Simulation()
    for name, *given_values in steps:
        getattr(simulation, name)(*given_values)
    assert all(len(versions) == 1 for versions in simulation.versions_written.values())


@given(NUMBER, VERSION, st.sampled_from(NAMES), st.sampled_from(NAMES))
def test_an_announced_stream_can_be_resumed_after_one_box_has_crashed(number, version, lost, asker):
    simulation = Simulation()
    simulation.begin("a", number, version)
    while simulation.in_transit:
        simulation.deliver(0)
    simulation.crash(lost)
    simulation.start(lost)
    simulation.resume(asker, number, "v1")
    assert simulation.resumed_count == 1


VERSION_LISTS = st.lists(st.sets(VERSION, min_size=1), min_size=1, max_size=8)


@given(VERSION_LISTS, st.floats(0, 300), st.floats(0, 119))
def test_a_pool_is_mixed_while_streams_of_two_versions_may_be_resumed(lists, pause_s, since_s):
    known = pool_versions.PoolVersions()
    for position, listed in enumerate(lists):
        found = [pool_versions.PoolVersion("llm", version) for version in listed]
        known = known.with_listed(found, position * pause_s)
    now_s = (len(lists) - 1) * pause_s + since_s
    last_listed_s = {
        version: position * pause_s for position, listed in enumerate(lists) for version in listed
    }
    resumable = {
        version
        for version, at_s in last_listed_s.items()
        if now_s - at_s < pool_versions.RESUMABLE_AFTER_UNLISTED_S
    }
    if len(resumable) > 1:
        assert known.settled(now_s) == {}
