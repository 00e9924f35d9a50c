package org.kingcuproad.agent;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;

/** Collects a small response wholly. */
final class WholeAnswer implements UpstreamListener {

    /** Status of a request that got no whole response. */
    static final int NO_ANSWER = 0;

    private final Receiver receiver;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;

    WholeAnswer(Receiver receiver) {
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
        receiver.receive(NO_ANSWER, new byte[0]);
    }

    /** Takes the response. */
    @FunctionalInterface
    interface Receiver {

        /**
         * Takes the response.
         *
         * @param status HTTP status, or {@link #NO_ANSWER}
         * @param body the body, empty without a response
         */
        void receive(int status, byte[] body);
    }
}
