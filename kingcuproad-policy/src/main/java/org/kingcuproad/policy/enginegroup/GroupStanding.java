package org.kingcuproad.policy.enginegroup;

/**
 * State of an engine's group at a time.
 *
 * @param name name of the group
 * @param status whether the group takes requests
 * @param openShare share of its slots that may be used, from 0 while stopped to 1
 * @param passMs mean duration of a pass in milliseconds, 0 if unknown
 * @param copying whether experts are being copied
 */
public record GroupStanding(String name, Status status, double openShare, double passMs, boolean copying) {

    /** The closed list of statuses. */
    public enum Status {
        /** All slots may be used. */
        OPEN,
        /** The group has just opened, and its traffic is ramped up. */
        RAMPING,
        /** No rank runs requests. */
        STOPPED
    }

    /**
     * Returns whether new requests may be sent to the group.
     *
     * @return {@code false} while it is stopped
     */
    public boolean takesRequests() {
        return status != Status.STOPPED;
    }

    /**
     * Reduces a limit on the requests in progress at a rank while traffic is ramped up.
     *
     * @param limit the usual limit
     * @return the limit at this time, at least 1 for a group that takes requests
     */
    public int rampedLimit(int limit) {
        return Math.min(limit, (int) Math.ceil(limit * openShare));
    }
}
