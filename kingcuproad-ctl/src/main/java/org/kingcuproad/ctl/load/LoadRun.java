package org.kingcuproad.ctl.load;

import java.io.IOException;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.RequestBuilder;

/**
 * Sends load and waits for the responses.
 *
 * <p>In open loop each request has an intended start that does not depend on earlier responses. Times count from it, so
 * that a stall of the target also shows in the requests that could not start meanwhile.
 */
public final class LoadRun {

    /** Time after the last request in which responses are still accepted. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

    private static final int MAX_IN_FLIGHT = 10_000;

    private final LoadSettings settings;
    private final Semaphore slots;
    private final int slotCount;
    private final long startNs = System.nanoTime();
    private final long endNs;
    private final LoadRecorder recorder;
    private final String idPrefix = UUID.randomUUID().toString();
    private long sent;

    /**
     * Prepares a run that begins at once.
     *
     * @param settings which requests are sent, how fast and for how long
     */
    public LoadRun(LoadSettings settings) {
        this.settings = settings;
        this.slotCount = settings.openLoop() ? MAX_IN_FLIGHT : settings.concurrency();
        this.slots = new Semaphore(slotCount);
        long fromNs = startNs + settings.warmUp().toNanos();
        this.endNs = fromNs + settings.duration().toNanos();
        this.recorder = new LoadRecorder(fromNs, endNs);
    }

    /**
     * Sends the load.
     *
     * @return times and counts of the measured interval
     * @throws InterruptedException if the thread is interrupted
     */
    public LoadSummary run() throws InterruptedException {
        try (AsyncHttpClient client = newClient()) {
            long intendedNs = nextStart();
            while (intendedNs - endNs < 0) {
                send(client, intendedNs);
                intendedNs = nextStart();
            }
            return recorder.summary(awaitResponses());
        } catch (IOException closing) {
            throw new IllegalStateException("the client can't be closed", closing);
        }
    }

    private static AsyncHttpClient newClient() {
        return new DefaultAsyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setIoThreadsCount(1)
                .setRequestTimeout(REQUEST_TIMEOUT)
                .setReadTimeout(REQUEST_TIMEOUT)
                // A hidden repetition would turn a failure into a slow success.
                .setMaxRequestRetry(0)
                .setCookieStore(null)
                .setTcpNoDelay(true)
                .setShutdownQuietPeriod(Duration.ZERO)
                .build());
    }

    private long nextStart() throws InterruptedException {
        if (!settings.openLoop()) {
            slots.acquire();
            return System.nanoTime();
        }
        long intendedNs = startNs + (long) (sent * TimeUnit.SECONDS.toNanos(1) / settings.ratePerSecond());
        for (long waitNs = intendedNs - System.nanoTime(); waitNs > 0; waitNs = intendedNs - System.nanoTime()) {
            LockSupport.parkNanos(waitNs);
        }
        slots.acquire();
        return intendedNs;
    }

    private void send(AsyncHttpClient client, long intendedNs) {
        String id = idPrefix + "-" + sent++;
        RequestBuilder request = new RequestBuilder(settings.service() ? "GET" : "POST")
                .setUrl(settings.url())
                .setHeader(LoadRequest.REQUEST_ID, id);
        if (!settings.credential().isEmpty()) {
            request.setHeader("Authorization", "Bearer " + settings.credential());
        }
        if (!settings.service()) {
            request.setHeader("Content-Type", "application/json").setBody(settings.chatBody());
        }
        recorder.due(intendedNs);
        client.executeRequest(request.build(), new LoadRequest(settings, recorder, id, intendedNs, slots::release));
    }

    /** Returns the number of requests without a response. The loop leaves with one slot that no request uses. */
    private long awaitResponses() throws InterruptedException {
        slots.release();
        if (slots.tryAcquire(slotCount, REQUEST_TIMEOUT.plusSeconds(1).toMillis(), TimeUnit.MILLISECONDS)) {
            return 0;
        }
        return slotCount - slots.availablePermits();
    }
}
