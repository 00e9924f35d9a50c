package org.kingcuproad.policy.claim;

import org.jspecify.annotations.Nullable;

/**
 * What the agent needs of a dispatch to decide whether it may run.
 *
 * @param requestId identifier that the entry generated; every attempt of a request carries the same
 * @param attempt number of the attempt
 * @param incarnation incarnation the entry chose; zero means any, which only idempotent requests may say
 * @param idempotent whether the request may run more than once
 * @param workspace workspace of the caller; keys of different workspaces are different
 * @param key idempotency key of the caller, or absent
 * @param requestDigest 64-bit digest of method, path and body
 */
public record Order(
        String requestId,
        int attempt,
        long incarnation,
        boolean idempotent,
        String workspace,
        @Nullable String key,
        long requestDigest) {

    /**
     * Returns the key with its workspace.
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
