"""MIME, AS2 headers, receipts and signatures: round trips, and only the codecs' own errors for invalid input."""

from __future__ import annotations

import base64
import contextlib
import zlib

import pytest
from asn1crypto import cms as asn1
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetstile.codec import as2, cms, mdn, mime
from linnetstile.codec.http1 import Headers
from linnetstile.emulators import messages
from linnetstile.engine.attempt_outcome import ReceiptStatus

SIGNER = cms.generate_identity("alice")
OTHER_SIGNER = cms.generate_identity("mallory")
RECIPIENT = cms.generate_identity("opener", rsa=True)


@pytest.mark.parametrize(
    ("text", "unquoted"),
    [("abc", "abc"), ('"a b"', "a b"), ('"a\\"b\\\\"', 'a"b\\'), ("x" * 128, "x" * 128), ("Firma#1", "Firma#1")],
)
def test_name_round_trips_through_quoting(text: str, unquoted: str) -> None:
    assert as2.parse_name(text, "AS2-From") == unquoted
    assert as2.parse_name(as2.quote_name(unquoted), "AS2-To") == unquoted


@pytest.mark.parametrize("text", ["", "a b", '"', '""', "x" * 129, '"a"b"', "a\\b", "é", '"' + "x" * 129 + '"'])
def test_invalid_name_is_rejected_with_its_field(text: str) -> None:
    with pytest.raises(as2.As2Error, match="AS2-From: expected"):
        as2.parse_name(text, "AS2-From")


VALID_HEADERS = {"AS2-From": "a", "AS2-To": "b", "Message-ID": "<1@a>", "AS2-Version": "1.2"}


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("AS2-From", ""),
        ("AS2-To", "a b"),
        ("Message-ID", "1@a"),
        ("Message-ID", "<>"),
        ("Message-ID", "<1 2@a>"),
        ("AS2-Version", "2.0"),
        ("Receipt-Delivery-Option", "ftp://x"),
        ("Disposition-Notification-Options", "signed-receipt-protocol"),
        ("Message-ID", "<" + "x" * 1000 + ">"),
    ],
)
def test_error_names_the_invalid_field(field: str, value: str) -> None:
    with pytest.raises(as2.As2Error, match=field):
        as2.As2Headers.parse(Headers([*{**VALID_HEADERS, field: value}.items()]))


def test_repeated_field_is_rejected() -> None:
    with pytest.raises(as2.As2Error, match="AS2-To: expected once"):
        as2.As2Headers.parse(Headers([*VALID_HEADERS.items(), ("AS2-To", "c")]))


def test_receipt_options_are_parsed() -> None:
    options = as2.parse_receipt_options(
        "signed-receipt-protocol=optional, pkcs7-signature; signed-receipt-micalg=optional, SHA-256, sha1"
    )
    assert options == as2.ReceiptOptions(True, False, ("sha-256", "sha1"))


@pytest.mark.parametrize(
    "receipt",
    [
        mdn.Mdn("<1@a>", "b", mic=b"x" * 32, micalg="sha-256"),
        mdn.Mdn("<1@a>", "b c", "processed", "error", "authentication-failed"),
        mdn.Mdn("<1@a>", "b", "processed", "warning", "duplicate-document", text="seen\nbefore"),
        mdn.Mdn("<1@a>", "b", "failed", "failure", "unsupported format"),
    ],
)
def test_receipt_round_trips(receipt: mdn.Mdn) -> None:
    content_type, body = receipt.encode()
    parsed = mdn.parse(content_type, body)
    for field in ("original_message_id", "disposition_type", "modifier", "detail", "mic", "micalg"):
        assert getattr(parsed, field) == getattr(receipt, field), field
    assert parsed.is_positive == (receipt.disposition_type == "processed" and receipt.modifier in ("", "warning"))
    assert as2.parse_name(parsed.recipient, "Final-Recipient") == receipt.recipient


def test_receipt_in_base64_with_bare_line_feeds_is_parsed() -> None:
    encoded_report = base64.encodebytes(
        b"Reporting-UA: x\nOriginal-Message-ID: <1@a>\nDisposition: automatic-action/"
        b"MDN-sent-automatically; processed\nFinal-Recipient: rfc822; b\n"
    )
    body = (
        b"preamble\n--B\nContent-Type: text/plain\n\nhello\n--B\nContent-Type: message/disposition-notification\n"
        b"Content-Transfer-Encoding: base64\n\n" + encoded_report + b"--B--\nepilogue"
    )
    assert mdn.parse('multipart/report; boundary="B"', body).is_positive


@pytest.mark.parametrize("signer", [SIGNER, RECIPIENT], ids=["elliptic curve", "rsa"])
@pytest.mark.parametrize("micalg", ["sha-256", "sha-384", "sha-512"])
def test_signature_is_valid_only_for_its_content_and_signer(micalg: str, signer: cms.Identity) -> None:
    content = b"Content-Type: text/plain\r\n\r\nhello\r\n"
    content_type, body = cms.sign(content, signer, micalg)
    signed_content, signature = cms.split_signed(content_type, body)
    assert signed_content == content
    assert cms.verify(signed_content, signature, signer.certificate) == cms.HASH_NAMES[micalg]
    with pytest.raises(cms.CmsError):
        cms.verify(signed_content + b" ", signature, signer.certificate)
    with pytest.raises(cms.CmsError):
        cms.verify(signed_content, signature, OTHER_SIGNER.certificate)


