package org.kingcuproad.gateway;

/** Result of a call. */
public sealed interface HttpReply {

    /**
     * A complete answer.
     *
     * @param status HTTP status
     * @param body body of the answer; must not be changed
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answer(int status, byte[] body) implements HttpReply {

        private static final int STATUS_OK = 200;

        /**
         * Tells whether the call succeeded and the body is what was asked for.
         *
         * @return {@code true} for status 200
         */
        public boolean ok() {
            return status == STATUS_OK;
        }
    }

    /**
     * No complete answer; the call may have been carried out.
     *
     * @param reason what happened
     */
    record Lost(String reason) implements HttpReply {}
}
