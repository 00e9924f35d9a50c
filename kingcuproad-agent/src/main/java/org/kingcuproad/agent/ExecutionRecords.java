package org.kingcuproad.agent;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.claim.ExecutionRecord;

/**
 * The current execution record and the previous one. A full record is replaced by an empty one with a new incarnation;
 * the previous record is still consulted for its own requests.
 */
final class ExecutionRecords {

    private static final LongHashFunction NEXT_INCARNATION_HASH = LongHashFunction.xx3(6);

    private final int maxRemembered;
    private ExecutionRecord current;
    private @Nullable ExecutionRecord retired;
    private long retiredMs;
    private boolean draining;

    ExecutionRecords(long incarnation, int maxRemembered) {
        this.maxRemembered = maxRemembered;
        this.current = new ExecutionRecord(incarnation, maxRemembered);
    }

    ExecutionRecord current() {
        return current;
    }

    /** Returns the record of an incarnation, or else the current record, which refuses other incarnations. */
    ExecutionRecord forIncarnation(long incarnation) {
        ExecutionRecord previous = retired;
        return previous != null && previous.incarnation() == incarnation ? previous : current;
    }

    void startDraining() {
        draining = true;
        current.startDraining();
    }

    /**
     * Replaces the current record if it is full, and drops the previous record once no request can refer to it.
     *
     * @param nowMs current time
     * @return {@code true} if the incarnation changed
     */
    boolean replaceIfFull(long nowMs) {
        ExecutionRecord previous = retired;
        if (previous != null && previous.idle() && nowMs - retiredMs >= ExecutionRecord.RETENTION_MS) {
            retired = null;
        }
        // The heap has room for two records of 4 MiB but not for three. Until the previous one is dropped, a full
        // record refuses new requests.
        if (!current.full() || retired != null) {
            return false;
        }
        retired = current;
        retiredMs = nowMs;
        long nextIncarnation = NEXT_INCARNATION_HASH.hashLong(current.incarnation());
        current = new ExecutionRecord(nextIncarnation == 0 ? 1 : nextIncarnation, maxRemembered);
        if (draining) {
            current.startDraining();
        }
        return true;
    }
}
