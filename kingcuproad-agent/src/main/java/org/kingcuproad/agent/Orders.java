package org.kingcuproad.agent;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.claim.BoundKey;
import org.kingcuproad.policy.claim.Order;
import org.kingcuproad.wire.proto.Dispatch;

/** Reads from a dispatch what decides whether it may run. */
final class Orders {

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Orders() {}

    static Order of(Dispatch dispatch) {
        String key = key(dispatch);
        return new Order(
                dispatch.getRequestId(),
                dispatch.getAttempt(),
                dispatch.getIncarnation(),
                dispatch.getIdempotent(),
                key,
                key == null ? 0 : digest(dispatch));
    }

    /**
     * Returns the key under which an order is recorded. Two workspaces may choose the same key, so a key that is not
     * bound is qualified by its workspace.
     */
    private static @Nullable String key(Dispatch dispatch) {
        String key = dispatch.getIdempotencyKey();
        if (key.isEmpty()) {
            return null;
        }
        return BoundKey.looksBound(key) ? key : dispatch.getWorkspace() + "/" + key;
    }

    private static long digest(Dispatch dispatch) {
        long[] parts = {
            HASH.hashChars(dispatch.getWorkspace()),
            HASH.hashChars(dispatch.getMethod()),
            HASH.hashChars(dispatch.getPath()),
            HASH.hashBytes(dispatch.getBody().toByteArray())
        };
        return HASH.hashLongs(parts);
    }
}
