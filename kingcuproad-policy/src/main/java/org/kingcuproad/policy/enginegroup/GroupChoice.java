package org.kingcuproad.policy.enginegroup;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Chooses the group that a request is sent to by the expected time that the group takes for it.
 *
 * <p>This handles groups that differ in speed: all ranks of a group take as long for a pass as the slowest one, so the
 * rank with the fewest requests may belong to the slowest group. The expected time is the duration of a pass, increased
 * by the share of the slots in use, because passes take longer with more requests. Loads are known within a tenth of a
 * second, durations of passes only after a second, so the load must count as well, or all gateways would send to one
 * group until the next report.
 */
public final class GroupChoice {

    /** Name under which engines that are not known to belong to a group are compared with groups. */
    private static final String NO_GROUP = "";

    /** Ratio of pass durations up to which groups count as equally fast; the durations of equal groups differ so. */
    private static final double EQUAL_PASS_RATIO = 1.1;

    /**
     * Fraction of a rank's slowdown by which the passes of its group are assumed to grow until a longer duration is
     * measured; the rank's own part is only one of the parts of a pass.
     */
    private static final double SLOWDOWN_FRACTION = 0.5;

    /** Growth of passes while experts are copied, which takes memory bandwidth. */
    private static final double COPY_FACTOR = 1.15;

    private GroupChoice() {}

    /** Returns the name by which the engine's group is compared with others. */
    private static String name(GroupMember member) {
        return member.group().map(GroupStanding::name).orElse(NO_GROUP);
    }

    /**
     * Chooses a group.
     *
     * @param members the engines
     * @return for each engine whether it belongs to the chosen group; all if groups are unknown
     */
    public static List<Boolean> choose(List<GroupMember> members) {
        if (members.stream().allMatch(member -> member.group().isEmpty())) {
            return members.stream().map(member -> true).toList();
        }
        Map<String, List<GroupMember>> byGroup = members.stream().collect(Collectors.groupingBy(GroupChoice::name));
        double shortestPassMs = members.stream()
                .filter(GroupMember::eligible)
                .flatMap(member -> member.group().stream())
                .mapToDouble(GroupStanding::passMs)
                .filter(passMs -> passMs > 0)
                .min()
                .orElse(0);
        Optional<String> chosen = byGroup.entrySet().stream()
                .filter(group -> group.getValue().stream().anyMatch(GroupMember::hasCapacity))
                .min(Comparator.comparingDouble(group -> expectedPasses(group.getValue(), shortestPassMs)))
                .map(Map.Entry::getKey);
        return members.stream()
                .map(member -> chosen.filter(name(member)::equals).isPresent())
                .toList();
    }

    /** Returns the expected time in units of the shortest pass. */
    private static double expectedPasses(List<GroupMember> members, double shortestPassMs) {
        double load = members.stream()
                .filter(GroupMember::eligible)
                .mapToDouble(GroupMember::load)
                .sum();
        double limit = members.stream()
                .filter(GroupMember::eligible)
                .mapToDouble(GroupMember::limit)
                .sum();
        return passFactor(members, shortestPassMs) * (1 + load / Math.max(1, limit));
    }

    private static double passFactor(List<GroupMember> members, double shortestPassMs) {
        Optional<GroupStanding> standing = members.getFirst().group();
        double passMs = standing.map(GroupStanding::passMs).orElse(0.0);
        double measured = passMs > 0 && shortestPassMs > 0 ? passMs / shortestPassMs / EQUAL_PASS_RATIO : 1;
        double slowdown =
                members.stream().mapToDouble(GroupMember::slowdown).max().orElse(1);
        double copying = standing.filter(GroupStanding::copying).isPresent() ? COPY_FACTOR : 1;
        return copying * Math.max(Math.max(1, measured), 1 + SLOWDOWN_FRACTION * (slowdown - 1));
    }
}
