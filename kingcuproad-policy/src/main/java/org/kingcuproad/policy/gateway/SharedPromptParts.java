package org.kingcuproad.policy.gateway;

import java.util.Arrays;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Reads the prompt parts that a request may have in common with other requests. */
public final class SharedPromptParts {

    /** Maximum number of parts that are kept; clients choose the header, and the parts are remembered and sent on. */
    private static final int MAX_PARTS = 16;

    /** Maximum length of the id of a part, in characters. */
    private static final int MAX_ID_LENGTH = 32;

    private SharedPromptParts() {}

    /**
     * Reads the parts from a header.
     *
     * @param header parts in the order of the prompt, as {@code id:tokens} separated by commas, or null if there are
     *     none
     * @return ids of all parts but the last, which belongs to the request alone; parts without a usable id are left out
     */
    public static List<String> parse(@Nullable String header) {
        if (header == null) {
            return List.of();
        }
        String[] parts = header.split(",", -1);
        return Arrays.stream(parts)
                .limit(parts.length - 1L)
                .map(part -> part.split(":", 2)[0].strip())
                .filter(id -> !id.isEmpty() && id.length() <= MAX_ID_LENGTH)
                .distinct()
                .limit(MAX_PARTS)
                .toList();
    }
}
