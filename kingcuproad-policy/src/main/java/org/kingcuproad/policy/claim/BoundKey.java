package org.kingcuproad.policy.claim;

import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An idempotency key that names the only agent incarnation that may execute its request, so that no store call is
 * needed.
 *
 * <p>Its text form is {@code kb1.<upstream>.<incarnation>.<random>}, with incarnation and random part as 16 hexadecimal
 * digits.
 *
 * @param upstream name of the upstream
 * @param incarnation incarnation of its agent
 * @param random random part, which makes the key unique
 */
public record BoundKey(String upstream, long incarnation, long random) {

    private static final String PREFIX = "kb1.";
    private static final Pattern TEXT = Pattern.compile("kb1\\.(.+)\\.([0-9a-f]{16})\\.([0-9a-f]{16})");

    /**
     * Parses an idempotency key.
     *
     * @param text idempotency key of a caller
     * @return the bound key, or empty if the text is not one
     */
    public static Optional<BoundKey> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new BoundKey(
                matcher.group(1),
                HexFormat.fromHexDigitsToLong(matcher.group(2)),
                HexFormat.fromHexDigitsToLong(matcher.group(3))));
    }

    /**
     * Returns whether a key has the prefix of a bound key. A key with the prefix that cannot be parsed is refused as a
     * bad request, because the caller relies on its guarantee.
     *
     * @param text idempotency key of a caller
     * @return {@code true} if it starts with the prefix of a bound key
     */
    public static boolean looksBound(String text) {
        return text.startsWith(PREFIX);
    }

    /**
     * Returns the key as callers send it.
     *
     * @return the text of the key
     */
    public String text() {
        HexFormat hex = HexFormat.of();
        return PREFIX + upstream + "." + hex.toHexDigits(incarnation) + "." + hex.toHexDigits(random);
    }
}
