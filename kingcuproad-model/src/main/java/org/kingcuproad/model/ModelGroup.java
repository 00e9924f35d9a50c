package org.kingcuproad.model;

/**
 * Ranks that run one model in lock-step on one expert map.
 *
 * @param name unique name of the group
 * @param model name of the model that the group runs
 * @param ranks number of ranks
 * @param layers number of expert layers
 * @param expertsPerLayer experts of each layer
 * @param slotsPerRank expert slots of each rank in each layer
 */
public record ModelGroup(String name, String model, int ranks, int layers, int expertsPerLayer, int slotsPerRank) {}
