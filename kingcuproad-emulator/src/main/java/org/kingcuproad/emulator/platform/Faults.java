package org.kingcuproad.emulator.platform;

/**
 * The faults that the stand-in shows.
 *
 * @param outage how it fails while it is unavailable
 * @param slowMs time before a call takes effect, in milliseconds
 * @param lostWriteResponses number of coming writes that take effect but whose connection closes without a response
 */
public record Faults(Outage outage, long slowMs, int lostWriteResponses) {

    /** No faults. */
    public static final Faults NONE = new Faults(Outage.NONE, 0, 0);

    /**
     * Replaces the kind of outage.
     *
     * @param newOutage how it fails while it is unavailable
     * @return a copy with the outage
     */
    public Faults withOutage(Outage newOutage) {
        return new Faults(newOutage, slowMs, lostWriteResponses);
    }

    /**
     * Replaces the delay.
     *
     * @param newSlowMs time before a call takes effect, in milliseconds
     * @return a copy with the delay
     */
    public Faults withSlowMs(long newSlowMs) {
        return new Faults(outage, newSlowMs, lostWriteResponses);
    }

    /**
     * Replaces the number of lost responses.
     *
     * @param count number of coming writes that take effect but get no response
     * @return a copy with the number
     */
    public Faults withLostWriteResponses(int count) {
        return new Faults(outage, slowMs, count);
    }
}
