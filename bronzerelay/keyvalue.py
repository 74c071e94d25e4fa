"""The client of the platform's key-value service."""

from http import HTTPStatus
from typing import Any, Literal, NamedTuple, TypedDict
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from expression import Ok, Result

from bronzerelay.codes import NOT_RUN, UNKNOWN, Code, Refusal, refuse
from bronzerelay.nesting import ANSWER_NESTING, check_nesting
from bronzerelay.registry import KEY_VALUE, register
from bronzerelay.runtime import Address, Runtime
from bronzerelay.types import StoredValue, Vm

POOL_SIZE = 8
READ_BYTES = 65536
# A value of 1 MiB, with room for its JSON encoding.
MAX_ANSWER_BYTES = 2 * 1024 * 1024
RETRY_AFTER_MS = 1000
# The revision of an absent key.
ABSENT_REVISION = 0
# Statuses that tell for certain whether the service has run the call.
CERTAIN_STATUSES = frozenset(
    {
        HTTPStatus.OK,
        HTTPStatus.NO_CONTENT,
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.CONFLICT,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    }
)


class KeyValueSettings(NamedTuple):
    """The service's addresses, and the timeout of each attempt of a call."""

    addresses: tuple[Address, ...]
    caller: str
    timeout_ms: int = 1000


class RevisionBody(TypedDict):
    """The answer to a change that took effect: the new revision of its key."""

    revision: int


class ValueBody(TypedDict):
    """A value with its revision."""

    value: Any
    revision: int


class KeysBody(TypedDict):
    """The keys under a prefix."""

    keys: list[str]


class LeaseBody(TypedDict):
    """The id of a lease."""

    lease: str


class VmBody(TypedDict):
    """An entry of the list of VMs."""

    name: str
    state: Literal["live", "leaving"]


class VmsBody(TypedDict):
    """The list of VMs."""

    vms: list[VmBody]


class _Call(NamedTuple):
    """One request; `repeatable` says that it is idempotent."""

    method: str
    path: str
    repeatable: bool = True
    body: Any = None
    wait_ms: float = 0


class _Answer(NamedTuple):
    """The service's answer, with its body not yet decoded."""

    status: int
    body: bytes


class _CallError(Exception):
    """The call got no answer; `may_have_run` says whether the request may have run."""

    def __init__(self, message: str, may_have_run: bool):
        super().__init__(message)
        self.may_have_run = may_have_run


