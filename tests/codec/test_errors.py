"""Errors of the codecs: their common base class, and their attributes `field`, `expected` and `found`."""

from __future__ import annotations

import pytest

from linnetstile import errors
from linnetstile.codec import as2, cms, http1, json_stream, mdn, mime


@pytest.mark.parametrize(
    "error_type",
    [as2.As2Error, cms.CmsError, http1.Http1Error, mdn.MdnError, mime.MimeError, json_stream.JsonStreamError],
)
def test_codec_error_is_a_protocol_error_and_a_value_error(error_type: type[Exception]) -> None:
    assert issubclass(error_type, errors.ProtocolError)
    assert issubclass(error_type, ValueError)


def test_unsendable_message_error_is_not_a_protocol_error() -> None:
    assert issubclass(http1.UnsendableMessageError, errors.LinnetstileError)
    assert issubclass(http1.UnsendableMessageError, ValueError)
    assert not issubclass(http1.UnsendableMessageError, errors.ProtocolError)


def test_http_error_has_status_field_expected_and_found() -> None:
    parser = http1.Parser()
    with pytest.raises(http1.Http1Error) as caught:
        parser.feed(b"GET / HTTP/1.1\r\nHost: a\r\nExpect: tea\r\n\r\n")
    error = caught.value
    assert str(error) == error.text == "an expectation other than 100-continue"
    assert (error.status, error.field, error.expected, error.found) == (417, "Expect", "100-continue", "tea")


def test_receipt_error_keeps_the_field_of_its_cause() -> None:
    report = mdn.Mdn("no brackets", "b").encode()
    with pytest.raises(mdn.MdnError, match="Original-Message-ID: expected an identifier") as caught:
        mdn.parse(*report)
    assert (caught.value.field, caught.value.found) == ("Original-Message-ID", "no brackets")
    assert isinstance(caught.value.__cause__, as2.As2Error)


def test_json_stream_error_is_raised_again_by_each_later_feed() -> None:
    reader = json_stream.JsonStreamReader(10)
    with pytest.raises(json_stream.JsonStreamError, match="a value of more than 10 bytes") as caught:
        reader.feed(b"[" + b" " * 20)
    assert (caught.value.expected, caught.value.found) == ("<= 10 bytes", "21 bytes")
    with pytest.raises(json_stream.JsonStreamError) as repeated:
        reader.feed(b"")
    assert repeated.value is caught.value
