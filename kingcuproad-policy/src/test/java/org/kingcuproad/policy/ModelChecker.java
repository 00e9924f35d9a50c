package org.kingcuproad.policy;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Breadth-first search over all interleavings of a small model. A state is reached by replaying the actions that lead
 * to it.
 */
public final class ModelChecker {

    /** A model whose enabled actions can be listed and performed. */
    public interface Model {

        /** Returns the number of actions that are enabled in the current state. */
        int actionCount();

        /** Performs one of the enabled actions and returns its description. */
        String perform(int action);

        /** Returns the current state without times. */
        Object fingerprint();

        /** Returns the violated property, or empty. */
        Optional<String> violation();
    }

    /**
     * Result of a search: the first violation, the number of distinct states, and whether all reachable states were
     * visited.
     */
    public record Result(Optional<String> violation, int states, boolean exhausted) {}

    private ModelChecker() {}

    /** Searches until a violation is found, all states have been visited, or the limit on states is reached. */
    public static Result search(Supplier<? extends Model> initial, int maxStates) {
        Set<Object> seen = new HashSet<>();
        ArrayDeque<short[]> queue = new ArrayDeque<>();
        queue.add(new short[0]);
        while (!queue.isEmpty()) {
            short[] path = queue.removeFirst();
            int actionCount = replay(initial, path).actionCount();
            for (int action = 0; action < actionCount; action++) {
                Model model = replay(initial, path);
                String lastAction = model.perform(action);
                if (model.violation().isPresent()) {
                    return new Result(
                            model.violation().map(text -> text + trace(initial, path, lastAction)), seen.size(), false);
                }
                if (seen.add(model.fingerprint())) {
                    short[] extended = Arrays.copyOf(path, path.length + 1);
                    extended[path.length] = (short) action;
                    queue.add(extended);
                }
            }
            if (seen.size() >= maxStates) {
                return new Result(Optional.empty(), seen.size(), false);
            }
        }
        return new Result(Optional.empty(), seen.size(), true);
    }

    private static String trace(Supplier<? extends Model> initial, short[] path, String lastAction) {
        Model model = initial.get();
        StringBuilder out = new StringBuilder();
        for (short action : path) {
            out.append("\n  ").append(model.perform(action));
        }
        return out.append("\n  ").append(lastAction).toString();
    }

    private static Model replay(Supplier<? extends Model> initial, short[] path) {
        Model model = initial.get();
        for (short action : path) {
            model.perform(action);
        }
        return model;
    }
}
