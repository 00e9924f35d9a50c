package org.kingcuproad.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/** Client that keeps its connection for many requests, and opens another when that one has ended. */
final class ShapedClient implements AutoCloseable {

    private static final long NS_PER_MS = 1_000_000;

    private final GatewayFixture fixture;
    private final BooleanSupplier draining;
    private @Nullable Socket socket;
    private @Nullable ShapedInput input;

    ShapedClient(GatewayFixture fixture, BooleanSupplier draining) {
        this.fixture = fixture;
        this.draining = draining;
    }

    /** Sends a request and reads its answer. */
    ShapedAnswer send(ShapedRequest request) throws IOException, InterruptedException {
        Thread.sleep(request.pauseMs());
        Socket current = socket;
        ShapedInput currentInput = input;
        if (current != null && currentInput != null && currentInput.hasBytes()) {
            throw new AssertionError("bytes on a connection without a request, before " + request.id());
        }
        if (current == null || currentInput == null) {
            current = fixture.open();
            currentInput = new ShapedInput(current.getInputStream());
            socket = current;
            input = currentInput;
        }
        long sentNs = System.nanoTime();
        Partial partial = new Partial();
        ShapedAnswer.End end;
        try {
            try {
                write(current.getOutputStream(), request);
            } catch (IOException closed) {
                // The gateway may have answered before it closed.
                partial.writeFailed = true;
            }
            end = read(currentInput, request, partial);
        } catch (SocketTimeoutException silent) {
            end = ShapedAnswer.End.SILENT;
        } catch (IOException broken) {
            end = partial.head.isEmpty() ? ShapedAnswer.End.NONE : ShapedAnswer.End.BROKEN;
        }
        boolean closes = request.close()
                || partial.writeFailed
                || end != ShapedAnswer.End.WHOLE
                || FakeUpstream.header(partial.head, "Connection").equalsIgnoreCase("close");
        if (closes) {
            close();
        }
        return new ShapedAnswer(
                partial.status,
                partial.head,
                partial.body.toByteArray(),
                end,
                (System.nanoTime() - sentNs) / NS_PER_MS,
                draining.getAsBoolean());
    }

    private static final class Partial {
        private String head = "";
        private int status;
        private boolean writeFailed;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    }

    private static void write(OutputStream output, ShapedRequest request) throws IOException, InterruptedException {
        byte[] body = request.framedBody();
        int middle = request.pauseMs() > 0 ? body.length / 2 : body.length;
        ByteArrayOutputStream first = new ByteArrayOutputStream();
        first.writeBytes(request.head());
        first.write(body, 0, middle);
        output.write(first.toByteArray());
        if (middle < body.length) {
            Thread.sleep(request.pauseMs());
            output.write(Arrays.copyOfRange(body, middle, body.length));
        }
    }

    private static ShapedAnswer.End read(ShapedInput input, ShapedRequest request, Partial partial)
            throws IOException, InterruptedException {
        String head = input.readHead();
        if (!head.matches("(?s)HTTP/1\\.1 \\d{3} .*")) {
            throw new AssertionError("an answer to " + request.id() + " without a status line: " + head);
        }
        partial.status = Integer.parseInt(head.substring(9, 12));
        partial.head = head;
        Thread.sleep(request.readPauseMs());
        String length = FakeUpstream.header(head, "Content-Length");
        boolean chunked = FakeUpstream.header(head, "Transfer-Encoding")
                .toLowerCase(Locale.ROOT)
                .contains("chunked");
        if (request.method().equals("HEAD") || partial.status == 204) {
            return ShapedAnswer.End.WHOLE;
        }
        boolean leaves = request.leaveAfterBytes() >= 0 && partial.status == 200;
        int enoughBytes = leaves ? request.leaveAfterBytes() : Integer.MAX_VALUE;
        if (chunked) {
            input.readChunks(partial.body, enoughBytes);
        } else {
            input.readBytes(length.isEmpty() ? -1 : Math.min(Integer.parseInt(length), enoughBytes), partial.body);
        }
        return leaves ? ShapedAnswer.End.LEFT : ShapedAnswer.End.WHOLE;
    }

    @Override
    public void close() throws IOException {
        Socket current = socket;
        socket = null;
        input = null;
        if (current != null) {
            current.close();
        }
    }
}
