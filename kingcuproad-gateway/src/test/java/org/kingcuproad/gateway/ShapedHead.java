package org.kingcuproad.gateway;

/** What an upstream in trouble makes of the head of a response, so that the protocol doesn't have it any more. */
enum ShapedHead {
    PROPER("", ""),
    STATUS_OF_FOUR_DIGITS("^HTTP/1.1 (\\d\\d\\d)", "HTTP/1.1 $1\\0"),
    STATUS_OF_TWO_DIGITS("^HTTP/1.1 (\\d\\d)\\d", "HTTP/1.1 $1"),
    SIGNED_STATUS("^HTTP/1.1 ", "HTTP/1.1 +"),
    UNKNOWN_STATUS("^HTTP/1.1 \\d\\d\\d", "HTTP/1.1 700"),
    TWO_SPACES("^HTTP/1.1 ", "HTTP/1.1  "),
    OTHER_VERSION("^HTTP/1.1 ", "HTTP/9.9 "),
    LOWER_CASE_VERSION("^HTTP/1.1 ", "http/1.1 "),
    LINE_END_BEFORE("^HTTP/1.1 ", "\r\nHTTP/1.1 "),
    SWITCHED_PROTOCOL("^HTTP/1.1 \\d\\d\\d", "HTTP/1.1 101"),
    UNKNOWN_CODING("\r\nTransfer-Encoding: chunked", "\r\nTransfer-Encoding: xchunked"),
    IDENTITY_CODING("\r\nTransfer-Encoding: chunked", "\r\nTransfer-Encoding: identity"),
    SECOND_CODING("\r\nTransfer-Encoding: chunked", "\r\nTransfer-Encoding: gzip, chunked"),
    CHUNKED_TWICE("\r\nTransfer-Encoding: chunked", "\r\nTransfer-Encoding: chunked, chunked"),
    TWO_CODINGS("(\r\nTransfer-Encoding: chunked)", "$1$1"),
    LENGTH_AND_CHUNKS("(\r\nTransfer-Encoding: chunked)", "\r\nContent-Length: 4$1"),
    TWO_LENGTHS("\r\nContent-Length: (\\d+)", "\r\nContent-Length: $1\r\nContent-Length: 1$1"),
    ENCODED("\r\nContent-Type:", "\r\nContent-Encoding: gzip\r\nContent-Type:"),
    EMPTY_SEAL("(?s)^(HTTP/1.1 2.*?)\r\nX-Seal: [^\r]*", "$1\r\nX-Seal: "),
    NO_SEAL("(?s)^(HTTP/1.1 2.*?)\r\nX-Seal: [^\r]*", "$1"),
    TWO_SEALS("(\r\nX-Seal: [^\r]*)", "$1$1-2"),
    NO_ID("(?s)^(HTTP/1.1 2.*?)\r\nX-Request: [^\r]*", "$1"),
    EMPTY_ID("\r\nX-Request: [^\r]*", "\r\nX-Request: "),
    FOREIGN_ID("\r\nX-Request: [^\r]*", "\r\nX-Request: other"),
    TWO_IDS("(\r\nX-Request: [^\r]*)", "$1\r\nX-Request: other");

    private final String pattern;
    private final String replacement;

    ShapedHead(String pattern, String replacement) {
        this.pattern = pattern;
        this.replacement = replacement;
    }

    /** Returns the head in this shape, or unchanged if it has nothing that the shape could change. */
    String of(String properHead) {
        return properHead.replaceFirst(pattern, replacement);
    }
}
