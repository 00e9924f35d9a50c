package org.kingcuproad.agent;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;

/** Aggregates a small response in memory. */
final class ResponseAggregator implements UpstreamListener {

    /** Status reported when no complete response was received. */
    static final int NO_RESPONSE = 0;

    private final Receiver receiver;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;

    ResponseAggregator(Receiver receiver) {
        this.receiver = receiver;
    }

    @Override
    public void onSend() {}

    @Override
    public void onHead(int received, List<Map.Entry<String, String>> headers) {
        status = received;
    }

    @Override
    public void onBody(byte[] data) {
        body.writeBytes(data);
    }

    @Override
    public void onComplete() {
        receiver.receive(status, body.toByteArray());
    }

    @Override
    public void onFailure(Throwable failure) {
        receiver.receive(NO_RESPONSE, new byte[0]);
    }

    /** Callback for the aggregated response. */
    @FunctionalInterface
    interface Receiver {

        /**
         * Handles the response.
         *
         * @param status HTTP status, or {@link #NO_RESPONSE}
         * @param body response body, empty if there is no response
         */
        void receive(int status, byte[] body);
    }
}
