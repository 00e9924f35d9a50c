package org.kingcuproad.policy;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** Breadth-first search over all interleavings of a small configuration. States are reached by replaying choices. */
public final class Explorer {

    /** A configuration whose next actions can be listed and carried out. */
    public interface World {

        /** Number of actions that are possible now. */
        int actions();

        /** Carries out one of them and returns what it was. */
        String act(int action);

        /** State, without times. */
        Object fingerprint();

        /** What is wrong, or empty. */
        Optional<String> violation();
    }

    /** What a search found: the first violation, the states seen, and whether all states were seen. */
    public record Result(Optional<String> violation, int states, boolean exhausted) {}

    private Explorer() {}

    /** Searches until a violation, the end, or a number of states. */
    public static Result search(Supplier<? extends World> start, int maxStates) {
        Set<Object> seen = new HashSet<>();
        ArrayDeque<short[]> queue = new ArrayDeque<>();
        queue.add(new short[0]);
        while (!queue.isEmpty()) {
            short[] path = queue.removeFirst();
            int actions = replay(start, path).actions();
            for (int action = 0; action < actions; action++) {
                World world = replay(start, path);
                String last = world.act(action);
                if (world.violation().isPresent()) {
                    return new Result(
                            world.violation().map(text -> text + trace(start, path, last)), seen.size(), false);
                }
                if (seen.add(world.fingerprint())) {
                    short[] longer = Arrays.copyOf(path, path.length + 1);
                    longer[path.length] = (short) action;
                    queue.add(longer);
                }
            }
            if (seen.size() >= maxStates) {
                return new Result(Optional.empty(), seen.size(), false);
            }
        }
        return new Result(Optional.empty(), seen.size(), true);
    }

    private static String trace(Supplier<? extends World> start, short[] path, String last) {
        World world = start.get();
        StringBuilder out = new StringBuilder();
        for (short action : path) {
            out.append("\n  ").append(world.act(action));
        }
        return out.append("\n  ").append(last).toString();
    }

    private static World replay(Supplier<? extends World> start, short[] path) {
        World world = start.get();
        for (short action : path) {
            world.act(action);
        }
        return world;
    }
}
