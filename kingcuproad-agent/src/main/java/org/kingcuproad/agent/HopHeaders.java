package org.kingcuproad.agent;

import java.util.Locale;
import java.util.Set;

/** Headers that belong to one connection and are not passed on. */
final class HopHeaders {

    private static final Set<String> NAMES = Set.of(
            "connection",
            "content-length",
            "host",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private HopHeaders() {}

    static boolean contains(String name) {
        return NAMES.contains(name.toLowerCase(Locale.ROOT));
    }
}
