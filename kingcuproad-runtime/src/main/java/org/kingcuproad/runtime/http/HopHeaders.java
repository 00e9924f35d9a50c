package org.kingcuproad.runtime.http;

import java.util.Locale;
import java.util.Set;

/** Headers that concern one connection only and are not passed on (RFC 9110, section 7.6.1). */
public final class HopHeaders {

    private static final Set<String> NAMES = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private HopHeaders() {}

    /**
     * Tells whether a header concerns one connection only.
     *
     * @param name name of the header, in any case
     * @return {@code true} if it is not passed on
     */
    public static boolean contains(String name) {
        return NAMES.contains(name.toLowerCase(Locale.ROOT));
    }
}
