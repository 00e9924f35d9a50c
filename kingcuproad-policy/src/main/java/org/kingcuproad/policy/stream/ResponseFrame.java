package org.kingcuproad.policy.stream;

import java.util.List;
import org.kingcuproad.model.ErrorKind;

/** A frame of a response on its way from the agent to the entry. */
public sealed interface ResponseFrame {

    /**
     * Status and headers, which precede the first chunk.
     *
     * @param status HTTP status
     * @param headers header fields in order
     */
    record Head(int status, List<HeaderField> headers) implements ResponseFrame {

        /**
         * Copies the list, so that the value is immutable.
         *
         * @param status HTTP status
         * @param headers header fields in order
         */
        public Head {
            headers = List.copyOf(headers);
        }
    }

    /**
     * A part of the body.
     *
     * @param offset position of the first byte in the body
     * @param data the bytes
     */
    record Chunk(long offset, Bytes data) implements ResponseFrame {

        /**
         * Returns the position after the last byte.
         *
         * @return an offset in the body
         */
        public long endOffset() {
            return offset + data.length();
        }
    }

    /**
     * The end mark, without which a response is not whole.
     *
     * @param length length of the whole body in bytes
     */
    record End(long length) implements ResponseFrame {}

    /**
     * The response broke off at the agent.
     *
     * @param kind the kind, whose execution tells whether the request ran
     * @param detail what went wrong
     */
    record Failure(ErrorKind kind, String detail) implements ResponseFrame {}
}
