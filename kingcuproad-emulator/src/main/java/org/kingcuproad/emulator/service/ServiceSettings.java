package org.kingcuproad.emulator.service;

/**
 * How a stand-in service listens, how fast it is and how it fails.
 *
 * @param host IP address to listen on
 * @param port TCP port, or 0 for any free one
 * @param processingMs time from the arrival of a request to its answer
 * @param closeBeforeAnswer whether each order runs and then closes its connection without an answer
 */
public record ServiceSettings(String host, int port, long processingMs, boolean closeBeforeAnswer) {

    /**
     * Creates settings of a service that answers at once and without faults.
     *
     * @param host IP address to listen on
     * @param port TCP port, or 0 for any free one
     * @return the settings
     */
    public static ServiceSettings of(String host, int port) {
        return new ServiceSettings(host, port, 0, false);
    }

    /**
     * Replaces the processing time.
     *
     * @param newProcessingMs time from the arrival of a request to its answer
     * @return a copy with the processing time
     */
    public ServiceSettings withProcessingMs(long newProcessingMs) {
        return new ServiceSettings(host, port, newProcessingMs, closeBeforeAnswer);
    }

    /**
     * Makes each order run and then close its connection without an answer.
     *
     * @return a copy with the fault
     */
    public ServiceSettings withCloseBeforeAnswer() {
        return new ServiceSettings(host, port, processingMs, true);
    }
}
