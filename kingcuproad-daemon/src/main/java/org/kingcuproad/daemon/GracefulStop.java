package org.kingcuproad.daemon;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.kingcuproad.runtime.log.StructuredLog;

/** Waits for a graceful shutdown, up to a limit. */
final class GracefulStop {

    private GracefulStop() {}

    /**
     * Waits until a process has finished its requests, or the limit has passed.
     *
     * @param drained completes when no request is in progress
     * @param limit longest wait
     * @param unit unit of the limit
     */
    static void await(CompletableFuture<Void> drained, long limit, TimeUnit unit) {
        try {
            drained.get(limit, unit);
            StructuredLog.info("drained", Map.of());
        } catch (TimeoutException late) {
            StructuredLog.warn("drain limit passed, requests in progress are cut off", Map.of("limit", limit));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException failure) {
            StructuredLog.warn(failure, "drain failed", Map.of());
        }
    }
}
