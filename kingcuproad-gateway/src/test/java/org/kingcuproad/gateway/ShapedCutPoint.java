package org.kingcuproad.gateway;

import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import org.kingcuproad.policy.gateway.ResponseFraming;

/** Where a response is cut off. */
enum ShapedCutPoint {
    ANYWHERE,
    HEAD,
    /** Where what has been written looks whole: after the head, between two events, or a byte before the end. */
    BOUNDARY;

    /**
     * Returns how many bytes are written before the cut, which is less than all.
     *
     * @param parts the parts of the response
     */
    int bytes(ShapedResponse response, List<ShapedPart> parts) {
        int headBytes = parts.getFirst().bytes().length;
        int total = parts.stream().mapToInt(part -> part.bytes().length).sum();
        return switch (this) {
            case ANYWHERE -> (int) (response.cutAt() * total);
            case HEAD -> (int) (response.cutAt() * headBytes);
            case BOUNDARY -> {
                int[] boundaries = IntStream.concat(boundaries(response, parts, headBytes), IntStream.of(total - 1))
                        .filter(boundary -> boundary < total)
                        .toArray();
                yield boundaries[(int) (response.cutAt() * boundaries.length)];
            }
        };
    }

    private static IntStream boundaries(ShapedResponse response, List<ShapedPart> parts, int headBytes) {
        if (response.events().isPresent() && response.framing() != ResponseFraming.CHUNKS) {
            List<ShapedEvent> events = response.events().get();
            return sums(
                    events.size() + 1,
                    index -> index == 0 ? headBytes : events.get(index - 1).bytes().length);
        }
        return sums(parts.size(), index -> parts.get(index).bytes().length);
    }

    private static IntStream sums(int count, IntUnaryOperator lengths) {
        int[] sums = IntStream.range(0, count).map(lengths).toArray();
        for (int index = 1; index < count; index++) {
            sums[index] += sums[index - 1];
        }
        return IntStream.of(sums);
    }
}
