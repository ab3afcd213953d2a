"""Answers of servers in trouble, and valid ones that look like them.

Each is given once, so that all readers of answers are tested with the same bytes.
"""

from typing import NamedTuple

BODY = b"{}"  # is also a document of the operators' interface
LENGTH = b"Content-Length: 2\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"2\r\n{}\r\n0\r\n\r\n"


class AnswerCase(NamedTuple):
    """An answer, but for the headers that name its request and its server."""

    name: str
    lines: bytes = LENGTH
    body: bytes = BODY
    status_line: bytes = b"HTTP/1.1 200 OK\r\n"
    first: bytes = b""  # interim answers
    content: bytes = BODY  # of the answer if it is valid

    def encode(self, headers: bytes) -> bytes:
        """Return the answer with more headers; lines that end with CR LF."""
        return (
            self.first + self.status_line + headers + self.lines + b"\r\n" + self.body
        )


def _coding(name: str, value: bytes) -> AnswerCase:
    return AnswerCase(name, b"Transfer-Encoding:" + value + b"\r\n", CHUNKS)


def _length(name: str, value: bytes) -> AnswerCase:
    return AnswerCase(name, b"Content-Length:" + value + b"\r\n")


def _chunks(name: str, chunks: bytes) -> AnswerCase:
    return AnswerCase(name, CHUNKED, chunks)


def _status(name: str, line: bytes) -> AnswerCase:
    return AnswerCase(name, status_line=line + b"\r\n")


def _line(name: str, line: bytes) -> AnswerCase:
    return AnswerCase(name, line + b"\r\n" + LENGTH)


MALFORMED_LENGTHS = [
    *(
        _coding(f"coding, {name}", value)
        for name, value in [
            ("VT before", b" \x0bchunked"),
            ("VT after", b" chunked\x0b"),
            ("FF before", b"\x0cchunked"),
            ("FF after", b"chunked\x0c"),
            ("0x1f after", b" chunked\x1f"),
            ("NBSP before", b" \xa0chunked"),
            ("NBSP after", b" chunked\xa0"),
            ("NEL after", b" chunked\x85"),
            ("NUL after", b" chunked\0"),
            ("in quotes", b' "chunked"'),
            ("twice", b" chunked, chunked"),
            ("unknown", b" xchunked"),
            ("empty", b""),
        ]
    ),
    *(
        _length(f"length, {name}", value)
        for name, value in [
            ("VT before", b" \x0b2"),
            ("VT after", b" 2\x0b"),
            ("NBSP after", b" 2\xa0"),
            ("NEL before", b" \x852"),
            ("0x1f after", b" 2\x1f"),
            ("plus", b" +2"),
            ("minus", b" -2"),
            ("underscore", b" 0_2"),
            ("hexadecimal", b" 0x2"),
            ("other digits", b" \xb2"),
            ("blank within", b" 0 2"),
            ("two that differ", b" 2, 3"),
            ("a list with a gap", b" 2,,2"),
            ("empty", b""),
            ("blanks only", b" \t"),
        ]
    ),
    AnswerCase("lengths that differ", LENGTH + b"Content-Length: 3\r\n"),
    AnswerCase("a length and a coding", LENGTH + CHUNKED, CHUNKS),
    AnswerCase("a coding in HTTP/1.0", CHUNKED, CHUNKS, b"HTTP/1.0 200 OK\r\n"),
]

MALFORMED_STATUSES = [
    _status("status 000", b"HTTP/1.1 000 OK"),
    _status("status 00", b"HTTP/1.1 00 OK"),
    _status("status 2000", b"HTTP/1.1 2000 OK"),
    _status("no status", b"HTTP/1.1 OK"),
    _status("nothing but a version", b"HTTP/1.1"),
    _status("VT before the status", b"HTTP/1.1 \x0b200 OK"),
    _status("VT after the status", b"HTTP/1.1 200\x0bOK"),
    _status("NBSP after the status", b"HTTP/1.1 200\xa0OK"),
    _status("a tab before the status", b"HTTP/1.1\t200 OK"),
    _status("two blanks before the status", b"HTTP/1.1  200 OK"),
    _status("a control byte in the reason", b"HTTP/1.1 200 O\x01K"),
    _status("NUL in the reason", b"HTTP/1.1 200 O\0K"),
    _status("a version with more", b"HTTP/1.1x 200 OK"),
    _status("a version with two digits", b"HTTP/1.10 200 OK"),
    _status("a version without a digit", b"HTTP/1. 200 OK"),
    _status("version 2", b"HTTP/2 200 OK"),
    _status("version 0.9", b"HTTP/0.9 200 OK"),
    _status("a version in lower case", b"http/1.1 200 OK"),
    _status("a blank before the version", b" HTTP/1.1 200 OK"),
]