def test_sha1_is_accepted_only_where_allowed() -> None:
    _, signature = cms.split_signed(*cms.sign(b"x", RECIPIENT))
    info = asn1.ContentInfo.load(signature)
    info["content"]["signer_infos"][0]["digest_algorithm"] = {"algorithm": "sha1"}
    with_sha1 = info.dump(force=True)
    with pytest.raises(cms.CmsError, match="sha1 is not allowed"):
        cms.verify(b"x", with_sha1, RECIPIENT.certificate)
    with pytest.raises(cms.CmsError, match="not what was signed"):  # SHA-1 is allowed, its digest is wrong
        cms.verify(b"x", with_sha1, RECIPIENT.certificate, allow_sha1=True)


@pytest.mark.parametrize("sign", [False, True])
@pytest.mark.parametrize("compress", [False, True])
@pytest.mark.parametrize("encrypt", [False, True])
def test_opening_any_combination_of_layers_returns_the_digested_content(
    sign: bool, compress: bool, encrypt: bool
) -> None:
    message = messages.build_message(
        "a",
        "b",
        "<1@a>",
        "s",
        b"ISA*00~" * 50,
        sign_by=SIGNER if sign else None,
        compress=compress,
        encrypt_to=RECIPIENT.certificate if encrypt else None,
    )
    content_type = Headers(message.headers).get("content-type")
    opened, _ = cms.extract_digest_input(content_type, "", message.body, RECIPIENT)
    assert opened == message.digested_content
    opened_without_key, _ = cms.extract_digest_input(content_type, "", message.body, None)
    assert opened_without_key == (None if encrypt else message.digested_content)


def test_compression_bomb_is_rejected() -> None:
    compressed = asn1.ContentInfo(
        {
            "content_type": "compressed_data",
            "content": {
                "version": "v0",
                "compression_algorithm": {"algorithm": "zlib"},
                "encap_content_info": {"content_type": "data", "content": zlib.compress(b"\0" * 10_000_000)},
            },
        }
    ).dump()
    with pytest.raises(cms.CmsError, match="more than 100000 bytes"):
        cms.decompress(compressed, 100_000)


def encode_receipt(receipt: mdn.Mdn, signer: cms.Identity | None) -> tuple[Headers, bytes]:
    """Return the headers and the body of a receipt, which is signed if there is a signer."""
    content_type, body = receipt.encode()
    if signer is not None:
        content_type, body = cms.sign(f"Content-Type: {content_type}\r\n\r\n".encode() + body, signer)
    return Headers([("Content-Type", content_type)]), body


MESSAGE = messages.build_message("a", "b", "<1@a>", "s", b"hello")
VALID_RECEIPT = mdn.Mdn("<1@a>", "b", mic=cms.digest(b"hello", "sha-256"), micalg="sha-256")


@pytest.mark.parametrize(
    ("receipt", "signer", "status"),
    [
        (VALID_RECEIPT, SIGNER, ReceiptStatus.POSITIVE),
        (VALID_RECEIPT, OTHER_SIGNER, ReceiptStatus.UNVERIFIED),
        (VALID_RECEIPT, None, ReceiptStatus.UNVERIFIED),
        (mdn.Mdn("<2@a>", "b"), SIGNER, ReceiptStatus.OTHER_MESSAGE),
        (mdn.Mdn("<1@a>", "b", mic=b"x" * 32, micalg="sha-256"), SIGNER, ReceiptStatus.WRONG_MIC),
        (mdn.Mdn("<1@a>", "b", "failed", "failure"), SIGNER, ReceiptStatus.NEGATIVE),
    ],
)
def test_client_determines_the_status_of_a_receipt(
    receipt: mdn.Mdn, signer: cms.Identity | None, status: ReceiptStatus
) -> None:
    headers, body = encode_receipt(receipt, signer)
    assert messages.check_receipt(MESSAGE, headers, body, SIGNER.certificate)[0] is status


def test_response_without_a_receipt_has_the_status_missing() -> None:
    headers = Headers([("Content-Type", "text/plain")])
    assert messages.check_receipt(MESSAGE, headers, b"ok", None)[0] is ReceiptStatus.MISSING


ENCODED_RECEIPT = encode_receipt(mdn.Mdn("<1@a>", "b", mic=b"x" * 32, micalg="sha-256"), SIGNER)


@settings(max_examples=200)
@given(st.data())
def test_mutated_receipt_raises_only_codec_errors(data: st.DataObject) -> None:
    headers, body = ENCODED_RECEIPT
    mutated = bytearray(body)
    for _ in range(data.draw(st.integers(1, 6))):
        position = data.draw(st.integers(0, len(mutated) - 1))
        mutated[position : position + data.draw(st.integers(0, 40))] = data.draw(st.binary(max_size=20))
        mutated = mutated or bytearray(b"x")
    try:
        content, signature = cms.split_signed(headers.get("content-type"), bytes(mutated))
        report = mime.parse_entity(content)
        mdn.parse(report.headers.get("content-type"), report.body)
        cms.verify(content, signature, SIGNER.certificate)
    except (cms.CmsError, mime.MimeError, mdn.MdnError):
        pass


@settings(max_examples=200)
@given(
    st.binary(max_size=400),
    st.sampled_from(
        [
            "multipart/signed; boundary=B",
            "application/pkcs7-mime; smime-type=compressed-data",
            "text/plain",
            "x",
            "a/b; c",
            "application/pkcs7-mime; smime-type=enveloped-data",
        ]
    ),
    st.sampled_from(["", "base64", "quoted-printable", "odd"]),
)
def test_any_bytes_are_opened_or_rejected(body: bytes, content_type: str, transfer_encoding: str) -> None:
    with contextlib.suppress(cms.CmsError, mime.MimeError):
        cms.extract_digest_input(content_type, transfer_encoding, body.replace(b"|", b"\r\n--B\r\n"), RECIPIENT)
