package org.kingcuproad.policy.gateway;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Reads the prompt parts that a request may have in common with other requests. */
public final class SharedPromptParts {

    /** Maximum length of an id that is kept as it is, in characters; longer ones are replaced by a hash. */
    private static final int MAX_ID_LENGTH = 32;

    private static final String HASH_ALGORITHM = "SHA-256";
    private static final int HASH_BYTES = MAX_ID_LENGTH / 2;

    private SharedPromptParts() {}

    /**
     * Reads the parts from a header. No part is left out, since each may be the one on which upstreams crash; their
     * number is bounded by the size of the request's head.
     *
     * @param header parts in the order of the prompt, as {@code id:tokens} separated by commas, or null if there are
     *     none
     * @return ids of all parts but the last, which belongs to the request alone, each of at most 32 characters; parts
     *     without an id are left out
     */
    public static List<String> parse(@Nullable String header) {
        if (header == null) {
            return List.of();
        }
        String[] parts = header.split(",", -1);
        return Arrays.stream(parts)
                .limit(parts.length - 1L)
                .map(part -> part.split(":", 2)[0].strip())
                .filter(id -> !id.isEmpty())
                .map(SharedPromptParts::shorten)
                .distinct()
                .toList();
    }

    private static String shorten(String id) {
        if (id.length() <= MAX_ID_LENGTH) {
            return id;
        }
        try {
            byte[] hash = MessageDigest.getInstance(HASH_ALGORITHM).digest(id.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, HASH_BYTES);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("each Java platform has " + HASH_ALGORITHM, impossible);
        }
    }
}
