package org.kingcuproad.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Judges what clients got by the books of the upstreams, as the rules of the platform do. */
final class TwoAnswersJudge {

    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private static final int OK = 200;

    private final List<TwoAnswersRun> books;

    TwoAnswersJudge(List<TwoAnswersRun> books) {
        this.books = books;
    }

    /** Returns what is wrong with a complete response. */
    List<String> violations(TwoAnswersCase scenario, String id, RawResponse response) {
        List<String> found = new ArrayList<>();
        List<TwoAnswersRun> runs =
                books.stream().filter(run -> run.requestId().equals(id)).toList();
        String seal = response.header("X-Seal").orElse("");
        boolean success = response.status() / 100 == 2;
        List<TwoAnswersRun> sealed =
                runs.stream().filter(run -> run.seal().equals(seal)).toList();
        if (!response.header("X-Request").orElse(id).equals(id)) {
            found.add("the answer to another request");
        }
        if (success && sealed.isEmpty()) {
            found.add("a success without a run of that seal");
        }
        if (success && scenario.kind().streams()) {
            stream(runs, response.body()).forEach(found::add);
        } else if (success) {
            sealed.stream()
                    .filter(run -> run.status() != response.status())
                    .forEach(run -> found.add("a success where the server answered " + run.status()));
            sealed.stream()
                    .filter(run -> !run.body().equals(response.body()))
                    .forEach(run -> found.add("a success with the body " + response.body()));
        }
        if (!success && !seal.isEmpty() && sealed.stream().noneMatch(run -> run.status() == response.status())) {
            found.add("a failure with the seal of another status");
        }
        boolean ownPromise = seal.isEmpty() && PROMISES.contains(response.status());
        if (ownPromise && runs.stream().anyMatch(TwoAnswersRun::executed)) {
            found.add("a promise for a request that has run");
        }
        return found;
    }

    private static List<String> stream(List<TwoAnswersRun> runs, String body) {
        List<String> events = body.lines().filter(line -> !line.isEmpty()).toList();
        List<String> ids =
                events.stream().filter(line -> line.startsWith("id: ")).toList();
        List<String> expected = IntStream.rangeClosed(1, TwoAnswersUpstream.EVENTS)
                .mapToObj(number -> "id: " + number)
                .toList();
        Set<String> seals = events.stream()
                .filter(line -> line.startsWith("data: "))
                .map(line -> line.substring("data: ".length()))
                .collect(Collectors.toSet());
        List<String> found = new ArrayList<>();
        if (!ids.equals(expected) || events.size() != 2 * TwoAnswersUpstream.EVENTS) {
            found.add("a stream that is not whole: " + events);
        }
        // A resumption after the last event has none of its own.
        if (runs.isEmpty() || runs.getLast().status() != OK) {
            found.add("a stream whose last run did not end with success");
        }
        if (!runs.stream().map(TwoAnswersRun::seal).collect(Collectors.toSet()).containsAll(seals)) {
            found.add("events of no run of the request");
        }
        return found;
    }

    /** Returns the ids of orders that ran more than once. */
    List<String> repeatedOrders() {
        return books.stream()
                .filter(TwoAnswersRun::executed)
                .filter(run -> run.requestId().startsWith(TwoAnswersCase.Kind.ORDER.name()))
                .collect(Collectors.groupingBy(TwoAnswersRun::requestId, Collectors.counting()))
                .entrySet()
                .stream()
                .filter(entry -> entry.getValue() > 1)
                .map(Map.Entry::getKey)
                .toList();
    }
}
