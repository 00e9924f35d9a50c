package org.kingcuproad.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Upstream that answers as the case in the path of a request says, and keeps books of its runs. */
final class TwoAnswersUpstream implements AutoCloseable {

    static final int EVENTS = 6;

    /** More than a second response has bytes, so that none fills up what was cut off of a first one. */
    private static final int CUT_OFF_BYTES = 4_096;

    private static final int EVENTS_BEFORE_CUT = 2;

    private static final AtomicInteger SEALS = new AtomicInteger();

    private final ServerSocket socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final List<TwoAnswersCase> cases;
    private final List<TwoAnswersRun> books;

    TwoAnswersUpstream(List<TwoAnswersCase> cases, List<TwoAnswersRun> books) throws IOException {
        this.cases = cases;
        this.books = books;
        Thread.ofVirtual().start(this::acceptAll);
    }

    int port() {
        return socket.getLocalPort();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                Thread.ofVirtual().start(() -> serve(accepted));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket accepted) {
        List<String> earlierIds = new CopyOnWriteArrayList<>();
        String pending = "";
        boolean pendingInside = false;
        try (accepted) {
            accepted.setTcpNoDelay(true);
            while (true) {
                String request = FakeUpstream.read(accepted.getInputStream());
                if (request.isEmpty()) {
                    return;
                }
                TwoAnswersCase scenario = scenario(request);
                Reply reply = reply(request, scenario, earlierIds);
                OutputStream output = accepted.getOutputStream();
                write(output, pendingInside ? "" : pending);
                waitMs(scenario.first() == TwoAnswersCase.First.TIMED_OUT ? deadlineMs(request) : 2);
                if (pendingInside && reply.chunked) {
                    int middle = reply.first.length() / 2;
                    write(output, reply.first.substring(0, middle));
                    write(output, pending);
                    write(output, reply.first.substring(middle));
                } else {
                    write(output, pendingInside ? pending : "");
                    if (scenario.when() == TwoAnswersCase.When.SAME_WRITE) {
                        write(output, reply.first + reply.second);
                    } else {
                        write(output, reply.first);
                    }
                }
                pending = scenario.when().withNextRequest() ? reply.second : "";
                pendingInside = scenario.when() == TwoAnswersCase.When.INSIDE_NEXT_RESPONSE;
                if (scenario.when().delayMs() > 0 && !reply.second.isEmpty()) {
                    waitMs(scenario.when().delayMs());
                    write(output, reply.second);
                }
                earlierIds.add(FakeUpstream.header(request, "X-Request"));
                if (reply.sound) {
                    continue;
                }
                switch (scenario.end()) {
                    case KEPT -> {}
                    case CLOSED -> {
                        return;
                    }
                    case RESET -> {
                        waitMs(5);
                        accepted.setSoLinger(true, 0);
                        return;
                    }
                }
            }
        } catch (IOException reset) {
            // The gateway gave up the connection.
        }
    }

    /** What is written for a request; {@code sound} is a proper response after which the connection is kept. */
    private record Reply(String first, String second, boolean chunked, boolean sound) {}

    private TwoAnswersCase scenario(String request) {
        return cases.get(Integer.parseInt(request.split(" ", 3)[1].split("/")[2]));
    }

    private Reply reply(String request, TwoAnswersCase scenario, List<String> earlierIds) {
        String id = FakeUpstream.header(request, "X-Request");
        String seal = "s" + SEALS.incrementAndGet();
        String lastEvent = FakeUpstream.header(request, "Last-Event-Id");
        int from = lastEvent.isEmpty() ? 0 : Integer.parseInt(lastEvent);
        boolean events = scenario.kind().streams();
        boolean resumed = scenario.kind() == TwoAnswersCase.Kind.RESUMED;
        String body = events ? events(seal, from, EVENTS) : "{\"seal\":\"" + seal + "\"}\n";
        synchronized (books) {
            boolean first = books.stream().noneMatch(run -> run.requestId().equals(id));
            boolean second =
                    books.stream().filter(run -> run.requestId().equals(id)).count() == 1;
            if (resumed && first) {
                book(id, seal, 0, body, true, earlierIds);
                String part = events(seal, 0, EVENTS_BEFORE_CUT);
                return new Reply(head(200, id, seal, true) + chunked() + chunk(part) + "zz\r\n", "", true, true);
            }
            if (resumed ? !second : !first) {
                book(id, seal, 200, body, true, earlierIds);
                return new Reply(message(200, id, seal, events, TwoAnswersCase.Framing.CHUNKS, body), "", true, true);
            }
            boolean lost =
                    scenario.framing() == TwoAnswersCase.Framing.NONE && scenario.end() == TwoAnswersCase.End.RESET;
            book(
                    id,
                    seal,
                    lost ? 0 : scenario.first().status(),
                    body,
                    scenario.first().runs(),
                    earlierIds);
            String text = first(scenario, id, seal, body);
            String extra = second(scenario, id, seal, text, body, earlierIds);
            return new Reply(text, extra, scenario.framing() == TwoAnswersCase.Framing.CHUNKS, false);
        }
    }

