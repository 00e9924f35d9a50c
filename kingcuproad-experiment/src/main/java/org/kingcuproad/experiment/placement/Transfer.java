package org.kingcuproad.experiment.placement;

import org.kingcuproad.policy.placement.ExpertMap;

/**
 * Weights to load before a switch of the map.
 *
 * @param next map after the switch
 * @param bytes size of the weights
 * @param readyAtMs time at which all weights have arrived, in milliseconds
 */
record Transfer(ExpertMap next, long bytes, long readyAtMs) {}
