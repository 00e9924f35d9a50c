package org.kingcuproad.policy.mapswitch;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.claim.StoreCall;
import org.kingcuproad.policy.claim.StoreResult;
import org.kingcuproad.policy.stream.Bytes;

/**
 * Takes and renews one lease. The version of the lease object is the fencing token.
 *
 * <p>No two clocks are compared: a candidate takes the lease over after it saw the same version for a whole lease time
 * by its own clock, and a holder stops earlier than that, counted from the start of its last successful write. A holder
 * that is paused past its lease is refused by the agents, which have seen a higher token.
 */
public final class LeaseHolder {

    /** Time after which a lease that is not renewed may be taken over, in milliseconds. */
    public static final long LEASE_MS = 15_000;

    /** Time between renewals, in milliseconds. */
    public static final long RENEW_MS = 5_000;

    /** Time after the last renewal began at which a holder stops; earlier than a candidate may take over. */
    public static final long HOLD_MS = 12_000;

    /** Time after which a store call without a result counts as uncertain, in milliseconds. */
    public static final long CALL_TIMEOUT_MS = 2_000;

    private final String objectKey;
    private final Bytes holder;
    private @Nullable StoreCall pending;
    private long startedMs;
    private long nextCallMs;
    private long seenVersion;
    private long seenSinceMs;
    private boolean seenMissing;
    private boolean seenOwn;
    private long token;
    private long heldUntilMs;

    /**
     * Creates a candidate.
     *
     * @param objectKey key of the lease object
     * @param holderId unique identifier of this process and start, which settles a write whose response was lost
     * @param nowMs present time
     */
    public LeaseHolder(String objectKey, String holderId, long nowMs) {
        this.objectKey = objectKey;
        this.holder = Bytes.wrap(holderId.getBytes(StandardCharsets.UTF_8));
        this.nextCallMs = nowMs;
        this.heldUntilMs = nowMs;
    }

    /**
     * Returns the fencing token as long as the lease is held.
     *
     * @param nowMs present time
     * @return the token, or empty
     */
    public OptionalLong token(long nowMs) {
        return nowMs < heldUntilMs ? OptionalLong.of(token) : OptionalLong.empty();
    }

    /**
     * Lets time pass.
     *
     * @param nowMs present time
     * @return a store call to make, or empty
     */
    public Optional<StoreCall> tick(long nowMs) {
        if (pending != null && nowMs - startedMs >= CALL_TIMEOUT_MS) {
            result(pending, new StoreResult.Uncertain(), nowMs);
        }
        if (pending != null || nowMs < nextCallMs) {
            return Optional.empty();
        }
        StoreCall call = nextCall(nowMs);
        pending = call;
        startedMs = nowMs;
        return Optional.of(call);
    }

    /**
     * Takes the result of a store call.
     *
     * @param call the call
     * @param result its result
     * @param nowMs present time
     */
    public void result(StoreCall call, StoreResult result, long nowMs) {
        if (!call.equals(pending)) {
            return;
        }
        pending = null;
        nextCallMs = nowMs + RENEW_MS;
        switch (result) {
            case StoreResult.Written written -> own(written.version());
            case StoreResult.Found found -> found(found, nowMs);
            case StoreResult.Missing ignored -> lost(true, nowMs);
            case StoreResult.Conflict ignored -> lost(false, nowMs);
            case StoreResult.Uncertain ignored -> readAgain(false, nowMs + CALL_TIMEOUT_MS / 2);
            case StoreResult.Listed ignored -> readAgain(false, nowMs);
        }
    }

    private StoreCall nextCall(long nowMs) {
        if (seenMissing) {
            return new StoreCall.Create(objectKey, holder);
        }
        boolean expired = seenVersion != 0 && nowMs - seenSinceMs >= LEASE_MS;
        return seenOwn || expired
                ? new StoreCall.Update(objectKey, holder, seenVersion)
                : new StoreCall.Read(objectKey);
    }

    private void own(long version) {
        token = version;
        seenVersion = version;
        seenSinceMs = startedMs;
        seenOwn = true;
        seenMissing = false;
        heldUntilMs = startedMs + HOLD_MS;
    }

    /** A version read with the own identifier is an own write; it is renewed at once to learn when it was made. */
    private void found(StoreResult.Found found, long nowMs) {
        seenMissing = false;
        seenOwn = found.value().equals(holder);
        if (found.version() != seenVersion) {
            seenVersion = found.version();
            seenSinceMs = nowMs;
        }
        if (seenOwn) {
            nextCallMs = nowMs;
        }
    }

    private void lost(boolean missing, long nowMs) {
        heldUntilMs = Math.min(heldUntilMs, nowMs);
        readAgain(missing, nowMs);
    }

    private void readAgain(boolean missing, long atMs) {
        seenMissing = missing;
        seenOwn = false;
        seenVersion = 0;
        nextCallMs = atMs;
    }
}
