package org.kingcuproad.policy.mapswitch;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.claim.StoreCall;
import org.kingcuproad.policy.claim.StoreResult;
import org.kingcuproad.policy.stream.Bytes;

/**
 * Acquires and renews one lease. The version of the lease object is the fencing token.
 *
 * <p>Clocks of different processes are never compared. A candidate takes over the lease after it has observed the same
 * version for {@link #LEASE_MS} on its own clock; a holder stops {@link #HOLD_MS} after the start of its last
 * successful write, which is earlier. The agents refuse a holder that was paused beyond its lease once they have seen a
 * higher token.
 */
public final class LeaseHolder {

    /** Time after which a lease that is not renewed may be taken over, in milliseconds. */
    public static final long LEASE_MS = 15_000;

    /** Interval between renewals, in milliseconds. */
    public static final long RENEW_INTERVAL_MS = 5_000;

    /**
     * Time from the start of the last successful renewal after which the holder no longer holds the lease, in
     * milliseconds; shorter than {@link #LEASE_MS}, so that a holder stops before a candidate may take over.
     */
    public static final long HOLD_MS = 12_000;

    /** Time after which a store call without a result is treated as uncertain, in milliseconds. */
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
     * @param holderId identifier that is unique to this start of the process, by which a write whose response was lost
     *     is recognised
     * @param nowMs current time
     */
    public LeaseHolder(String objectKey, String holderId, long nowMs) {
        this.objectKey = objectKey;
        this.holder = Bytes.wrap(holderId.getBytes(StandardCharsets.UTF_8));
        this.nextCallMs = nowMs;
        this.heldUntilMs = nowMs;
    }

    /**
     * Returns the fencing token while the lease is held.
     *
     * @param nowMs current time
     * @return the token, or empty
     */
    public OptionalLong token(long nowMs) {
        return nowMs < heldUntilMs ? OptionalLong.of(token) : OptionalLong.empty();
    }

    /**
     * Processes the timers that are due.
     *
     * @param nowMs current time
     * @return the store call to issue, or empty
     */
    public Optional<StoreCall> tick(long nowMs) {
        if (pending != null && nowMs - startedMs >= CALL_TIMEOUT_MS) {
            onResult(pending, new StoreResult.Uncertain(), nowMs);
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
     * Handles the result of a store call. Results of other calls than the pending one are ignored.
     *
     * @param call the call
     * @param result its result
     * @param nowMs current time
     */
    public void onResult(StoreCall call, StoreResult result, long nowMs) {
        if (!call.equals(pending)) {
            return;
        }
        pending = null;
        nextCallMs = nowMs + RENEW_INTERVAL_MS;
        switch (result) {
            case StoreResult.Written written -> onAcquired(written.version());
            case StoreResult.Found found -> onFound(found, nowMs);
            case StoreResult.Missing ignored -> onLost(true, nowMs);
            case StoreResult.Conflict ignored -> onLost(false, nowMs);
            case StoreResult.Uncertain ignored -> scheduleRead(false, nowMs + CALL_TIMEOUT_MS / 2);
            case StoreResult.Listed ignored -> scheduleRead(false, nowMs);
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

    private void onAcquired(long version) {
        token = version;
        seenVersion = version;
        seenSinceMs = startedMs;
        seenOwn = true;
        seenMissing = false;
        heldUntilMs = startedMs + HOLD_MS;
    }

    /**
     * Handles the lease object that a read returned. If it carries the own identifier, it was written by this process;
     * it is renewed at once, because the time of that write is not known.
     */
    private void onFound(StoreResult.Found found, long nowMs) {
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

    private void onLost(boolean missing, long nowMs) {
        heldUntilMs = Math.min(heldUntilMs, nowMs);
        scheduleRead(missing, nowMs);
    }

    private void scheduleRead(boolean missing, long atMs) {
        seenMissing = missing;
        seenOwn = false;
        seenVersion = 0;
        nextCallMs = atMs;
    }
}
