package org.kingcuproad.agent;

import java.util.Locale;
import java.util.Set;
import org.kingcuproad.runtime.http.HopHeaders;

/** Headers that are not forwarded, because each connection of the agent sets its own. */
final class UnforwardedHeaders {

    private static final Set<String> NAMES = Set.of("content-length", "host");

    private UnforwardedHeaders() {}

    static boolean contains(String name) {
        return HopHeaders.contains(name) || NAMES.contains(name.toLowerCase(Locale.ROOT));
    }
}
