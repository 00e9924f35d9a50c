package org.kingcuproad.emulator.engine;

/**
 * How the ranks of a stand-in group advance and change their expert map.
 *
 * @param group name of the group
 * @param ranksPerEngine ranks that each engine of the group hosts
 * @param stepMs time of one step
 * @param loadMs time to load the weights of a map
 * @param checksFencing whether the engines refuse commands with an old fencing token
 */
public record GroupSettings(String group, int ranksPerEngine, long stepMs, long loadMs, boolean checksFencing) {

    /**
     * Creates settings of a group whose engines load a map at once and check fencing tokens.
     *
     * @param group name of the group
     * @param ranksPerEngine ranks that each engine of the group hosts
     * @param stepMs time of one step
     * @return the settings
     */
    public static GroupSettings of(String group, int ranksPerEngine, long stepMs) {
        return new GroupSettings(group, ranksPerEngine, stepMs, 0, true);
    }

    /**
     * Replaces the time to load.
     *
     * @param newLoadMs time to load the weights of a map
     * @return a copy with the time
     */
    public GroupSettings withLoadMs(long newLoadMs) {
        return new GroupSettings(group, ranksPerEngine, stepMs, newLoadMs, checksFencing);
    }

    /**
     * Makes the engines ignore fencing tokens.
     *
     * @return a copy without the check
     */
    public GroupSettings withoutFencing() {
        return new GroupSettings(group, ranksPerEngine, stepMs, loadMs, false);
    }
}
