package org.kingcuproad.gateway;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** Draws that follow from a seed alone. */
final class ShapedDraws {

    /** Largest body of a request, which is the limit of the gateway, and of a response. */
    static final int MAX_BODY_BYTES = 1 << 20;

    /** Largest response that the gateway keeps until it is complete. */
    private static final int BUFFERED_BYTES = 256 << 10;

    private static final int SMALL_BYTES = 100;
    private static final int MEDIUM_BYTES = 8_192;
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private ShapedDraws() {}

    /** Creates a source of draws for a sequence of numbers, such as seed, request and run. */
    static RandomGenerator random(long... numbers) {
        long state = 0;
        for (long number : numbers) {
            state = (state + number + 1) * MULTIPLIER;
            state ^= state >>> 29;
        }
        return new SplittableRandom(state);
    }

    static boolean chance(RandomGenerator random, double probability) {
        return random.nextDouble() < probability;
    }

    /** Draws the size of a body in bytes, from none to the maximum, with some at the limit of what is buffered. */
    static int bodyBytes(RandomGenerator random, double largeShare) {
        if (chance(random, largeShare)) {
            return chance(random, 0.1) ? MAX_BODY_BYTES : random.nextInt(BUFFERED_BYTES, MAX_BODY_BYTES);
        }
        return switch (random.nextInt(10)) {
            case 0 -> 0;
            case 1, 2, 3, 4 -> random.nextInt(1, SMALL_BYTES);
            case 5, 6, 7 -> random.nextInt(SMALL_BYTES, MEDIUM_BYTES);
            case 8 -> random.nextInt(MEDIUM_BYTES, BUFFERED_BYTES);
            default -> BUFFERED_BYTES + random.nextInt(-2, 3);
        };
    }

    /** Draws the size of chunks in bytes, down to one byte where the body is small. */
    static int chunkBytes(RandomGenerator random, int bodyBytes) {
        int most = Math.max(1, bodyBytes);
        int least = Math.max(1, most / MEDIUM_BYTES);
        return least == most ? most : random.nextInt(least, most + 1) >> random.nextInt(4) | least;
    }

    /** Creates a JSON document of a given size in bytes that names its writer everywhere, if it isn't too small. */
    static byte[] document(String writer, int bytes) {
        String begin = "{\"" + writer + "\":[\"}\\\"\",\"";
        String end = "\"]}";
        int textBytes = bytes - begin.length() - end.length();
        return textBytes < 0
                ? pattern(writer, bytes)
                : (begin + new String(pattern(writer, textBytes), StandardCharsets.UTF_8) + end)
                        .getBytes(StandardCharsets.UTF_8);
    }

    /** Creates text of a given size in bytes that names its writer everywhere. */
    static byte[] pattern(String writer, int bytes) {
        byte[] unit = (writer + ";").getBytes(StandardCharsets.UTF_8);
        byte[] pattern = new byte[bytes];
        for (int index = 0; index < bytes; index++) {
            pattern[index] = unit[index % unit.length];
        }
        return pattern;
    }
}
