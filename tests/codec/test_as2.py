"""MIME, AS2 fields, receipts, signatures: what is made can be read back, and no error is raised but their own."""

from __future__ import annotations

import contextlib
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetstile.codec import as2, cms, mdn, mime
from linnetstile.codec.http1 import Headers
from linnetstile.emulators import messages
from linnetstile.engine.attempt_outcome import ReceiptStatus

ALICE = cms.make_identity("alice")
MALLORY = cms.make_identity("mallory")
OPENER = cms.make_identity("opener", rsa=True)


@pytest.mark.parametrize(
    ("text", "plain"),
    [("abc", "abc"), ('"a b"', "a b"), ('"a\\"b\\\\"', 'a"b\\'), ("x" * 128, "x" * 128), ("Firma#1", "Firma#1")],
)
def test_name_is_unquoted_and_quoted_again(text: str, plain: str) -> None:
    assert as2.parse_name(text, "AS2-From") == plain
    assert as2.parse_name(as2.quote_name(plain), "AS2-To") == plain


@pytest.mark.parametrize("text", ["", "a b", '"', '""', "x" * 129, '"a"b"', "a\\b", "é", '"' + "x" * 129 + '"'])
def test_invalid_name_is_rejected_with_its_field(text: str) -> None:
    with pytest.raises(as2.As2Error, match="AS2-From: expected"):
        as2.parse_name(text, "AS2-From")


BASE = {"AS2-From": "a", "AS2-To": "b", "Message-ID": "<1@a>", "AS2-Version": "1.2"}


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
        as2.As2Headers.parse(Headers([*{**BASE, field: value}.items()]))
    with pytest.raises(as2.As2Error, match="AS2-To: expected once"):
        as2.As2Headers.parse(Headers([*BASE.items(), ("AS2-To", "c")]))


def test_receipt_options_are_parsed() -> None:
    wish = as2.parse_receipt_options(
        "signed-receipt-protocol=optional, pkcs7-signature; signed-receipt-micalg=optional, SHA-256, sha1"
    )
    assert wish == as2.ReceiptOptions(True, False, ("sha-256", "sha1"))


@pytest.mark.parametrize(
    "found",
    [
        mdn.Mdn("<1@a>", "b", mic=b"x" * 32, micalg="sha-256"),
        mdn.Mdn("<1@a>", "b c", "processed", "error", "authentication-failed"),
        mdn.Mdn("<1@a>", "b", "processed", "warning", "duplicate-document", text="seen\nbefore"),
        mdn.Mdn("<1@a>", "b", "failed", "failure", "unsupported format"),
    ],
)
def test_receipt_is_read_back(found: mdn.Mdn) -> None:
    kind, body = found.encode()
    read = mdn.parse(kind, body)
    assert (read.original_message_id, read.disposition_type, read.modifier, read.detail, read.mic, read.micalg) == (
        found.original_message_id,
        found.disposition_type,
        found.modifier,
        found.detail,
        found.mic,
        found.micalg,
    )
    assert read.is_positive == (found.disposition_type == "processed" and found.modifier in ("", "warning"))
    assert as2.parse_name(read.recipient, "Final-Recipient") == found.recipient


def test_receipt_in_base64_with_bare_line_feeds_is_read() -> None:
    import base64

    inner = base64.encodebytes(
        b"Reporting-UA: x\nOriginal-Message-ID: <1@a>\nDisposition: automatic-action/"
        b"MDN-sent-automatically; processed\nFinal-Recipient: rfc822; b\n"
    )
    body = (
        b"preamble\n--B\nContent-Type: text/plain\n\nhello\n--B\nContent-Type: message/disposition-notification\n"
        b"Content-Transfer-Encoding: base64\n\n" + inner + b"--B--\nepilogue"
    )
    assert mdn.parse('multipart/report; boundary="B"', body).is_positive


@pytest.mark.parametrize("micalg", ["sha-256", "sha-384", "sha-512"])
def test_signature_holds_for_its_bytes_and_its_signer_only(micalg: str) -> None:
    content = b"Content-Type: text/plain\r\n\r\nhello\r\n"
    for signer in (ALICE, OPENER):
        kind, body = cms.sign(content, signer, micalg)
        got, der = cms.split_signed(kind, body)
        assert got == content
        assert cms.verify(got, der, signer.certificate) == cms.HASH_NAMES[micalg]
        with pytest.raises(cms.CmsError):
            cms.verify(got + b" ", der, signer.certificate)
        with pytest.raises(cms.CmsError):
            cms.verify(got, der, MALLORY.certificate)


