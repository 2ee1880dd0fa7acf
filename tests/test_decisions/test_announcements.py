from __future__ import annotations

from msgspec.structs import replace

from monsoontray.decisions.announcements import (
    DEPARTURE_RETENTION_S,
    MAX_DEPARTURES,
    Announcement,
    AnnouncementEffect,
    Departure,
    LocalServerTracker,
)
from monsoontray.decisions.servers import ServerState

FIRST = Announcement("i-1", "catalogue", "v1", 9, ServerState.SERVING, 2.0, 1000, 1)
LEAVING = ServerState.LEAVING


def test_repeated_announcement_updates_cold_start_only():
    tracker = LocalServerTracker()
    assert tracker.apply(FIRST, 10.0) is AnnouncementEffect.CHANGED
    assert tracker.cold_until == 12.0
    assert tracker.apply(replace(FIRST, sequence=2, cold_for_s=0.5), 11.0) is (
        AnnouncementEffect.REPEATED
    )
    assert tracker.cold_until == 11.5


def test_late_announcements_are_stale():
    tracker = LocalServerTracker()
    tracker.apply(replace(FIRST, sequence=5), 0.0)
    assert (
        tracker.apply(replace(FIRST, sequence=4, state=LEAVING), 1.0)
        is AnnouncementEffect.STALE
    )
    assert (
        tracker.apply(replace(FIRST, born=900, sequence=9), 1.0)
        is AnnouncementEffect.STALE
    )


def test_new_incarnation_replaces_the_earlier_one_permanently():
    tracker = LocalServerTracker()
    tracker.apply(FIRST, 0.0)
    restarted = replace(FIRST, born=2000, sequence=1)
    assert tracker.apply(restarted, 1.0) is AnnouncementEffect.CHANGED
    assert tracker.apply(replace(FIRST, sequence=50), 2.0) is AnnouncementEffect.STALE
    assert tracker.build_record().born == 2000


def test_leaving_server_does_not_return_in_its_incarnation():
    tracker = LocalServerTracker()
    tracker.apply(replace(FIRST, state=LEAVING), 0.0)
    tracker.apply(replace(FIRST, sequence=2), 1.0)
    assert tracker.build_record().state is LEAVING


def test_heartbeats_after_deregistration_are_stale():
    tracker = LocalServerTracker()
    tracker.apply(FIRST, 0.0)
    assert tracker.remove("i-1", 0, 3.0, 2.0)
    assert tracker.build_record() is None
    assert tracker.apply(replace(FIRST, sequence=9), 1.0) is AnnouncementEffect.STALE
    assert tracker.apply(replace(FIRST, born=3000), 1.0) is AnnouncementEffect.CHANGED


def test_deregistration_of_earlier_incarnation_keeps_the_current_one():
    tracker = LocalServerTracker()
    tracker.apply(replace(FIRST, born=2000), 0.0)
    assert not tracker.remove("i-1", 1000, 3.0, 3.0)
    assert not tracker.remove("i-other", 0, 3.0, 3.0)
    assert tracker.build_record() is not None


def test_late_heartbeats_of_unknown_deregistered_server_are_stale():
    tracker = LocalServerTracker()
    assert not tracker.remove("i-1", 0, now=5.0, wall_time=2.0)
    late = replace(FIRST, born=1000, sequence=7)
    assert tracker.apply(late, 5.5) is AnnouncementEffect.STALE
    assert (
        tracker.apply(late, 5.0 + DEPARTURE_RETENTION_S - 0.1)
        is AnnouncementEffect.STALE
    )
    assert tracker.build_record() is None


def test_server_that_restarts_under_its_name_is_accepted():
    tracker = LocalServerTracker()
    tracker.apply(FIRST, 4.0)
    assert tracker.remove("i-1", 0, now=5.0, wall_time=2.0)
    assert (
        tracker.apply(replace(FIRST, born=2001, sequence=1), 6.0)
        is AnnouncementEffect.CHANGED
    )
    assert tracker.build_record().born == 2001


def test_departures_that_are_handed_on_are_bounded_also_over_restarts():
    earlier, later = LocalServerTracker(), LocalServerTracker()
    for i in range(MAX_DEPARTURES):
        assert earlier.acknowledge_departure(f"i-{i}", 1, 5.0)
        assert not earlier.acknowledge_departure(f"i-{i}", 1, 6.0)
        later.acknowledge_departure(f"j-{i}", 1, 7.0)
    later.restore(earlier.get_departures(), 0.0)
    assert len(later.get_departures()) == MAX_DEPARTURES


# A list that the store wrote late brought back old departures in place of later ones.
def test_earlier_list_that_is_read_again_displaces_no_later_departures():
    tracker = LocalServerTracker()
    for i in range(MAX_DEPARTURES):
        tracker.acknowledge_departure(f"i-{i}", 1, i)
    late = tracker.get_departures()
    for i in range(MAX_DEPARTURES, MAX_DEPARTURES + 3):
        tracker.acknowledge_departure(f"i-{i}", 1, i)
    latest = tracker.get_departures()
    tracker.restore(late, 30.0)
    assert tracker.get_departures() == latest


# The second leaving of a server that names no incarnation kept the time of the first.
def test_later_leaving_without_an_incarnation_replaces_an_earlier_one():
    tracker = LocalServerTracker()
    assert tracker.acknowledge_departure("i-1", 0, 5.0, has_left=True)
    assert not tracker.acknowledge_departure("i-1", 0, 6.0)
    assert tracker.acknowledge_departure("i-1", 0, 7.0, has_left=True)
    assert tracker.get_departures() == (Departure("i-1", 0, 7_000),)
    tracker.restore((Departure("i-1", 0, 6_000),), 0.0)
    assert tracker.get_departures() == (Departure("i-1", 0, 7_000),)
