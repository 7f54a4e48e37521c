"""Reads scenario files and checks every word of them."""

import dataclasses
import pathlib

import yaml

INVARIANTS = ("token-once", "whole-answer", "not-run-is-true",
              "action-at-most-once", "leaving-gets-no-work", "graceful-stop",
              "table-in-force")
# Verb of a step and the keys that it takes; a trailing "?" marks an optional
# key.
VERBS = {
    "streams": ("count", "tokens", "kind?", "team?", "hosts?", "model?"),
    "order": ("key", "host", "times?"),
    "kill": ("process",),
    "stop": ("process",),
    "start": ("process",),
    "freeze": ("process",),
    "thaw": ("process",),
    "leave": ("host",),
    "join": ("host",),
    "set": ("cell", "value"),
    "race": ("cell", "values"),
    "key-value": ("fault", "count?"),
    "host-list": ("fault",),
    "link": ("name", "forward?", "backward?", "refuse?", "close?",
             "delay_ms?"),
    "wait-tokens": ("count",),
    "wait-table": ("hosts?",),
    "wait-streams": (),
    "wait-lease": ("other_than?",),
    "kill-lease-holder": (),
    "wait-loaded": ("model", "version", "replicas"),
    "wait-events": ("types",),
    "wait-unloaded": ("model", "version"),
    "pause": ("ms",),
    "expect-runs": ("key", "most"),
    "expect-completed": ("least",),
    "expect-verdict": ("key", "verdicts"),
    "expect-conflict": (),
    "expect-work": ("target", "most"),
}
TOP = ("name", "seed?", "site", "steps", "expect")
SITE = ("entry_hosts", "engines", "services?", "failure_domains?", "engine?",
        "links?", "spares?", "control?")


class ScenarioError(Exception):
    """A wrong place in a scenario file: file, line and word."""


@dataclasses.dataclass(frozen=True)
class Step:
    """One step: verb, its values, and its place for messages."""

    verb: str
    values: dict
    place: str


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A checked scenario file."""

    path: pathlib.Path
    name: str
    seed: int
    site: dict
    steps: list
    expect: list


def _place(path, node):
    return f"{path}:{node.start_mark.line + 1}"


def _mapping(path, node, keys):
    """The nodes of a mapping by key, after a check of its keys."""
    if not isinstance(node, yaml.MappingNode):
        raise ScenarioError(f"{_place(path, node)}: expected a mapping")
    known = {key.rstrip("?") for key in keys}
    values = {}
    for key, value in node.value:
        if key.value not in known:
            raise ScenarioError(f"{_place(path, key)}: '{key.value}': expected"
                                f" one of {', '.join(sorted(known))}")
        if key.value in values:
            raise ScenarioError(
                f"{_place(path, key)}: '{key.value}': appears twice")
        values[key.value] = value
    for key in keys:
        if not key.endswith("?") and key not in values:
            raise ScenarioError(f"{_place(path, node)}: '{key}': missing")
    return values


def _plain(node):
    return yaml.safe_load(yaml.serialize(node))


def _step(path, node):
    if not isinstance(node, yaml.MappingNode) or len(node.value) != 1:
        raise ScenarioError(f"{_place(path, node)}: expected one verb")
    verb, values = node.value[0]
    if verb.value not in VERBS:
        raise ScenarioError(f"{_place(path, verb)}: '{verb.value}': expected "
                            f"one of {', '.join(sorted(VERBS))}")
    if isinstance(values, yaml.ScalarNode) and values.value == "":
        values = yaml.MappingNode("tag:yaml.org,2002:map", [],
                                  verb.start_mark, verb.end_mark)
    nodes = _mapping(path, values, VERBS[verb.value])
    return Step(verb.value, {key: _plain(value)
                             for key, value in nodes.items()},
                _place(path, verb))


def load(path):
    """Reads one scenario file; raises ScenarioError."""
    try:
        with open(path, encoding="utf-8") as file:
            root = yaml.compose(file)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        raise ScenarioError(f"{path}:{line}: {error}") from error
    if root is None:
        raise ScenarioError(f"{path}:1: the file is empty")
    top = _mapping(path, root, TOP)
    site = _mapping(path, top["site"], SITE)
    for word in top["expect"].value:
        if word.value not in INVARIANTS:
            raise ScenarioError(
                f"{_place(path, word)}: '{word.value}': expected one of "
                + ", ".join(INVARIANTS))
    return Scenario(
        pathlib.Path(path), _plain(top["name"]),
        int(_plain(top["seed"])) if "seed" in top else 1,
        {key: _plain(value) for key, value in site.items()},
        [_step(path, node) for node in top["steps"].value],
        [word.value for word in top["expect"].value])
