package org.kingcuproad.emulator.engine;

/**
 * The expert map that a rank used in a step.
 *
 * @param rank number of the rank in its group
 * @param step number of the step
 * @param mapVersion version of the map
 */
public record MapStep(int rank, long step, long mapVersion) {}
