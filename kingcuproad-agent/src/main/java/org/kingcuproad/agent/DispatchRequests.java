package org.kingcuproad.agent;

import net.openhft.hashing.LongHashFunction;
import org.kingcuproad.policy.claim.DispatchRequest;
import org.kingcuproad.wire.proto.Dispatch;

/** Extracts the fields of a dispatch that decide whether it may be executed. */
final class DispatchRequests {

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private DispatchRequests() {}

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
            // Copied, because hashing a ByteBuffer with this library requires --add-opens on this JDK.
            HASH.hashBytes(dispatch.getBody().toByteArray())
        };
        return HASH.hashLongs(parts);
    }
}
