package org.kingcuproad.policy.lockstep;

/**
 * Shape of a group.
 *
 * @param sets sets of layers that have a map of their own
 * @param experts experts of a set
 * @param places experts of a set that a rank can hold
 * @param spare experts of a set that a rank can take in at once
 */
public record GroupShape(int sets, int experts, int places, int spare) {}
