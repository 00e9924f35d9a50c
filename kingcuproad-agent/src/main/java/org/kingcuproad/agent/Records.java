package org.kingcuproad.agent;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.claim.ExecutionRecord;

/**
 * The execution record in use and the one before it. A record that is full is replaced by an empty one under a new
 * incarnation; the old one still answers for its own requests.
 */
final class Records {

    private static final LongHashFunction NEXT_INCARNATION = LongHashFunction.xx3(6);

    private final int maxRemembered;
    private ExecutionRecord current;
    private @Nullable ExecutionRecord retired;
    private long retiredMs;
    private boolean draining;

    Records(long incarnation, int maxRemembered) {
        this.maxRemembered = maxRemembered;
        this.current = new ExecutionRecord(incarnation, maxRemembered);
    }

    ExecutionRecord current() {
        return current;
    }

    /** Returns the record of an incarnation, or the one in use, which refuses other incarnations. */
    ExecutionRecord named(long incarnation) {
        ExecutionRecord before = retired;
        return before != null && before.incarnation() == incarnation ? before : current;
    }

    void startDraining() {
        draining = true;
        current.startDraining();
    }

    /**
     * Replaces a full record, and forgets the one before it when nothing can ask for it any more.
     *
     * @param nowMs present time
     * @return {@code true} if the incarnation changed
     */
    boolean renew(long nowMs) {
        ExecutionRecord before = retired;
        if (before != null && before.idle() && nowMs - retiredMs >= ExecutionRecord.RETENTION_MS) {
            retired = null;
        }
        // Two records of 4 MiB fit into the heap, three do not; until then a full record refuses new work.
        if (!current.full() || retired != null) {
            return false;
        }
        retired = current;
        retiredMs = nowMs;
        long next = NEXT_INCARNATION.hashLong(current.incarnation());
        current = new ExecutionRecord(next == 0 ? 1 : next, maxRemembered);
        if (draining) {
            current.startDraining();
        }
        return true;
    }
}
