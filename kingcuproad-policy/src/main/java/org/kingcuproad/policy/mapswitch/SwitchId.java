package org.kingcuproad.policy.mapswitch;

/**
 * Identity of a map switch. The map version is the version of the map object in the store, so it identifies the content
 * of the map.
 *
 * @param mapVersion version of the new map
 * @param step first step that uses it
 */
public record SwitchId(long mapVersion, long step) {}
