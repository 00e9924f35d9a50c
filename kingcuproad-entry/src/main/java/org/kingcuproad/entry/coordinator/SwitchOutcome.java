package org.kingcuproad.entry.coordinator;

/**
 * How a map switch ended for its coordinator.
 *
 * @param mapVersion version of the map, or 0 if the switch did not begin
 * @param committed whether all ranks promised. If not, the ranks settle on one map among themselves, which may be the
 *     new one
 * @param reason why not, or an empty string
 */
public record SwitchOutcome(long mapVersion, boolean committed, String reason) {

    static SwitchOutcome refused(String reason) {
        return new SwitchOutcome(0, false, reason);
    }
}
