package org.kingcuproad.runtime.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines on a thread of its own.
 *
 * <p>A caller never blocks: a line that finds the queue full is dropped and counted, and the count is written when
 * there is room again.
 */
public final class LineSink {

    /** Lines kept in memory; at about 300 bytes a line this stays below one megabyte. */
    private static final int MAX_QUEUED_LINES = 2_048;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong droppedInTotal = new AtomicLong();
    private final AtomicLong unwritten = new AtomicLong();
    private final OutputStream output;

    /**
     * Creates a sink and starts its thread.
     *
     * @param output where lines go
     */
    public LineSink(OutputStream output) {
        this.output = output;
        Thread writer = new Thread(this::run, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Offers a line.
     *
     * @param line the line, without its end
     */
    public void offer(String line) {
        unwritten.incrementAndGet();
        if (!queue.offer(line)) {
            unwritten.decrementAndGet();
            dropped.incrementAndGet();
            droppedInTotal.incrementAndGet();
        }
    }

    /**
     * Returns how many lines were lost because the output took them too slowly or not at all.
     *
     * @return number of lines since the start
     */
    public long droppedLines() {
        return droppedInTotal.get();
    }

    /**
     * Waits until all lines are written, or the time is over.
     *
     * @param limitMs longest wait, in milliseconds
     */
    public void flush(long limitMs) {
        long endNs = System.nanoTime() + limitMs * 1_000_000;
        while (unwritten.get() > 0 && System.nanoTime() < endNs) {
            try {
                Thread.sleep(1);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void run() {
        List<String> batch = new ArrayList<>();
        while (true) {
            int taken = 0;
            try {
                batch.add(queue.take());
                queue.drainTo(batch);
                taken = batch.size();
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    batch.add("{\"event\":\"log lines dropped\",\"count\":" + lost + "}");
                }
                output.write((String.join("\n", batch) + "\n").getBytes(StandardCharsets.UTF_8));
                output.flush();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            } catch (IOException outputGone) {
                // There is no other place to report it; lines are counted as lost.
                dropped.addAndGet(batch.size());
                droppedInTotal.addAndGet(taken);
            }
            batch.clear();
            unwritten.addAndGet(-taken);
        }
    }
}
