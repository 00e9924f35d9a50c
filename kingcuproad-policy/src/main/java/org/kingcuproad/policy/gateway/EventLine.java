package org.kingcuproad.policy.gateway;

import java.util.Arrays;

/**
 * Tells lines of an event stream from bytes of something else, such as the head of a second response that follows a
 * stream without framing.
 */
final class EventLine {

    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private EventLine() {}

    /**
     * Returns whether a line can be one of an event: a comment, or a field whose name has only lower-case letters,
     * digits, hyphens, underscores and dots. The line may consist of the name alone.
     *
     * @param bytes bytes that contain the line
     * @param begin index of its first byte
     * @param end index after its last byte, without the line end
     * @return {@code false} for status lines, for header lines with upper-case letters, and for other text
     */
    static boolean isValid(byte[] bytes, int begin, int end) {
        int nameBegin = hasByteOrderMark(bytes, begin, end) ? begin + BYTE_ORDER_MARK.length : begin;
        for (int i = nameBegin; i < end; i++) {
            if (bytes[i] == ':') {
                return true;
            }
            if (!isNameCharacter(bytes[i])) {
                return false;
            }
        }
        return true;
    }

    private static boolean hasByteOrderMark(byte[] bytes, int begin, int end) {
        return end - begin >= BYTE_ORDER_MARK.length
                && Arrays.equals(
                        bytes, begin, begin + BYTE_ORDER_MARK.length, BYTE_ORDER_MARK, 0, BYTE_ORDER_MARK.length);
    }

    private static boolean isNameCharacter(byte next) {
        return (next >= 'a' && next <= 'z')
                || (next >= '0' && next <= '9')
                || next == '-'
                || next == '_'
                || next == '.';
    }
}
