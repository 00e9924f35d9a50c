package org.kingcuproad.ctl.load;

import java.util.Map;

/**
 * Result of a run.
 *
 * @param due requests that were due in the measured interval
 * @param complete requests of the interval with a complete response
 * @param incomplete requests of the interval whose successful response failed the check, by fault
 * @param errors requests of the interval that failed, by kind
 * @param unfinished requests without a response at the end of the run
 * @param requestsPerSecond complete responses that arrived in the interval
 * @param tokensPerSecond tokens of streams that arrived in the interval
 * @param firstByte time to the first byte of the body
 * @param tokenGap time between two arrivals of tokens
 * @param total time to the end of complete responses
 */
public record LoadSummary(
        long due,
        long complete,
        Map<String, Long> incomplete,
        Map<String, Long> errors,
        long unfinished,
        double requestsPerSecond,
        double tokensPerSecond,
        Percentiles firstByte,
        Percentiles tokenGap,
        Percentiles total) {

    /**
     * Tells whether every request got its complete response.
     *
     * @return whether no request failed, got an incomplete response or is unfinished
     */
    public boolean faultless() {
        return complete > 0 && incomplete.isEmpty() && errors.isEmpty() && unfinished == 0;
    }
}
