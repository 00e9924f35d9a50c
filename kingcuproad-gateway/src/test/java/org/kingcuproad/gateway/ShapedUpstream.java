package org.kingcuproad.gateway;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.kingcuproad.policy.gateway.ResponseFraming;

/** Upstream that answers as {@link ShapedResponse} draws, until it crashes or is closed. */
final class ShapedUpstream implements AutoCloseable {

    /** Longest time for which a flood goes on if the gateway does not close the connection, in milliseconds. */
    private static final long FLOOD_MS = 3_000;

    private static final int MISDIRECTED_REQUEST = 421;
    private static final long NS_PER_MS = 1_000_000;

    private final ServerSocket socket;
    private final Thread acceptor;
    private final ShapedRuns runs;
    private final Runnable onEnd;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean crashesBeforeTrailing;

    /**
     * Starts an upstream.
     *
     * @param onEnd called when it has crashed or no longer answers for its id
     */
    ShapedUpstream(ShapedRuns runs, Runnable onEnd) throws IOException {
        this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.runs = runs;
        this.onEnd = onEnd;
        this.acceptor = start(this::acceptAll);
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Makes the upstream crash where it would write a second answer behind a body that ends with its connection. */
    void crashBeforeTrailing() {
        crashesBeforeTrailing = true;
    }

    private static Thread start(Runnable work) {
        Thread thread = new Thread(work, "shaped-upstream");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                connections.add(accepted);
                start(() -> serve(accepted));
            }
        } catch (IOException closed) {
            // The upstream has crashed or the test has ended.
        }
    }

    private void serve(Socket accepted) {
        try (accepted) {
            ShapedInput input = new ShapedInput(accepted.getInputStream());
            byte[] copy = {};
            boolean spoiled = false;
            while (true) {
                String head = input.readHead();
                long endNs = System.nanoTime() + Long.parseLong(FakeUpstream.header(head, "X-Deadline")) * NS_PER_MS;
                ShapedRun run = runs.begin(head);
                ShapedResponse response = run.response();
                if (!response.early()) {
                    readBody(input, run);
                }
                run.onRun();
                if (spoiled) {
                    run.onSpoiled();
                }
                accepted.getOutputStream().write(copy);
                respond(accepted, run, endNs);
                if (response.status() == MISDIRECTED_REQUEST && ended.compareAndSet(false, true)) {
                    onEnd.run();
                }
                if (!response.keepsConnection()) {
                    return;
                }
                if (response.early()) {
                    readBody(input, run);
                }
                copy = stutter(accepted, response);
                spoiled |= response.stutter().stream().anyMatch(ShapedStutter::spoilsConnection);
            }
        } catch (IOException closed) {
            // The gateway has closed the connection, or the response ends with it.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(accepted);
        }
    }

    private void readBody(ShapedInput input, ShapedRun run) throws IOException {
        ShapedRequest request = run.response().request();
        ByteArrayOutputStream body = new ByteArrayOutputStream(request.bodyBytes());
        input.readBytes(request.bodyBytes(), body);
        if (!Arrays.equals(body.toByteArray(), request.body())) {
            runs.violate(request.id() + ": the body of the request was changed");
        }
    }

    /** Writes a second answer, or returns what is to be written before the next one. */
    private static byte[] stutter(Socket connection, ShapedResponse response) throws IOException, InterruptedException {
        if (response.stutter().isEmpty()) {
            return new byte[0];
        }
        ShapedStutter stutter = response.stutter().get();
        byte[] copy = stutter.bytes(response.request().id(), response.seal());
        if (stutter.withNext() && !stutter.closes()) {
            return copy;
        }
        Thread.sleep(stutter.delayMs());
        connection.getOutputStream().write(copy);
        if (stutter.closes()) {
            throw new EOFException("the second answer ends with the connection");
        }
        return new byte[0];
    }

    private void respond(Socket connection, ShapedRun run, long endNs) throws IOException, InterruptedException {
        try {
            if (run.response().flood() == ShapedFlood.NONE) {
                write(connection, run, endNs);
            } else {
                flood(connection, run);
            }
        } finally {
            if (run.end() == ShapedRun.End.OPEN) {
                run.end(ShapedRun.End.CUT);
            }
        }
    }

    private void write(Socket connection, ShapedRun run, long endNs) throws IOException, InterruptedException {
        ShapedResponse response = run.response();
        List<ShapedPart> parts = ShapedPart.of(response);
        int cutAfter = response.cut() == ShapedCut.NONE
                ? Integer.MAX_VALUE
                : response.cutPoint().bytes(response, parts);
        int written = 0;
        for (ShapedPart part : parts) {
            long waitNs = Math.min(part.delayMs() * NS_PER_MS, endNs - System.nanoTime());
            if (waitNs > 0) {
                Thread.sleep(waitNs / NS_PER_MS, (int) (waitNs % NS_PER_MS));
            }
            if (System.nanoTime() >= endNs) {
                stop(connection, run, written);
                return;
            }
            boolean cut = written + part.bytes().length > cutAfter;
            ShapedPart next = cut ? part.first(cutAfter - written) : part;
            run.onWrite(next.bodyBytes());
            connection.getOutputStream().write(next.bytes());
            written += next.bytes().length;
            if (cut) {
                cut(connection, run);
            }
        }
        if (response.framing() == ResponseFraming.CONNECTION
                && response.events().isEmpty()
                && response.stutter().isPresent()) {
            writeTrailing(connection, run, response.stutter().get());
        }
        run.end(ShapedRun.End.WHOLE);
    }

    /** Stops at the deadline: with an error if nothing has been written, else by the end of the connection. */
    private static void stop(Socket connection, ShapedRun run, int written) throws IOException {
        if (written > 0) {
            throw new EOFException("the deadline has passed");
        }
        run.onLate();
        ShapedResponse response = run.response();
        byte[] body = run.lateBody();
        boolean empty = response.request().method().equals("HEAD");
        connection
                .getOutputStream()
                .write(FakeUpstream.response(
                                response.request().id(),
                                run.status(),
                                "X-Seal: " + response.seal() + "\r\n",
                                empty ? "" : new String(body, java.nio.charset.StandardCharsets.UTF_8))
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8));
        run.end(ShapedRun.End.WHOLE);
        if (!response.keepsConnection()) {
            throw new EOFException("the error ends the connection");
        }
    }

    /** Writes a second answer that nothing separates from the body of the first. */
    private void writeTrailing(Socket connection, ShapedRun run, ShapedStutter stutter)
            throws IOException, InterruptedException {
        ShapedResponse response = run.response();
        byte[] copy = stutter.bytes(response.request().id(), response.seal());
        run.onTrailing(copy);
        Thread.sleep(stutter.delayMs());
        if (crashesBeforeTrailing) {
            crash();
        }
        try {
            connection.getOutputStream().write(copy);
        } catch (IOException failed) {
            if (connection.isClosed()) {
                // The upstream has crashed meanwhile, so the body is all that was written.
                run.onTrailingUnwritten();
            }
            throw failed;
        }
        throw new EOFException("the second answer ends with the connection");
    }

    private void cut(Socket connection, ShapedRun run) throws IOException, InterruptedException {
        switch (run.response().cut()) {
            case NONE, CLOSE -> {}
            case RESET -> connection.setSoLinger(true, 0);
            case CRASH -> crash();
        }
        throw new EOFException("the response is cut off");
    }

    private void flood(Socket connection, ShapedRun run) throws IOException {
        ShapedFlood flood = run.response().flood();
        connection
                .getOutputStream()
                .write(("HTTP/1.1 200 X\r\nX-Request: "
                                + run.response().request().id() + "\r\nX-Seal: "
                                + run.response().seal() + "\r\n")
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8));
        connection.getOutputStream().write(flood.begin());
        byte[] part = flood.part();
        long endNs = System.nanoTime() + FLOOD_MS * NS_PER_MS;
        while (System.nanoTime() < endNs) {
            connection.getOutputStream().write(part);
        }
        throw new EOFException("the flood has ended");
    }

    /** Closes the listening socket and all connections, as the end of the process does. */
    private void crash() throws IOException, InterruptedException {
        socket.close();
        // A socket listens until the call that waits for its next connection has returned.
        acceptor.join();
        close();
        if (ended.compareAndSet(false, true)) {
            onEnd.run();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