def test_sha1_is_accepted_only_where_allowed() -> None:
    from asn1crypto import cms as asn1

    kind, body = cms.sign(b"x", OPENER)
    _, der = cms.split_signed(kind, body)
    info = asn1.ContentInfo.load(der)
    signer = info["content"]["signer_infos"][0]
    signer["digest_algorithm"] = {"algorithm": "sha1"}
    with pytest.raises(cms.CmsError, match="sha1 is not allowed"):
        cms.verify(b"x", info.dump(force=True), OPENER.certificate)
    with pytest.raises(cms.CmsError, match="not what was signed"):  # allowed, and then judged by its digest
        cms.verify(b"x", info.dump(force=True), OPENER.certificate, allow_sha1=True)


@pytest.mark.parametrize("sign", [False, True])
@pytest.mark.parametrize("compress", [False, True])
@pytest.mark.parametrize("encrypt", [False, True])
def test_any_mix_of_layers_opens_to_what_the_receipt_is_over(sign: bool, compress: bool, encrypt: bool) -> None:
    made = messages.build_message(
        "a",
        "b",
        "<1@a>",
        "s",
        b"ISA*00~" * 50,
        sign_by=ALICE if sign else None,
        compress=compress,
        encrypt_to=OPENER.certificate if encrypt else None,
    )
    kind = Headers(made.headers).get("content-type")
    opened, _ = cms.open_layers(kind, "", made.body, OPENER)
    assert opened == made.digested_content
    closed, _ = cms.open_layers(kind, "", made.body, None)
    assert closed == (None if encrypt else made.digested_content)


def test_compression_bomb_is_rejected() -> None:
    from asn1crypto import cms as asn1

    der = asn1.ContentInfo(
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
        cms.decompress(der, 100_000)


def receipt_of(found: mdn.Mdn, signer: cms.Identity | None) -> tuple[Headers, bytes]:
    kind, body = found.encode()
    if signer is not None:
        kind, body = cms.sign(f"Content-Type: {kind}\r\n\r\n".encode() + body, signer)
    return Headers([("Content-Type", kind)]), body


def test_client_judges_a_receipt() -> None:
    made = messages.build_message("a", "b", "<1@a>", "s", b"hello")
    good = mdn.Mdn("<1@a>", "b", mic=cms.digest(b"hello", "sha-256"), micalg="sha-256")
    for found, signer, expected in [
        (good, ALICE, ReceiptStatus.POSITIVE),
        (good, MALLORY, ReceiptStatus.UNVERIFIED),
        (good, None, ReceiptStatus.UNVERIFIED),
        (mdn.Mdn("<2@a>", "b"), ALICE, ReceiptStatus.OTHER_MESSAGE),
        (mdn.Mdn("<1@a>", "b", mic=b"x" * 32, micalg="sha-256"), ALICE, ReceiptStatus.WRONG_MIC),
        (mdn.Mdn("<1@a>", "b", "failed", "failure"), ALICE, ReceiptStatus.NEGATIVE),
    ]:
        assert messages.check_receipt(made, *receipt_of(found, signer), ALICE.certificate)[0] is expected
    assert (
        messages.check_receipt(made, Headers([("Content-Type", "text/plain")]), b"ok", None)[0] is ReceiptStatus.MISSING
    )


FIXED = receipt_of(mdn.Mdn("<1@a>", "b", mic=b"x" * 32, micalg="sha-256"), ALICE)


@settings(max_examples=200)
@given(st.data())
def test_mutated_receipt_raises_only_errors_of_the_codec(data: st.DataObject) -> None:
    kind, body = FIXED
    raw = bytearray(body)
    for _ in range(data.draw(st.integers(1, 6))):
        at = data.draw(st.integers(0, len(raw) - 1))
        raw[at : at + data.draw(st.integers(0, 40))] = data.draw(st.binary(max_size=20))
        raw = raw or bytearray(b"x")
    try:
        content, der = cms.split_signed(kind.get("content-type"), bytes(raw))
        inner = mime.parse_entity(content)
        mdn.parse(inner.headers.get("content-type"), inner.body)
        cms.verify(content, der, ALICE.certificate)
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
def test_any_bytes_are_opened_or_rejected(body: bytes, kind: str, encoding: str) -> None:
    with contextlib.suppress(cms.CmsError, mime.MimeError):
        cms.open_layers(kind, encoding, body.replace(b"|", b"\r\n--B\r\n"), OPENER)
