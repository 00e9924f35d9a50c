package org.kingcuproad.policy.stream;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/** An immutable sequence of bytes that can be sliced without copying. */
public final class Bytes {

    /** The empty sequence. */
    public static final Bytes EMPTY = new Bytes(new byte[0], 0, 0);

    private final byte[] array;
    private final int start;
    private final int length;

    private Bytes(byte[] array, int start, int length) {
        this.array = array;
        this.start = start;
        this.length = length;
    }

    /**
     * Wraps an array without copying it.
     *
     * @param array the bytes, which the caller must not modify afterwards
     * @return the bytes
     */
    public static Bytes wrap(byte[] array) {
        return new Bytes(array, 0, array.length);
    }

    /**
     * Returns the number of bytes.
     *
     * @return the length in bytes
     */
    public int length() {
        return length;
    }

    /**
     * Returns a slice that shares the underlying array.
     *
     * @param from start index, inclusive
     * @param to end index, exclusive
     * @return the slice
     */
    public Bytes slice(int from, int to) {
        if (from < 0 || to < from || to > length) {
            throw new IndexOutOfBoundsException(from + ".." + to + " out of bounds for length " + length);
        }
        return new Bytes(array, start + from, to - from);
    }

    /**
     * Copies the bytes to a new array.
     *
     * @return the copy, which the caller may modify
     */
    public byte[] toArray() {
        return Arrays.copyOfRange(array, start, start + length);
    }

    /**
     * Returns a view of the bytes, for writing them to a socket or message without copying.
     *
     * @return a read-only buffer
     */
    public ByteBuffer asByteBuffer() {
        return ByteBuffer.wrap(array, start, length).slice().asReadOnlyBuffer();
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof Bytes bytes
                && Arrays.equals(array, start, start + length, bytes.array, bytes.start, bytes.start + bytes.length);
    }

    @Override
    public int hashCode() {
        return asByteBuffer().hashCode();
    }

    @Override
    public String toString() {
        return length + " bytes";
    }
}
