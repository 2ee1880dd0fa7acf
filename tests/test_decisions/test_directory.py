from __future__ import annotations

from monsoontray.decisions.directory import (
    UNLISTED_RETENTION_S,
    ListedNode,
    ListedServer,
    NodeDirectory,
)


def build_node(
    name, incarnation=1, stopping=False, leaving=False, zone="zone-a", link_mbps=0.0
):
    server = ListedServer(f"i-{name}", "catalogue", "v1", 9, leaving, 1000)
    address = "127.0.0.1:1"
    return ListedNode(
        name, "norte", zone, address, address, incarnation, stopping, server, link_mbps
    )


def find_unlisted(directory):
    return {
        e.server: e.unlisted for e in directory.build_server_table().find("catalogue")
    }


def test_node_whose_record_lapsed_is_kept_as_unlisted():
    directory = NodeDirectory()
    directory.sync([build_node("a"), build_node("b")], 0.0)
    directory.unlist("a", 1.0)
    assert find_unlisted(directory) == {"i-a": True, "i-b": False}
    assert not directory.expire(UNLISTED_RETENTION_S)
    assert directory.expire(1.0 + UNLISTED_RETENTION_S)
    assert find_unlisted(directory) == {"i-b": False}


def test_servers_stay_usable_when_the_store_loses_all_records():
    directory = NodeDirectory()
    directory.sync([build_node("a"), build_node("b")], 0.0)
    directory.sync([], 1.0)
    assert find_unlisted(directory) == {"i-a": True, "i-b": True}
    directory.add(build_node("a"))
    assert find_unlisted(directory) == {"i-a": False, "i-b": True}


def test_stopping_nodes_are_removed_with_their_record():
    directory = NodeDirectory()
    directory.sync([build_node("a", stopping=True), build_node("b")], 0.0)
    directory.add(build_node("b", leaving=True))
    assert find_unlisted(directory) == {}
    directory.unlist("a", 1.0)
    directory.unlist("b", 1.0)
    assert directory.get_nodes() == ()


def test_late_record_of_earlier_process_is_ignored():
    directory = NodeDirectory()
    directory.add(build_node("a", incarnation=5))
    directory.add(build_node("a", incarnation=4, stopping=True))
    assert find_unlisted(directory) == {"i-a": False}
