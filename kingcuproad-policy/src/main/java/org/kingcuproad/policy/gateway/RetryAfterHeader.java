package org.kingcuproad.policy.gateway;

import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/** Reads the delay for which an upstream that rejects a request asks for no others. */
public final class RetryAfterHeader {

    private static final double MS_PER_SECOND = 1_000;

    /** Maximum delay that is returned; it can be added to any time without an overflow. */
    private static final long MAX_DELAY_MS = Long.MAX_VALUE / 4;

    private RetryAfterHeader() {}

    /**
     * Reads the delay from a response header.
     *
     * @param header seconds, with or without a fraction, or an HTTP date; null if the response has none
     * @param wallMs current time of day, in milliseconds since the epoch
     * @return the delay in milliseconds, or empty if there is none, or one that is malformed or not positive
     */
    public static OptionalLong parse(@Nullable String header, long wallMs) {
        if (header == null) {
            return OptionalLong.empty();
        }
        String text = header.strip();
        boolean number = !text.isEmpty() && "+-.0123456789".indexOf(text.charAt(0)) >= 0;
        return number ? parseSeconds(text) : parseDate(text, wallMs);
    }

    private static OptionalLong parseSeconds(String text) {
        try {
            double delayMs = Double.parseDouble(text) * MS_PER_SECOND;
            return delayMs > 0
                    ? OptionalLong.of((long) Math.min(MAX_DELAY_MS, Math.ceil(delayMs)))
                    : OptionalLong.empty();
        } catch (NumberFormatException malformed) {
            return OptionalLong.empty();
        }
    }

    private static OptionalLong parseDate(String text, long wallMs) {
        try {
            long delayMs = ZonedDateTime.parse(text, DateTimeFormatter.RFC_1123_DATE_TIME)
                            .toInstant()
                            .toEpochMilli()
                    - wallMs;
            return delayMs > 0 ? OptionalLong.of(Math.min(MAX_DELAY_MS, delayMs)) : OptionalLong.empty();
        } catch (DateTimeParseException malformed) {
            return OptionalLong.empty();
        }
    }
}