MALFORMED_LINES = [
    _line("a name with a blank", b"Con tent: x"),
    _line("a blank before the colon", b"Name : x"),
    _line("a tab before the colon", b"Name\t: x"),
    _line("a name with a control byte", b"Na\x01me: x"),
    _line("a name with DEL", b"Na\x7fme: x"),
    _line("a name beyond ASCII", b"Na\xe9me: x"),
    _line("a name with a parenthesis", b"Na(me: x"),
    _line("an empty name", b": x"),
    _line("no colon", b"Name x"),
    _line("a continued line", b"Name: x\r\n y"),
    _line("a value with NUL", b"Name: x\0y"),
    _line("a value with CR", b"Name: x\ry"),
    _line("a value with VT", b"Name: x\x0by"),
    _line("a value with a control byte", b"Name: x\x01y"),
    _line("a value with DEL", b"Name: x\x7fy"),
    AnswerCase(
        "a malformed interim answer", first=b"HTTP/1.1 103 X\r\nN\x01: x\r\n\r\n"
    ),
    AnswerCase("a body of an interim answer", first=b"HTTP/1.1 103 X\r\n\r\nbody\r\n"),
]

MALFORMED_HEADS = [*MALFORMED_LENGTHS, *MALFORMED_STATUSES, *MALFORMED_LINES]

MALFORMED_CHUNKS = [
    _chunks("a size with a sign", b"+2\r\n{}\r\n0\r\n\r\n"),
    _chunks("a size with a prefix", b"0x2\r\n{}\r\n0\r\n\r\n"),
    _chunks("a size with an underscore", b"0_2\r\n{}\r\n0\r\n\r\n"),
    _chunks("a blank before a size", b" 2\r\n{}\r\n0\r\n\r\n"),
    _chunks("VT before a size", b"\x0b2\r\n{}\r\n0\r\n\r\n"),
    _chunks("VT after a size", b"2\x0b\r\n{}\r\n0\r\n\r\n"),
    _chunks("a blank after a size", b"2 \r\n{}\r\n0\r\n\r\n"),
    _chunks("a size that ends with LF", b"2\n{}\r\n0\r\n\r\n"),
    _chunks("no size", b"\r\n{}\r\n0\r\n\r\n"),
    _chunks("a huge size", b"f" * 17 + b"\r\n{}\r\n0\r\n\r\n"),
    _chunks("a sign of the last size", b"2\r\n{}\r\n-0\r\n\r\n"),
    _chunks("an extension with a control byte", b"2;a=\x01\r\n{}\r\n0\r\n\r\n"),
    _chunks("an extension with VT", b"2;\x0ba\r\n{}\r\n0\r\n\r\n"),
    _chunks("an extension without a name", b"2;=b\r\n{}\r\n0\r\n\r\n"),
    _chunks("an extension with an open quote", b'2;a="b\r\n{}\r\n0\r\n\r\n'),
    _chunks("other bytes after a chunk", b"2\r\n{}xx0\r\n\r\n"),
    _chunks("LF after a chunk", b"2\r\n{}\n0\r\n\r\n"),
    _chunks("more bytes than the size", b"2\r\n{}s\r\n0\r\n\r\n"),
    _chunks("a trailer without a colon", b"2\r\n{}\r\n0\r\nName\r\n\r\n"),
    _chunks("a trailer with a blank in its name", b"2\r\n{}\r\n0\r\nN a: x\r\n\r\n"),
    _chunks("a trailer with a control byte", b"2\r\n{}\r\n0\r\nN: \x01\r\n\r\n"),
    _chunks("CR in a trailer", b"2\r\n{}\r\n0\r\nN: x\ry\r\n\r\n"),
]