@register(KEY_VALUE, "http")
class KeyValueClient:
    """Values, leases and the VM list of the platform; any task may call it.

    Each attempt of a call ends within `timeout_ms` (a watch within that plus its
    `wait_ms`). A call is tried once at each address, first at the one that answered
    last. So it takes at most `timeout_ms` for each address, and a `put` whose answer is
    lost three times that.
    """

    def __init__(self, runtime: Runtime, settings: KeyValueSettings):
        if not settings.addresses:
            raise ValueError("the key-value service needs an address")
        self._clock = runtime.clock
        self._timeout_ms = settings.timeout_ms
        self._headers = {"X-Caller": settings.caller}
        self._pools = [
            runtime.open_http_pool(address, POOL_SIZE) for address in settings.addresses
        ]
        self._preferred = 0

    # Values

    def get(self, key: str) -> Result[StoredValue, Refusal]:
        """Return the value of `key`, or NOT_FOUND."""
        return self._execute(_Call("GET", _value_path(key))).bind(
            lambda answer: _read_stored(answer, key)
        )

    def watch(
        self, key: str, after: int, wait_ms: float
    ) -> Result[StoredValue | None, Refusal]:
        """Return the value once its revision is above `after`, or None after `wait_ms`.

        Refuse with NOT_FOUND if the key was deleted; a watch after revision 0 waits for
        the key to appear instead.
        """
        query = urlencode({"after": after, "wait_ms": round(wait_ms)})
        call = _Call("GET", f"{_value_path(key)}?{query}", wait_ms=wait_ms)
        return self._execute(call).bind(lambda answer: _read_watch(answer, key, after))

    def put(
        self, key: str, value: Any, expected_revision: int, lease: str | None = None
    ) -> Result[int, Refusal]:
        """Store `value` if the key has the expected revision; return the new one.

        COMPARE_FAILED with `not_run` means that the revision was another one. With
        `unknown`, the value may have been stored and replaced since, or not stored at
        all. PLATFORM_UNAVAILABLE with `not_run` means that nothing was sent or the
        service refused the call. With `unknown`, the value may be stored now or later.

        A put whose answer is lost counts as successful if the key holds an equal value.
        Writers that could write equal values must make theirs distinguishable.
        """
        body = {"value": value, "expected_revision": expected_revision}
        if lease is not None:
            body["lease"] = lease
        call = _Call("PUT", _value_path(key), repeatable=False, body=body)
        try:
            answer = self._send(call)
        except _CallError as error:
            if not error.may_have_run:
                return _refuse_unavailable(str(error), NOT_RUN)
            return self._resolve_put(call, key, value, expected_revision)
        if answer.status == HTTPStatus.CONFLICT:
            return _refuse_compare(key, NOT_RUN)
        return _read(answer, RevisionBody, key).map(lambda stored: stored["revision"])

    def _resolve_put(
        self, call: _Call, key: str, value: Any, expected_revision: int
    ) -> Result[int, Refusal]:
        """Determine the outcome of a PUT whose answer was lost.

        The PUT may have run, may never run, or may be delayed and run after the key was
        read back. If an operator were told "not run" in the last case, they would send
        another bundle and then see the first one in force. So the same PUT is sent once
        more. Both expect the same revision, and revisions are never reused, so at most
        one of the two takes effect.
        """
        current = self._get_or_absent(key)
        if current.is_error():
            return _refuse_unavailable(current.error.message, UNKNOWN)
        if current.ok.revision != expected_revision:
            return _compare_stored(key, value, current.ok)
        # The revision of an absent key is reused: the first PUT may have run and the
        # key may have been deleted since, so a second PUT would bring the key back.
        if expected_revision == ABSENT_REVISION:
            return _refuse_unavailable(f"the answer for {key!r} was lost", UNKNOWN)
        try:
            answer = self._send(call)
        except _CallError as error:
            return _refuse_unavailable(str(error), UNKNOWN)
        if answer.status == HTTPStatus.CONFLICT:
            return _read_body(answer, ValueBody, UNKNOWN).bind(
                lambda body: _compare_stored(key, value, StoredValue(**body))
            )
        return _read_body(answer, RevisionBody, UNKNOWN).map(
            lambda body: body["revision"]
        )

    def _get_or_absent(self, key: str) -> Result[StoredValue, Refusal]:
        """Return the value of `key`; if it is absent, None with `ABSENT_REVISION`."""
        current = self.get(key)
        if current.is_error() and current.error.code is Code.NOT_FOUND:
            return Ok(StoredValue(None, ABSENT_REVISION))
        return current

    def list_keys(self, prefix: str) -> Result[list[str], Refusal]:
        """Return the sorted keys that start with `prefix`."""
        call = _Call("GET", f"/v1/keys?{urlencode({'prefix': prefix})}")
        return self._execute(call).bind(
            lambda answer: _read(answer, KeysBody, prefix).map(
                lambda body: sorted(body["keys"])
            )
        )

    def delete(self, key: str, expected_revision: int) -> Result[None, Refusal]:
        """Delete `key` if it has the expected revision; refuse as `put` does."""
        query = urlencode({"expected_revision": expected_revision})
        call = _Call("DELETE", f"{_value_path(key)}?{query}", repeatable=False)
        try:
            answer = self._send(call)
        except _CallError as error:
            if not error.may_have_run:
                return _refuse_unavailable(str(error), NOT_RUN)
            return self._resolve_delete(key, expected_revision)
        if answer.status == HTTPStatus.CONFLICT:
            return _refuse_compare(key, NOT_RUN)
        return _read(answer, Any, key).map(lambda _: None)

    def _resolve_delete(
        self, key: str, expected_revision: int
    ) -> Result[None, Refusal]:
        current = self._get_or_absent(key)
        if current.is_error():
            return _refuse_unavailable(current.error.message, UNKNOWN)
        if current.ok.revision == ABSENT_REVISION:
            return Ok(None)
        if current.ok.revision == expected_revision:
            return _refuse_unavailable(f"the answer for {key!r} was lost", UNKNOWN)
        return _refuse_compare(key, UNKNOWN)

    # Leases

    def grant_lease(self, ttl_ms: int) -> Result[str, Refusal]:
        """Grant a new lease; return its id.

        Its time starts before the answer arrives, so the holder must count it from
        before the call. If the answer is lost, the unused lease expires by itself.
        """
        call = _Call("POST", "/v1/leases", repeatable=False, body={"ttl_ms": ttl_ms})
        return self._execute(call).bind(
            lambda answer: _read(answer, LeaseBody, "lease").map(
                lambda body: body["lease"]
            )
        )

    def renew_lease(self, lease: str) -> Result[None, Refusal]:
        """Renew the lease for its whole time; refuse with NOT_FOUND if it has expired.

        The holder must count the time from before the call. If it was paused between
        the call and the answer, the lease may have expired at the service.
        """
        call = _Call("POST", f"/v1/leases/{quote(lease, safe='')}/renew")
        return self._execute(call).bind(lambda answer: _read_done(answer, lease))

    def end_lease(self, lease: str) -> Result[None, Refusal]:
        """End the lease and delete the keys attached to it."""
        call = _Call("DELETE", f"/v1/leases/{quote(lease, safe='')}")
        return self._execute(call).bind(lambda answer: _read_done(answer, lease))

    # VMs

    def list_vms(self) -> Result[list[Vm], Refusal]:
        """Return the platform's list of VMs, which may lag behind."""
        return self._execute(_Call("GET", "/v1/vms")).bind(
            lambda answer: _read(answer, VmsBody, "vms").map(
                lambda body: [Vm(vm["name"], vm["state"]) for vm in body["vms"]]
            )
        )

    # Requests

    def _execute(self, call: _Call) -> Result[_Answer, Refusal]:
        """Return the answer, or refuse with PLATFORM_UNAVAILABLE."""
        try:
            return Ok(self._send(call))
        except _CallError as error:
            ran = UNKNOWN if error.may_have_run else NOT_RUN
            return _refuse_unavailable(str(error), ran)

    def _send(self, call: _Call) -> _Answer:
        """Return the answer of the first address that gives one, else raise an error.

        Once a request that isn't idempotent may have run, no other address is tried:
        all addresses serve the same values, and both attempts could take effect.
        """
        first = self._preferred
        may_have_run = False
        for step in range(len(self._pools)):
            index = (first + step) % len(self._pools)
            try:
                answer = self._send_once(self._pools[index], call)
            except _CallError as error:
                message = str(error)
                may_have_run = may_have_run or error.may_have_run
                if error.may_have_run and not call.repeatable:
                    break
                continue
            self._preferred = index
            return answer
        # The address that was tried first may be down, so the next call starts at
        # another one, even if this call couldn't try the others.
        self._preferred = (first + 1) % len(self._pools)
        raise _CallError(message, may_have_run)

    def _send_once(self, pool: urllib3.HTTPConnectionPool, call: _Call) -> _Answer:
        limit_ms = self._timeout_ms + call.wait_ms
        end_ms = self._clock.now_ms() + limit_ms
        body = None if call.body is None else msgspec.json.encode(call.body)
        timeout = urllib3.Timeout(connect=self._timeout_ms / 1000, read=limit_ms / 1000)
        server = f"{pool.host}:{pool.port}"
        try:
            response = pool.urlopen(
                call.method,
                call.path,
                body=body,
                headers=self._headers,
                timeout=timeout,
                preload_content=False,
            )
        # These errors occur before anything is sent. After all others the request may
        # have run.
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise _CallError(f"{server} can't be reached: {error}", False) from None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _CallError(f"{server} gave no answer: {error}", True) from None
        try:
            answer = _Answer(response.status, self._read_body(response, end_ms))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _CallError(f"{server} broke off its answer: {error}", True) from None
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise _CallError(f"{server} refused the call with 503", False)
        if answer.status not in CERTAIN_STATUSES:
            raise _CallError(f"{server} answered {answer.status}", True)
        return answer

    def _read_body(self, response: urllib3.BaseHTTPResponse, end_ms: float) -> bytes:
        """Return the whole body, or close the connection and raise an error.

        urllib3's read timeout restarts with each byte, so a service that sends a byte
        now and then could block the caller forever. This enforces the overall timeout.
        """
        chunks = []
        size = 0
        try:
            while chunk := response.read1(READ_BYTES):
                chunks.append(chunk)
                size += len(chunk)
                if size > MAX_ANSWER_BYTES:
                    raise OSError(f"it is longer than {MAX_ANSWER_BYTES} bytes")
                if self._clock.now_ms() > end_ms:
                    raise OSError("it takes too long")
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return b"".join(chunks)


