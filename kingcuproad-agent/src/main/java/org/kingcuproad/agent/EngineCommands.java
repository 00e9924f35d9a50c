package org.kingcuproad.agent;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Carries out commands to the engine one after the other, each repeated until the engine answers it. */
final class EngineCommands {

    private static final long RETRY_MS = 50;

    private final EventLoop loop;
    private final Deque<Command> queue = new ArrayDeque<>();
    private boolean busy;

    EngineCommands(EventLoop loop) {
        this.loop = loop;
    }

    void add(Command command) {
        queue.add(command);
        next();
    }

    boolean idle() {
        return queue.isEmpty();
    }

    private void next() {
        Command command = queue.peek();
        if (command == null || busy) {
            return;
        }
        busy = true;
        command.attempt(done -> {
            if (done) {
                busy = false;
                queue.poll();
                next();
            } else {
                loop.schedule(this::repeat, RETRY_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void repeat() {
        busy = false;
        next();
    }

    /** One command. */
    @FunctionalInterface
    interface Command {

        /**
         * Sends the command once.
         *
         * @param done called with {@code true} once the command took effect or was refused, with {@code false} if it is
         *     to be repeated
         */
        void attempt(Consumer<Boolean> done);
    }
}
