package org.kingcuproad.ctl;

import java.util.concurrent.CountDownLatch;

/** Keeps commands that serve requests running. */
final class Blocking {

    private Blocking() {}

    /**
     * Waits until the process is told to stop.
     *
     * @return success, if the waiting thread is interrupted
     */
    static ExitCode untilStopped() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.SUCCESS;
    }
}