TRUNCATED_TRAILERS = [  # that count as cut only if the connection ends after them
    _chunks("no end of the trailers", b"2\r\n{}\r\n0\r\n"),
    _chunks("a trailer cut off", b"2\r\n{}\r\n0\r\nName: x"),
]

VALID = [
    AnswerCase("a length"),
    _length("no blank before a length", b"2"),
    _length("blanks around a length", b" \t 2 \t"),
    _length("zeros before a length", b" 0002"),
    _length("many zeros before a length", b" " + b"0" * 30 + b"2"),
    _length("equal lengths in one line", b" 2, 2"),
    AnswerCase("equal lengths in two lines", LENGTH + LENGTH),
    AnswerCase("a length in capitals", b"CONTENT-LENGTH: 2\r\n"),
    AnswerCase("a length in lower case", b"content-length: 2\r\n"),
    _coding("a coding", b" chunked"),
    _coding("no blank before a coding", b"chunked"),
    _coding("a blank after a coding", b" chunked "),
    _coding("tabs around a coding", b"\tchunked\t"),
    _coding("a coding in capitals", b" CHUNKED"),
    AnswerCase("a name in capitals", b"TRANSFER-ENCODING: Chunked\r\n", CHUNKS),
    _chunks("zeros before a size", b"002\r\n{}\r\n000\r\n\r\n"),
    _chunks("many zeros before a size", b"0" * 30 + b"2\r\n{}\r\n0\r\n\r\n"),
    _chunks("a size in lower case", b"a\r\n1234567890\r\n0\r\n\r\n")._replace(
        content=b"1234567890"
    ),
    _chunks("a size in capitals", b"A\r\n1234567890\r\n0\r\n\r\n")._replace(
        content=b"1234567890"
    ),
    AnswerCase(
        "a status without a body",
        status_line=b"HTTP/1.1 204 X\r\n",
        body=b"",
        content=b"",
    ),
    AnswerCase(
        "a coding without a body", CHUNKED, b"", b"HTTP/1.1 204 X\r\n", content=b""
    ),
    _chunks("an extension", b"2;a\r\n{}\r\n0;b=c\r\n\r\n"),
    _chunks("blanks in extensions", b"2 ; a = b\t;c\r\n{}\r\n0\r\n\r\n"),
    _chunks("a quoted extension", b'2;a="b;\\"c\xe9"\r\n{}\r\n0\r\n\r\n'),
    _chunks("a trailer", b"2\r\n{}\r\n0\r\nName: x\r\nEmpty:\r\n\r\n"),
    _chunks("two chunks", b"1\r\n{\r\n1\r\n}\r\n0\r\n\r\n"),
    _status("no reason", b"HTTP/1.1 200 "),
    _status("no blank after the status", b"HTTP/1.1 200"),
    _status("a reason of several words", b"HTTP/1.1 200 All\tis well"),
    _status("a reason beyond ASCII", b"HTTP/1.1 200 Gr\xfc\xdfe"),
    _status("a later minor version", b"HTTP/1.2 200 OK"),
    _status("version 1.0", b"HTTP/1.0 200 OK"),
    _line("an empty value", b"Name:"),
    _line("a value of blanks", b"Name: \t "),
    _line("a value with tabs", b"Name:\tx\ty\t"),
    _line("a value beyond ASCII", b"Name: \x85\xa0\xe9\xff"),
    _line("colons in a value", b"Name: x: y"),
    _line("all characters of a token", b"!#$%&'*+-.^_`|~09azAZ: x"),
    AnswerCase(
        "lines that end with LF", b"Content-Length: 2\n", BODY, b"HTTP/1.1 200 OK\n"
    ),
    AnswerCase("an interim answer", first=b"HTTP/1.1 103 X\r\nLink: </x>\r\n\r\n"),
    AnswerCase("until the connection ends", b"Connection: close\r\n"),
]