    private void book(String id, String seal, int status, String body, boolean executed, List<String> earlierIds) {
        books.add(new TwoAnswersRun(id, seal, status, body, executed, !earlierIds.isEmpty()));
    }

    private static String first(TwoAnswersCase scenario, String id, String seal, String body) {
        boolean events = scenario.kind().streams();
        return switch (scenario.first()) {
            case WHOLE -> message(200, id, seal, events, scenario.framing(), body);
            case CUT -> cut(id, seal, events, scenario.framing(), body);
            case ERROR -> message(500, id, seal, false, scenario.framing(), "failed");
            case REJECTED -> message(503, id, seal + "\r\nX-Not-Run: 1", false, scenario.framing(), "full");
            case UNAVAILABLE -> message(503, id, seal, false, scenario.framing(), "unavailable");
            case TIMED_OUT -> message(504, id, seal, false, scenario.framing(), "too late");
            case MISDIRECTED -> message(421, id, seal, false, scenario.framing(), "not me");
            case NOTHING -> "";
        };
    }

    private String second(
            TwoAnswersCase scenario, String id, String seal, String first, String body, List<String> earlierIds) {
        String otherSeal = seal + "b";
        boolean events = scenario.kind().streams();
        String text = body.replace(seal, otherSeal);
        String response = message(200, id, otherSeal, events, TwoAnswersCase.Framing.LENGTH, text);
        return switch (scenario.second()) {
            case NONE -> "";
            case SAME -> first;
            case OWN_ID -> response;
            case NO_ID -> response.replace("X-Request: " + id + "\r\n", "");
            case EARLIER_ID -> response.replace(id, earlierIds.isEmpty() ? "none" : earlierIds.getLast());
            case ERROR -> message(500, id, otherSeal, false, TwoAnswersCase.Framing.LENGTH, "failed");
            case GARBAGE -> "\u0001garbage\r\n\r\n";
        };
    }

    private static String cut(String id, String seal, boolean events, TwoAnswersCase.Framing framing, String body) {
        String part = events ? events(seal, 0, EVENTS_BEFORE_CUT) : body.substring(0, body.length() / 2);
        String head = head(200, id, seal, events);
        return switch (framing) {
            case LENGTH -> head + "Content-Length: " + (body.length() + CUT_OFF_BYTES) + "\r\n\r\n" + part;
            case CHUNKS -> head + chunked() + chunk(part);
            case NONE -> head + "\r\n" + part;
        };
    }

    private static String message(
            int status, String id, String seal, boolean events, TwoAnswersCase.Framing framing, String body) {
        String head = head(status, id, seal, events);
        return switch (framing) {
            case LENGTH -> head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            case CHUNKS -> head + chunked() + chunk(body) + "0\r\n\r\n";
            case NONE -> head + "\r\n" + body;
        };
    }

    private static String head(int status, String id, String seal, boolean events) {
        return "HTTP/1.1 " + status + " X\r\nX-Request: " + id + "\r\nX-Seal: " + seal + "\r\nContent-Type: "
                + (events ? "text/event-stream" : "application/json") + "\r\n";
    }

    private static String chunked() {
        return "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String events(String seal, int from, int to) {
        return IntStream.rangeClosed(from + 1, to)
                .mapToObj(number -> "id: " + number + "\ndata: " + seal + "\n\n")
                .collect(Collectors.joining());
    }

    private static long deadlineMs(String request) {
        return Long.parseLong(FakeUpstream.header(request, "X-Deadline"));
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    private static void waitMs(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
