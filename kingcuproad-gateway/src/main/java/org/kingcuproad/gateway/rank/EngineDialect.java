package org.kingcuproad.gateway.rank;

import java.io.IOException;
import org.kingcuproad.policy.lockstep.EngineOrder;

/** Request targets and body formats of the HTTP interface of a model engine. */
public interface EngineDialect {

    /**
     * Returns the request target at which the engine reports its state.
     *
     * @return a request target
     */
    String reportTarget();

    /**
     * Parses a report.
     *
     * @param body body of the response
     * @return the report
     * @throws IOException if the body is malformed
     */
    EngineReport readReport(byte[] body) throws IOException;

    /**
     * Returns the request target of the choice counters of the experts.
     *
     * @return a request target
     */
    String countersTarget();

    /**
     * Parses the choice counters.
     *
     * @param body body of the response
     * @return how often each expert was chosen since the engine started, set by set
     * @throws IOException if the body is malformed
     */
    long[] readCounters(byte[] body) throws IOException;

    /**
     * Returns the request target of the experts that the engine holds.
     *
     * @return a request target
     */
    String expertsTarget();

    /**
     * Parses the experts that the engine holds with the map in use.
     *
     * @param body body of the response
     * @return the experts
     * @throws IOException if the body is malformed
     */
    HeldExperts readExperts(byte[] body) throws IOException;

    /**
     * Returns the request target to which orders are sent.
     *
     * @return a request target
     */
    String orderTarget();

    /**
     * Encodes an order.
     *
     * @param order the order
     * @param epoch formation number of the group for which the order is valid
     * @return body of the request
     */
    byte[] writeOrder(EngineOrder order, long epoch);

    /**
     * Experts that an engine holds.
     *
     * @param mapVersion version of the map in use
     * @param bySet experts by set, in any order
     */
    @SuppressWarnings("ArrayRecordComponent")
    record HeldExperts(long mapVersion, int[][] bySet) {}
}
