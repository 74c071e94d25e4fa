"""Tests of the codec of the platform's line protocol."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from line_codec import (
    CODEC,
    decode_caller,
    decode_instance,
    encode_answer,
    encode_query,
    encode_refusal,
    parse_position,
    parse_status,
)

from bronzerelay.codes import CODES, NOT_RUN, Code, Refusal
from bronzerelay.pooler.messages import (
    Answer,
    AnswerPart,
    Fault,
    Malformed,
    Position,
    Prepared,
    Startup,
    Statement,
    Terminate,
    TransactionState,
    Verb,
)

# Words that tell a caller that its attempt had no effect.
NO_EFFECT_WORDS = {"RETRY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"}


def decode(text):
    return decode_caller(text.encode(), True)


class TestCallers:
    def test_startup(self):
        assert decode_caller(b"STARTUP db key", False) == Startup("db", "key")
        assert decode_caller(b"STARTUP db", False) == Startup("db", "")
        assert isinstance(decode_caller(b"QUERY a FETCH b", False), Malformed)

    @pytest.mark.parametrize(
        ("text", "verb"),
        [
            ("BEGIN", Verb.BEGIN),
            ("BEGIN FETCH", Verb.BEGIN_READ_ONLY),
            ("COMMIT", Verb.COMMIT),
            ("ROLLBACK", Verb.ROLLBACK),
            ("FETCH a", Verb.READ),
            ("STORE a b c", Verb.WRITE),
            ("SET a b", Verb.SET),
            ("PARSE s FETCH q", Verb.PREPARE),
            ("EXECUTE s a", Verb.EXECUTE),
            ("CLOSE s", Verb.DEALLOCATE),
        ],
    )
    def test_statement(self, text, verb):
        statement = decode(f"QUERY id1 {text}")
        assert (statement.id, statement.verb, statement.text) == ("id1", verb, text)

    def test_fields_of_a_statement(self):
        assert decode("QUERY i SET a b c").value == "b c"
        assert decode("QUERY i PARSE s STORE q").prepared == Prepared(True, "q")
        assert decode("QUERY i EXECUTE s a data x").arguments == "a data x"
        assert decode("TERMINATE") == Terminate()

    @pytest.mark.parametrize(
        "text",
        ["QUERY", "QUERY i", "QUERY i ", "QUERY i FETCH", "QUERY i PARSE s", "FETCH a"],
    )
    def test_malformed_line(self, text):
        assert isinstance(decode(text), Malformed)

    def test_callers_cannot_send_what_only_the_pooler_may(self):
        # A caller that could send these could change the primary of a service.
        for text in ("STATUS", "STEPDOWN 9", "PAUSE 9", "WAITLSN 1.1 FETCH a"):
            assert isinstance(decode(f"QUERY i {text}"), Malformed)

    @pytest.mark.parametrize("line_break", ["\r", "\n", "\r\r", "\n\r"])
    @pytest.mark.parametrize("text", ["FETCH a{}QUERY x STORE b c", "SET a b{}", "{}"])
    def test_line_with_a_line_break_of_its_own_is_malformed(self, text, line_break):
        """Guards against a second statement that is hidden in the text of the first."""
        assert isinstance(decode("QUERY i " + text.format(line_break)), Malformed)

    def test_callers_cannot_use_the_poolers_own_id(self):
        """Guards against a caller's statement that looks like one of the pooler's."""
        assert isinstance(decode("QUERY - FETCH a"), Malformed)

    @pytest.mark.parametrize("text", ["COMMIT ", "ROLLBACK x", "BEGIN  FETCH", "SET a"])
    def test_text_with_other_fields_than_its_word_has_is_malformed(self, text):
        """Guards against a text that is passed on and that an instance must refuse."""
        assert isinstance(decode(f"QUERY i {text}"), Malformed)

    def test_name_to_close_extends_to_the_end_of_the_line(self):
        """Guards against closing another prepared statement than the caller named."""
        assert decode("QUERY i CLOSE s x").name == "s x"

    @given(st.binary(max_size=200), st.booleans())
    def test_any_bytes_are_decoded(self, data, started):
        message = decode_caller(data, started)
        assert isinstance(message, Startup | Statement | Terminate | Malformed)


class TestInstances:
    def test_lines(self):
        assert decode_instance(b"DATAROW a b").text == "a b"
        assert decode_instance(b"COMPLETE 7.1").part is AnswerPart.DONE
        assert decode_instance(b"ERROR LAGGING x").fault is Fault.LAGGING
        assert decode_instance(b"ERROR WHATEVER x").fault is Fault.REJECTED
        ready = decode_instance(b"READY T 3.12")
        assert (ready.state, ready.position) == (TransactionState.OPEN, Position(3, 12))

    @given(st.binary(max_size=100))
    def test_any_bytes_are_decoded_or_refused(self, data):
        try:
            decode_instance(data)
        except ValueError:
            return

    def test_query_with_a_floor(self):
        assert encode_query("i", "FETCH a", Position(3, 7)) == (
            b"QUERY i WAITLSN 3.7 FETCH a\r\n"
        )
        assert encode_query("i", "FETCH a", None) == b"QUERY i FETCH a\r\n"

    @pytest.mark.parametrize(
        "encode",
        [
            lambda: CODEC.encode_startup("s", "north i-9", "i-1"),
            lambda: CODEC.encode_startup("s", "", "i-1"),
            lambda: CODEC.encode_startup("s", "w", "i-1\r\nQUERY x STORE a b"),
            lambda: encode_query("a b", "FETCH a", None),
            lambda: encode_query("a", "FETCH a\nQUERY x STORE a b", None),
            lambda: CODEC.format_set("a b", "c"),
            lambda: CODEC.format_prepare("a b", Prepared(False, "q")),
            lambda: CODEC.format_execute("a b", "row"),
        ],
    )
    def test_field_that_would_be_read_as_several_isnt_sent(self, encode):
        """Guards against text of one field that the other side takes for the next."""
        with pytest.raises(ValueError):
            encode()

    @given(st.text(), st.text(), st.text())
    def test_fields_are_read_as_they_were_written(self, name, value, statement_id):
        """Guards against any text that changes the fields of a line around it."""
        try:
            text = CODEC.format_set(name, value)
            line = encode_query(statement_id, text, None)
        except ValueError:
            return
        _, read_id, word, read_name, read_value = (
            line.decode().removesuffix("\r\n").split(" ", 4)
        )
        assert (read_id, word) == (statement_id, "SET")
        assert (read_name, read_value) == (name, value)
        assert line.count(b"\r") == line.count(b"\n") == 1

    def test_position(self):
        assert parse_position("3.7") == Position(3, 7)
        assert parse_position("-") is None
        with pytest.raises(ValueError):
            parse_position("x")

    @pytest.mark.parametrize(
        "number", ["9" * 19, "9" * 400, "-1", "+1", "1_0", "٨", ""]
    )
    def test_number_that_other_messages_cant_hold_is_refused(self, number):
        # Each heartbeat with such a position failed.
        for text in (f"{number}.1", f"1.{number}"):
            with pytest.raises(ValueError):
                parse_position(text)
        assert parse_status(f"primary {number or 'x'} 3.1 0 1 2 3") is None

    def test_status(self):
        status = parse_status("replica 3 3.1209 0 12 2 17")
        assert (status.is_primary, status.term, status.received) == (
            False,
            3,
            Position(3, 1209),
        )
        assert parse_status("replica 3") is None
        assert parse_status("replica x 3.1 0 1 2 3") is None


class TestAnswers:
    def test_answer(self):
        answer = Answer(rows=("a", "b"), signature="s")
        assert encode_answer(answer, TransactionState.IDLE, Position(1, 2)) == (
            b"DATAROW a\r\nDATAROW b\r\nCOMPLETE s\r\nREADY I 1.2\r\n"
        )

    def test_refusal_names_its_retry_delay(self):
        refusal = Refusal(Code.RATE_EXCEEDED, "Over\r\nits rate.", NOT_RUN, 250)
        line = encode_refusal(refusal)
        assert line == b"ERROR RETRY Over its rate. Come back in 250 ms.\r\n"

    @pytest.mark.parametrize("code", list(Code))
    def test_codes_that_may_have_run_never_claim_no_effect(self, code):
        # A caller that is told that its attempt had no effect runs the change again. If
        # the change had been applied, it would be applied twice.
        if CODES[code].ran == NOT_RUN or code in (Code.OK, Code.INTERNAL_ERROR):
            return
        if code is Code.PLATFORM_UNAVAILABLE:
            return  # Only operators get this code.
        word = encode_refusal(Refusal(code, "x", CODES[code].ran)).split()[1].decode()
        assert word not in NO_EFFECT_WORDS

    def test_every_encoder_ends_its_line(self):
        assert CODEC.encode_startup("s", "w", "i") == b"STARTUP s w i\r\n"
