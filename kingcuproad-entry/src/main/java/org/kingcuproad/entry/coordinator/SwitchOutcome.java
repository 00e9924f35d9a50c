package org.kingcuproad.entry.coordinator;

/**
 * Result of a map switch as observed by its coordinator.
 *
 * @param mapVersion version of the map, or 0 if the switch did not start
 * @param committed whether all ranks promised; if not, the ranks agree on one map among themselves, which may be the
 *     new one
 * @param reason why the switch was not committed, or an empty string
 */
public record SwitchOutcome(long mapVersion, boolean committed, String reason) {

    static SwitchOutcome refused(String reason) {
        return new SwitchOutcome(0, false, reason);
    }
}
