package org.kingcuproad.platform;

/** What became of a conditional write. */
public sealed interface WriteResult {

    /**
     * The write took effect.
     *
     * @param version version that the write made
     */
    record Written(long version) implements WriteResult {}

    /**
     * The condition did not hold, so the write had no effect.
     *
     * @param currentVersion version of the object, or 0 if there is none
     */
    record VersionConflict(long currentVersion) implements WriteResult {}

    /**
     * The store did not answer, or refused the call for another reason than its condition.
     *
     * @param detail what went wrong
     * @param maybeApplied whether the write may have taken effect, or may do so later
     */
    record Unavailable(String detail, boolean maybeApplied) implements WriteResult {}
}
