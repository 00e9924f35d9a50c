package org.kingcuproad.emulator.engine;

/**
 * How a stand-in engine listens, how fast it is and how it fails.
 *
 * @param host IP address to listen on
 * @param port TCP port, or 0 for any free one
 * @param firstTokenMs time from the start of a run to its first token
 * @param tokenMs time between two tokens; 0 sends each token as soon as the one before it was written
 * @param maxConcurrent runs at the same time; further ones wait in arrival order
 * @param maxWaiting requests that may wait; further ones are answered with status 503
 * @param reportLagMs age of the figures that the load report shows
 * @param closeAfterTokens number of tokens after which each run closes its connection, or {@link #NEVER}
 * @param stallAfterTokens number of tokens after which each run goes silent, or {@link #NEVER}
 */
public record EngineSettings(
        String host,
        int port,
        long firstTokenMs,
        long tokenMs,
        int maxConcurrent,
        int maxWaiting,
        long reportLagMs,
        int closeAfterTokens,
        int stallAfterTokens) {

    /** Value of a token count that no run reaches. */
    public static final int NEVER = Integer.MAX_VALUE;

    private static final int DEFAULT_MAX_CONCURRENT = 32;
    private static final int DEFAULT_MAX_WAITING = 1_024;

    /**
     * Creates settings of an engine that answers without delay, without faults and with a current load report.
     *
     * @param host IP address to listen on
     * @param port TCP port, or 0 for any free one
     * @return the settings
     */
    public static EngineSettings of(String host, int port) {
        return new EngineSettings(host, port, 0, 0, DEFAULT_MAX_CONCURRENT, DEFAULT_MAX_WAITING, 0, NEVER, NEVER);
    }

    /**
     * Replaces the speed.
     *
     * @param newFirstTokenMs time from the start of a run to its first token
     * @param newTokenMs time between two tokens
     * @return a copy with the speed
     */
    public EngineSettings withSpeed(long newFirstTokenMs, long newTokenMs) {
        return new EngineSettings(
                host,
                port,
                newFirstTokenMs,
                newTokenMs,
                maxConcurrent,
                maxWaiting,
                reportLagMs,
                closeAfterTokens,
                stallAfterTokens);
    }

    /**
     * Replaces the capacity.
     *
     * @param newMaxConcurrent runs at the same time
     * @param newMaxWaiting requests that may wait
     * @return a copy with the capacity
     */
    public EngineSettings withCapacity(int newMaxConcurrent, int newMaxWaiting) {
        return new EngineSettings(
                host,
                port,
                firstTokenMs,
                tokenMs,
                newMaxConcurrent,
                newMaxWaiting,
                reportLagMs,
                closeAfterTokens,
                stallAfterTokens);
    }

    /**
     * Replaces the lag of the load report.
     *
     * @param newReportLagMs age of the figures that the load report shows
     * @return a copy with the lag
     */
    public EngineSettings withReportLagMs(long newReportLagMs) {
        return new EngineSettings(
                host,
                port,
                firstTokenMs,
                tokenMs,
                maxConcurrent,
                maxWaiting,
                newReportLagMs,
                closeAfterTokens,
                stallAfterTokens);
    }

    /**
     * Makes each run close its connection early.
     *
     * @param tokens number of tokens that a run sends before it closes its connection
     * @return a copy with the fault
     */
    public EngineSettings withCloseAfterTokens(int tokens) {
        return new EngineSettings(
                host, port, firstTokenMs, tokenMs, maxConcurrent, maxWaiting, reportLagMs, tokens, stallAfterTokens);
    }

    /**
     * Makes each run go silent early.
     *
     * @param tokens number of tokens that a run sends before it goes silent
     * @return a copy with the fault
     */
    public EngineSettings withStallAfterTokens(int tokens) {
        return new EngineSettings(
                host, port, firstTokenMs, tokenMs, maxConcurrent, maxWaiting, reportLagMs, closeAfterTokens, tokens);
    }
}
