"""Odd entries, as another writer may leave them among those of the instances."""

import json
from typing import Any

from standins.linegroup import LOCAL
from standins.lineplatform import SERVICE

DEEP = 100_000
MEBIBYTE = 1024 * 1024
# The label of a host name may have 63 characters.
LONG_LABEL = "a" * 64


def make_odd(**fields: Any) -> bytes:
    """Return the entry of an instance that has a free port; `fields` replace its own.

    A field of type bytes is put in as it is.
    """
    raw = {name: value for name, value in fields.items() if isinstance(value, bytes)}
    entry = {
        "service": SERVICE,
        "address": f"{LOCAL}:1",
        "zone": "z1",
        "version": "v1",
        "capacity": 3,
        "state": "ready",
        "warmup_left_ms": 0,
        "current_role": "replica",
        "seq": 1,
        "born": 1,
        **{name: f"raw {name}" if name in raw else fields[name] for name in fields},
    }
    data = json.dumps(entry).encode()
    for name, value in raw.items():
        data = data.replace(json.dumps(f"raw {name}").encode(), value)
    return data


# Entries that name no instance to use, by what is odd about them.
ODD_SHAPES = {
    "version of another type": make_odd(version=1),
    "warm-up of another type": make_odd(warmup_left_ms="0"),
    "no JSON": b"\xff\xfe",
    "nothing": b"",
    "another type": b"[]",
    "nested unknown field": make_odd(labels=b"[" * DEEP + b"]" * DEEP),
    "nested known field": make_odd(zone=b"[" * DEEP + b"]" * DEEP),
    "nested open": b'{"labels":' * DEEP,
}
ODD_NUMBERS = {
    "capacity of 400 digits": make_odd(capacity=b"9" * 400),
    "capacity beyond 64 bits": make_odd(capacity=2**64),
    "capacity of 64 bits": make_odd(capacity=2**63 - 1),
    "capacity of 10,000 digits": make_odd(capacity=b"9" * 10_000),
    "capacity of none": make_odd(capacity=0),
    "capacity below none": make_odd(capacity=-(10**30)),
    "capacity with exponent": make_odd(capacity=b"1e400"),
    "capacity is no number": make_odd(capacity=b"NaN"),
    "capacity is infinite": make_odd(capacity=b"Infinity"),
    "start of 400 digits": make_odd(born=b"9" * 400),
    "start beyond 64 bits": make_odd(born=2**64),
    "start below zero": make_odd(born=-(2**64)),
    "count beyond 64 bits": make_odd(seq=2**64),
}
ODD_ADDRESSES = {
    "port out of range": make_odd(address=f"{LOCAL}:65536"),
    "port of zero": make_odd(address=f"{LOCAL}:0"),
    "port below zero": make_odd(address=f"{LOCAL}:-1"),
    "port with a sign": make_odd(address=f"{LOCAL}:+80"),
    "port of other digits": make_odd(address=f"{LOCAL}:٨٠"),
    "port of superscripts": make_odd(address=f"{LOCAL}:²"),
    "port of 10,000 digits": make_odd(address=f"{LOCAL}:{'9' * 10_000}"),
    "no port": make_odd(address=LOCAL),
    "no host": make_odd(address=":80"),
    "host with a long label": make_odd(address=f"{LONG_LABEL}.example:80"),
    "host with an empty label": make_odd(address="a..b:80"),
    "host is a name": make_odd(address="localhost:80"),
    "host with a null character": make_odd(address=f"{LOCAL}\0:80"),
    "host with a blank": make_odd(address=f" {LOCAL}:80"),
    "host out of range": make_odd(address="127.0.0.256:80"),
    "host of one number": make_odd(address="2130706433:80"),
    "host with a surrogate": make_odd(address=b'"\\ud800:80"'),
}
ODD_TEXTS = {
    "service of two words": make_odd(service=f"{SERVICE} x"),
    "service with a line end": make_odd(service=f"{SERVICE}\r\nQUERY"),
    "service with a surrogate": make_odd(service=b'"\\ud800"'),
    "service of a megabyte": make_odd(service="s" * MEBIBYTE),
    "zone of a megabyte": make_odd(zone="z" * MEBIBYTE),
    "unknown state of a megabyte": make_odd(state="s" * MEBIBYTE),
    "unknown role": make_odd(current_role="witness"),
    "state of another type": make_odd(state=[]),
}
ODD_FAMILIES = [ODD_SHAPES, ODD_NUMBERS, ODD_ADDRESSES, ODD_TEXTS]
ODD_ENTRIES = {name: data for one in ODD_FAMILIES for name, data in one.items()}
# Ids that name no instance, since a connection's first line couldn't carry them.
ODD_IDS = ["", " ", "a b", "a\tb", "a\r\nQUERY x FETCH a", "a\0b", "a\u2028b", "a\x7f"]
