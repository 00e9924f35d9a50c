package org.kingcuproad.gateway.rank;

import java.io.IOException;
import org.kingcuproad.policy.lockstep.EngineOrder;

/** How an engine is asked and told. */
public interface EngineDialect {

    /**
     * Returns the request target of the report.
     *
     * @return a request target
     */
    String reportTarget();

    /**
     * Reads a report.
     *
     * @param body body of the answer
     * @return the report
     * @throws IOException if the body can't be read
     */
    EngineReport readReport(byte[] body) throws IOException;

    /**
     * Returns the request target of the counters of chosen experts.
     *
     * @return a request target
     */
    String countersTarget();

    /**
     * Reads the counters.
     *
     * @param body body of the answer
     * @return how often each expert was chosen since the engine started, set by set
     * @throws IOException if the body can't be read
     */
    long[] readCounters(byte[] body) throws IOException;

    /**
     * Returns the request target of the experts that the engine holds.
     *
     * @return a request target
     */
    String expertsTarget();

    /**
     * Reads the experts of the map in use.
     *
     * @param body body of the answer
     * @return the experts
     * @throws IOException if the body can't be read
     */
    HeldExperts readExperts(byte[] body) throws IOException;

    /**
     * Returns the request target of orders.
     *
     * @return a request target
     */
    String orderTarget();

    /**
     * Writes an order.
     *
     * @param order the order
     * @param epoch number of the group's formation that the order is for
     * @return body of the call
     */
    byte[] writeOrder(EngineOrder order, long epoch);

    /**
     * Experts that an engine holds.
     *
     * @param mapVersion version of the map
     * @param bySet experts by set
     */
    @SuppressWarnings("ArrayRecordComponent")
    record HeldExperts(long mapVersion, int[][] bySet) {}
}
