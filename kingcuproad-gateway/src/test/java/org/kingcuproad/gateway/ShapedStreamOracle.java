package org.kingcuproad.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/** Judges a stream of events that one run began and others may have continued. */
final class ShapedStreamOracle {

    private ShapedStreamOracle() {}

    /**
     * Judges a stream.
     *
     * @param first the run whose seal the client got
     * @param runs all runs of the request
     * @return what is wrong with it
     */
    static Optional<String> fault(ShapedRequest request, ShapedAnswer answer, ShapedRun first, List<ShapedRun> runs) {
        List<String> parts = ShapedEvents.split(answer.body());
        List<String> events = parts.subList(0, parts.size() - 1);
        boolean beginsWithComment = !events.isEmpty() && ShapedEvents.isComment(events.getFirst());
        List<String> received =
                events.stream().filter(event -> !ShapedEvents.isComment(event)).toList();
        if (received.isEmpty()) {
            return answer.end() == ShapedAnswer.End.WHOLE
                    ? faultOfEnd(parts.getLast(), received, runs.getLast())
                    : Optional.empty();
        }
        // A run that only sent comments has begun the response, but not the stream.
        List<ShapedRun> writers = beginsWithComment ? runs.subList(runs.indexOf(first), runs.size()) : List.of(first);
        Optional<String> fault = writers.stream().noneMatch(run -> written(run).contains(received.getFirst()))
                ? Optional.of("a first event of another run than the seal's")
                : request.eventIds()
                        ? faultOfOrder(received, runs.subList(runs.indexOf(first), runs.size()))
                        : faultOfRun(received, runs);
        return fault.isEmpty() && answer.end() == ShapedAnswer.End.WHOLE
                ? faultOfEnd(parts.getLast(), received, runs.getLast())
                : fault;
    }

    private static List<String> written(ShapedRun run) {
        if (!run.successful()) {
            return List.of();
        }
        List<String> parts = ShapedEvents.split(run.writtenBody());
        return parts.subList(0, parts.size() - 1).stream()
                .filter(event -> !ShapedEvents.isComment(event))
                .toList();
    }

    private static Optional<String> faultOfOrder(List<String> received, List<ShapedRun> runs) {
        List<List<String>> written =
                runs.stream().map(ShapedStreamOracle::written).toList();
        int writer = 0;
        long lastId = 0;
        for (String event : received) {
            long id = ShapedEvents.id(event);
            if (id != lastId + 1) {
                return Optional.of("event " + id + " after event " + lastId);
            }
            OptionalInt found = IntStream.range(writer, runs.size())
                    .filter(index -> written.get(index).contains(event))
                    .findFirst();
            if (found.isEmpty()) {
                return Optional.of("event " + id + " of no run that continued the stream");
            }
            writer = found.getAsInt();
            lastId = id;
        }
        return Optional.empty();
    }

    /** Events without ids can't be told from those of another run, so all of them have to be of one. */
    private static Optional<String> faultOfRun(List<String> received, List<ShapedRun> runs) {
        return runs.stream()
                        .map(ShapedStreamOracle::written)
                        .anyMatch(written -> received.size() <= written.size()
                                && written.subList(0, received.size()).equals(received))
                ? Optional.empty()
                : Optional.of("events without ids of several runs");
    }

    private static Optional<String> faultOfEnd(String trailing, List<String> received, ShapedRun last) {
        if (!trailing.isBlank()) {
            return Optional.of("a complete stream that ends inside an event");
        }
        if (!last.successful() || last.end() != ShapedRun.End.WHOLE) {
            return Optional.of("a complete stream whose last run failed or was cut off");
        }
        List<String> written = written(last);
        boolean ended = written.isEmpty()
                || (!received.isEmpty() && received.getLast().equals(written.getLast()))
                || (!received.isEmpty()
                        && ShapedEvents.id(received.getLast()) >= ShapedEvents.id(written.getLast())
                        && ShapedEvents.id(written.getLast()) > 0);
        return ended ? Optional.empty() : Optional.of("a complete stream without the last events of its last run");
    }
}
