package org.kingcuproad.agent;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Executes engine commands sequentially and retries each one until the engine responds. */
final class EngineCommandQueue {

    private static final long RETRY_MS = 50;

    private final EventLoop eventLoop;
    private final Deque<Command> queue = new ArrayDeque<>();
    private boolean commandInFlight;

    EngineCommandQueue(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    void enqueue(Command command) {
        queue.add(command);
        startNext();
    }

    boolean idle() {
        return queue.isEmpty();
    }

    private void startNext() {
        Command command = queue.peek();
        if (command == null || commandInFlight) {
            return;
        }
        commandInFlight = true;
        command.attempt(done -> {
            if (done) {
                commandInFlight = false;
                queue.poll();
                startNext();
            } else {
                eventLoop.schedule(this::retry, RETRY_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void retry() {
        commandInFlight = false;
        startNext();
    }

    /** A command that can be retried. */
    @FunctionalInterface
    interface Command {

        /**
         * Sends the command once.
         *
         * @param done called with {@code true} if the command took effect or was refused, or with {@code false} if it
         *     has to be retried
         */
        void attempt(Consumer<Boolean> done);
    }
}
