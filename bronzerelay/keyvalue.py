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
# A value of 1 MiB and what JSON adds around it.
MAX_ANSWER_BYTES = 2 * 1024 * 1024
RETRY_AFTER_MS = 1000
# What a key that is absent has for a revision.
ABSENT_REVISION = 0
# Answers that leave no doubt: the service has done what it was asked, or nothing.
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
    """Where the service listens, and how long each try of a call may take."""

    addresses: tuple[Address, ...]
    caller: str
    timeout_ms: int = 1000


class RevisionBody(TypedDict):
    """The answer to a change that took effect."""

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
    """A line of the list of VMs."""

    name: str
    state: Literal["live", "leaving"]


class VmsBody(TypedDict):
    """The list of VMs."""

    vms: list[VmBody]


class _Call(NamedTuple):
    """One request; `repeatable` says that running it twice does no harm."""

    method: str
    path: str
    repeatable: bool = True
    body: Any = None
    wait_ms: float = 0


class _Answer(NamedTuple):
    """What the service answered, the body not yet decoded."""

    status: int
    body: bytes


class _LostError(Exception):
    """No answer came; `may_have_run` says whether the request may have arrived."""

    def __init__(self, message: str, may_have_run: bool):
        super().__init__(message)
        self.may_have_run = may_have_run


