package org.kingcuproad.experiment.lockstep;

import java.util.List;

/**
 * What happens in one run of the simulation.
 *
 * @param parts requests
 * @param seconds length of the run after two seconds of warm-up
 * @param lossMs time at which engines stop accepting requests, in milliseconds
 * @param lostRanks number of these engines
 */
record SimulatedLoad(List<LoadPart> parts, double seconds, double lossMs, int lostRanks) {

    static SimulatedLoad of(double seconds, LoadPart... parts) {
        return new SimulatedLoad(List.of(parts), seconds, Double.MAX_VALUE, 0);
    }
}
