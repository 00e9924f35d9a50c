package org.kingcuproad.policy.gateway;

import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;

/** Reads the number of requests a second that an upstream says it accepts. */
public final class AnnouncedLimit {

    private AnnouncedLimit() {}

    /**
     * Reads the limit from a response header.
     *
     * @param header a decimal number, or null if the response has none
     * @return requests a second, or empty if the upstream states no limit or one that is not a number
     */
    public static OptionalDouble parse(@Nullable String header) {
        if (header == null) {
            return OptionalDouble.empty();
        }
        try {
            double perSecond = Double.parseDouble(header.strip());
            return Double.isFinite(perSecond) && perSecond >= 0 ? OptionalDouble.of(perSecond) : OptionalDouble.empty();
        } catch (NumberFormatException malformed) {
            return OptionalDouble.empty();
        }
    }
}