def _value_path(key: str) -> str:
    return f"/v1/values/{quote(key, safe='/')}"


def _read_body(answer: _Answer, shape: Any, ran: str) -> Result[Any, Refusal]:
    """Return the decoded body; refuse one that isn't of the type `shape`."""
    if answer.status not in (HTTPStatus.OK, HTTPStatus.CONFLICT):
        return _refuse_unavailable(f"unexpected status {answer.status}", ran)
    if not check_nesting(answer.body, ANSWER_NESTING):
        return _refuse_unavailable("the answer nests too deep", ran)
    try:
        return Ok(msgspec.json.decode(answer.body, type=shape))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _refuse_unavailable(f"the answer can't be read: {error}", ran)


def _read(answer: _Answer, shape: Any, name: str) -> Result[Any, Refusal]:
    """Return the decoded body, or the refusal for the answer's status."""
    if answer.status == HTTPStatus.NOT_FOUND:
        return refuse(Code.NOT_FOUND, f"nothing is stored at {name!r}")
    if answer.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        return refuse(Code.BODY_TOO_LARGE, f"the value of {name!r} is above 1 MiB")
    if answer.status == HTTPStatus.BAD_REQUEST:
        return _refuse_unavailable(f"the call for {name!r} was malformed", NOT_RUN)
    return _read_body(answer, shape, UNKNOWN)


