package org.kingcuproad.agent;

import java.io.ByteArrayOutputStream;
import net.openhft.hashing.LongHashFunction;
import org.kingcuproad.policy.claim.Outcome;
import org.kingcuproad.policy.stream.Bytes;

/** Collects the answer of an order for later retries, as far as it is small enough to be kept. */
final class KeptAnswer {

    private static final LongHashFunction DIGEST = LongHashFunction.xx3();

    private final boolean wanted;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private int status;
    private boolean fits = true;
    private boolean complete;

    KeptAnswer(boolean wanted) {
        this.wanted = wanted;
    }

    void status(int received) {
        status = received;
    }

    void append(byte[] data) {
        fits = wanted && fits && body.size() + data.length <= Outcome.MAX_BODY_BYTES;
        if (fits) {
            body.writeBytes(data);
        } else {
            body.reset();
        }
    }

    void complete() {
        complete = true;
    }

    /** Returns the outcome; without a status it is not known whether the order ran. */
    Outcome outcome() {
        if (status == 0) {
            return Outcome.withoutResponse();
        }
        if (!complete || !wanted || !fits) {
            return new Outcome(status, 0, false, Bytes.EMPTY);
        }
        byte[] whole = body.toByteArray();
        return Outcome.of(status, DIGEST.hashBytes(whole), Bytes.wrap(whole));
    }
}