@register(KEY_VALUE, "http")
class KeyValueClient:
    """Values, leases and the VM list of the platform; any task may call it.

    Each try of a call ends within `timeout_ms` (a watch within that and its
    `wait_ms`). A call is tried once at each address, the one that answered last
    coming first, so a call takes at most `timeout_ms` for each address, and a `put`
    whose answer is lost three times that.
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
        return self._ask(_Call("GET", _value_path(key))).bind(
            lambda answer: _read_stored(answer, key)
        )

    def watch(
        self, key: str, after: int, wait_ms: float
    ) -> Result[StoredValue | None, Refusal]:
        """Return the value once its revision is above `after`; None after `wait_ms`.

        NOT_FOUND says that the key is gone; a watch after revision 0 waits for it to
        appear instead.
        """
        query = urlencode({"after": after, "wait_ms": round(wait_ms)})
        call = _Call("GET", f"{_value_path(key)}?{query}", wait_ms=wait_ms)
        return self._ask(call).bind(lambda answer: _read_watch(answer, key, after))

    def put(
        self, key: str, value: Any, expected_revision: int, lease: str | None = None
    ) -> Result[int, Refusal]:
        """Store `value` when the revision is the expected one; return the new one.

        COMPARE_FAILED with `not_run` says that the revision was another one, with
        `unknown` that the value has gone through and has been replaced since, or
        never did. PLATFORM_UNAVAILABLE with `not_run` says that nothing was sent or
        the service refused, with `unknown` that the value may be in force, now or
        later. A lost answer counts as success when the key holds an equal value: two
        writers who may write equal values put something of their own into them.
        """
        body = {"value": value, "expected_revision": expected_revision}
        if lease is not None:
            body["lease"] = lease
        call = _Call("PUT", _value_path(key), repeatable=False, body=body)
        try:
            answer = self._send(call)
        except _LostError as error:
            if not error.may_have_run:
                return _refuse_unavailable(str(error), NOT_RUN)
            return self._resolve_put(call, key, value, expected_revision)
        if answer.status == HTTPStatus.CONFLICT:
            return _refuse_compare(key, NOT_RUN)
        return _read(answer, RevisionBody, key).map(lambda found: found["revision"])

    def _resolve_put(
        self, call: _Call, key: str, value: Any, expected_revision: int
    ) -> Result[int, Refusal]:
        """Find out what became of a PUT whose answer was lost.

        The PUT may have run, may never run, or may still be on its way and run after
        the read back. Told "not run" in the last case, an operator would send another
        bundle and see the first one in force. So the same PUT is sent once more: both
        name one expected revision, which is used once only, so at most one of the two
        takes effect and the late one can do no harm.
        """
        found = self._find(key)
        if found.is_error():
            return _refuse_unavailable(found.error.message, UNKNOWN)
        if found.ok.revision != expected_revision:
            return _compare_stored(key, value, found.ok)
        # "Absent" isn't used once only: the first PUT may have run and the key may
        # have been deleted since, and a second one would bring it back.
        if expected_revision == ABSENT_REVISION:
            return _refuse_unavailable(f"the answer for {key!r} was lost", UNKNOWN)
        try:
            answer = self._send(call)
        except _LostError as error:
            return _refuse_unavailable(str(error), UNKNOWN)
        if answer.status == HTTPStatus.CONFLICT:
            return _read_body(answer, ValueBody, UNKNOWN).bind(
                lambda body: _compare_stored(key, value, StoredValue(**body))
            )
        return _read_body(answer, RevisionBody, UNKNOWN).map(
            lambda body: body["revision"]
        )

    def _find(self, key: str) -> Result[StoredValue, Refusal]:
        """Return the value of `key`, an absent one with revision 0."""
        found = self.get(key)
        if found.is_error() and found.error.code is Code.NOT_FOUND:
            return Ok(StoredValue(None, ABSENT_REVISION))
        return found

    def list_keys(self, prefix: str) -> Result[list[str], Refusal]:
        """Return the sorted keys that start with `prefix`."""
        call = _Call("GET", f"/v1/keys?{urlencode({'prefix': prefix})}")
        return self._ask(call).bind(
            lambda answer: _read(answer, KeysBody, prefix).map(
                lambda body: sorted(body["keys"])
            )
        )

    def delete(self, key: str, expected_revision: int) -> Result[None, Refusal]:
        """Delete `key` when its revision is the expected one; refuse as `put` does."""
        query = urlencode({"expected_revision": expected_revision})
        call = _Call("DELETE", f"{_value_path(key)}?{query}", repeatable=False)
        try:
            answer = self._send(call)
        except _LostError as error:
            if not error.may_have_run:
                return _refuse_unavailable(str(error), NOT_RUN)
            return self._resolve_delete(key, expected_revision)
        if answer.status == HTTPStatus.CONFLICT:
            return _refuse_compare(key, NOT_RUN)
        return _read(answer, Any, key).map(lambda _: None)

    def _resolve_delete(
        self, key: str, expected_revision: int
    ) -> Result[None, Refusal]:
        found = self._find(key)
        if found.is_error():
            return _refuse_unavailable(found.error.message, UNKNOWN)
        if found.ok.revision == ABSENT_REVISION:
            return Ok(None)
        if found.ok.revision == expected_revision:
            return _refuse_unavailable(f"the answer for {key!r} was lost", UNKNOWN)
        return _refuse_compare(key, UNKNOWN)

    # Leases

    def grant_lease(self, ttl_ms: int) -> Result[str, Refusal]:
        """Return the id of a new lease.

        Its time began before the answer came: a holder counts it from before the
        call. When the answer is lost a lease that nobody knows lapses by itself.
        """
        call = _Call("POST", "/v1/leases", repeatable=False, body={"ttl_ms": ttl_ms})
        return self._ask(call).bind(
            lambda answer: _read(answer, LeaseBody, "lease").map(
                lambda body: body["lease"]
            )
        )

    def renew_lease(self, lease: str) -> Result[None, Refusal]:
        """Let the lease run its whole time again; NOT_FOUND when it has lapsed.

        A holder that was paused between its call and the answer must count the time
        from before the call: by the clock of the service the lease may have lapsed.
        """
        call = _Call("POST", f"/v1/leases/{quote(lease, safe='')}/renew")
        return self._ask(call).bind(lambda answer: _read_done(answer, lease))

    def end_lease(self, lease: str) -> Result[None, Refusal]:
        """End the lease and delete the keys under it."""
        call = _Call("DELETE", f"/v1/leases/{quote(lease, safe='')}")
        return self._ask(call).bind(lambda answer: _read_done(answer, lease))

    # VMs

    def list_vms(self) -> Result[list[Vm], Refusal]:
        """Return the VMs that the platform lists; the list lags."""
        return self._ask(_Call("GET", "/v1/vms")).bind(
            lambda answer: _read(answer, VmsBody, "vms").map(
                lambda body: [Vm(vm["name"], vm["state"]) for vm in body["vms"]]
            )
        )

    # Requests

    def _ask(self, call: _Call) -> Result[_Answer, Refusal]:
        """Return the answer, or PLATFORM_UNAVAILABLE."""
        try:
            return Ok(self._send(call))
        except _LostError as error:
            ran = UNKNOWN if error.may_have_run else NOT_RUN
            return _refuse_unavailable(str(error), ran)

    def _send(self, call: _Call) -> _Answer:
        """Return the answer of the first address that gives one, or raise _LostError.

        Once a request that mustn't run twice may have arrived, no other address is
        tried: all of them reach the same values, and both tries could take effect.
        """
        first = self._preferred
        may_have_run = False
        for step in range(len(self._pools)):
            index = (first + step) % len(self._pools)
            try:
                answer = self._send_once(self._pools[index], call)
            except _LostError as error:
                message = str(error)
                may_have_run = may_have_run or error.may_have_run
                if error.may_have_run and not call.repeatable:
                    break
                continue
            self._preferred = index
            return answer
        # The address that was tried first may be down while others would answer, so
        # the next call begins at another one, also when this call had to stop.
        self._preferred = (first + 1) % len(self._pools)
        raise _LostError(message, may_have_run)

    def _send_once(self, pool: urllib3.HTTPConnectionPool, call: _Call) -> _Answer:
        limit_ms = self._timeout_ms + call.wait_ms
        end_ms = self._clock.now_ms() + limit_ms
        body = None if call.body is None else msgspec.json.encode(call.body)
        timeout = urllib3.Timeout(connect=self._timeout_ms / 1000, read=limit_ms / 1000)
        where = f"{pool.host}:{pool.port}"
        try:
            response = pool.urlopen(
                call.method,
                call.path,
                body=body,
                headers=self._headers,
                timeout=timeout,
                preload_content=False,
            )
        # These come before the first byte is sent. All others leave it open.
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise _LostError(f"{where} can't be reached: {error}", False) from None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _LostError(f"{where} gave no answer: {error}", True) from None
        try:
            answer = _Answer(response.status, self._read_body(response, end_ms))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _LostError(f"{where} broke off its answer: {error}", True) from None
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise _LostError(f"{where} refused the call with 503", False)
        if answer.status not in CERTAIN_STATUSES:
            raise _LostError(f"{where} answered {answer.status}", True)
        return answer

    def _read_body(self, response: urllib3.BaseHTTPResponse, end_ms: float) -> bytes:
        """Return the whole body, or raise an error and close the connection.

        A timeout of urllib3 counts from the last byte. A service that sends a byte
        now and then would hold its caller for ever, so the time is looked at here.
        """
        parts = []
        size = 0
        try:
            while part := response.read1(READ_BYTES):
                parts.append(part)
                size += len(part)
                if size > MAX_ANSWER_BYTES:
                    raise OSError(f"it is longer than {MAX_ANSWER_BYTES} bytes")
                if self._clock.now_ms() > end_ms:
                    raise OSError("it takes too long")
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return b"".join(parts)


def _value_path(key: str) -> str:
    return f"/v1/values/{quote(key, safe='/')}"


def _read_body(answer: _Answer, shape: Any, ran: str) -> Result[Any, Refusal]:
    """Return the decoded body; one of another shape is as good as no answer."""
    if answer.status not in (HTTPStatus.OK, HTTPStatus.CONFLICT):
        return _refuse_unavailable(f"unexpected status {answer.status}", ran)
    if not check_nesting(answer.body, ANSWER_NESTING):
        return _refuse_unavailable("the answer nests too deep", ran)
    try:
        return Ok(msgspec.json.decode(answer.body, type=shape))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _refuse_unavailable(f"the answer can't be read: {error}", ran)


def _read(answer: _Answer, shape: Any, name: str) -> Result[Any, Refusal]:
    """Return the decoded body of a call that was answered."""
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
    found = _read_stored(answer, key)
    # A service that answers at once with what is known already would be asked again
    # and again without a pause; a refusal makes the caller wait.
    if found.is_ok() and found.ok.revision <= after:
        return _refuse_unavailable(f"an old revision of {key!r} was answered", NOT_RUN)
    return found


def _compare_stored(key: str, value: Any, stored: StoredValue) -> Result[int, Refusal]:
    """Return the revision when `value` is what is stored.

    Otherwise ours may have been stored and replaced since, or not at all, so that
    "not run" would be a guess.
    """
    if stored.revision != ABSENT_REVISION and stored.value == _normalize(value):
        return Ok(stored.revision)
    return _refuse_compare(key, UNKNOWN)


def _normalize(value: Any) -> Any:
    """Return `value` as it comes back from JSON, with lists in place of tuples."""
    return msgspec.json.decode(msgspec.json.encode(value))


def _refuse_compare(key: str, ran: str) -> Result[Any, Refusal]:
    return refuse(Code.COMPARE_FAILED, f"{key!r} has been changed", ran=ran)


def _refuse_unavailable(message: str, ran: str) -> Result[Any, Refusal]:
    return refuse(Code.PLATFORM_UNAVAILABLE, message, RETRY_AFTER_MS, ran)
