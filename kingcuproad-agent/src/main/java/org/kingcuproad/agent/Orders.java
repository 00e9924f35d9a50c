package org.kingcuproad.agent;

import net.openhft.hashing.LongHashFunction;
import org.kingcuproad.policy.claim.DispatchRequest;
import org.kingcuproad.wire.proto.Dispatch;

/** Reads from a dispatch what decides whether it may run. */
final class Orders {

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Orders() {}

    static DispatchRequest of(Dispatch dispatch) {
        String key = dispatch.getIdempotencyKey().isEmpty() ? null : dispatch.getIdempotencyKey();
        return new DispatchRequest(
                dispatch.getRequestId(),
                dispatch.getAttempt(),
                dispatch.getIncarnation(),
                dispatch.getIdempotent(),
                dispatch.getWorkspace(),
                key,
                key == null ? 0 : digest(dispatch));
    }

    private static long digest(Dispatch dispatch) {
        long[] parts = {
            HASH.hashChars(dispatch.getMethod()),
            HASH.hashChars(dispatch.getPath()),
            // A copy, because the library cannot read a buffer on this JDK without an opened module.
            HASH.hashBytes(dispatch.getBody().toByteArray())
        };
        return HASH.hashLongs(parts);
    }
}