def _read_done(answer: _Answer, name: str) -> Result[None, Refusal]:
    return _read(answer, Any, name).map(lambda _: None)


def _read_stored(answer: _Answer, key: str) -> Result[StoredValue, Refusal]:
    return _read(answer, ValueBody, key).map(lambda body: StoredValue(**body))


def _read_watch(
    answer: _Answer, key: str, after: int
) -> Result[StoredValue | None, Refusal]:
    if answer.status == HTTPStatus.NO_CONTENT:
        return Ok(None)
    current = _read_stored(answer, key)
    # If the service answers a watch at once with an old revision, the caller would ask
    # again without a pause. A refusal makes it back off.
    if current.is_ok() and current.ok.revision <= after:
        return _refuse_unavailable(f"an old revision of {key!r} was answered", NOT_RUN)
    return current


def _compare_stored(key: str, value: Any, stored: StoredValue) -> Result[int, Refusal]:
    """Return the revision if `value` is what is stored.

    Otherwise our value may have been stored and replaced since, or not stored at all,
    so the outcome is unknown.
    """
    if stored.revision != ABSENT_REVISION and stored.value == _normalize(value):
        return Ok(stored.revision)
    return _refuse_compare(key, UNKNOWN)


def _normalize(value: Any) -> Any:
    """Return `value` as JSON decodes it, with lists in place of tuples."""
    return msgspec.json.decode(msgspec.json.encode(value))


def _refuse_compare(key: str, ran: str) -> Result[Any, Refusal]:
    return refuse(Code.COMPARE_FAILED, f"{key!r} has been changed", ran=ran)


def _refuse_unavailable(message: str, ran: str) -> Result[Any, Refusal]:
    return refuse(Code.PLATFORM_UNAVAILABLE, message, RETRY_AFTER_MS, ran)
