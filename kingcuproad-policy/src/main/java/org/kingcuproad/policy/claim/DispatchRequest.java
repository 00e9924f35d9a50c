package org.kingcuproad.policy.claim;

import org.jspecify.annotations.Nullable;

/**
 * The fields of a dispatch that decide whether the agent may execute it.
 *
 * @param requestId identifier that the entry generated; all attempts of a request have the same one
 * @param attempt number of the attempt
 * @param incarnation incarnation that the entry selected; zero means any, which is allowed only for idempotent requests
 * @param idempotent whether the request may be executed more than once
 * @param workspace workspace of the caller, which is the scope of its idempotency keys
 * @param key idempotency key of the caller, or absent
 * @param requestDigest 64-bit digest of method, path and body
 */
public record DispatchRequest(
        String requestId,
        int attempt,
        long incarnation,
        boolean idempotent,
        String workspace,
        @Nullable String key,
        long requestDigest) {

    /**
     * Returns the key qualified by its workspace.
     *
     * @return the key as the execution record indexes it, or absent
     */
    @Nullable
    String scopedKey() {
        return key == null ? null : scopedKey(workspace, key);
    }

    static String scopedKey(String workspace, String key) {
        return workspace + '\n' + key;
    }
}
