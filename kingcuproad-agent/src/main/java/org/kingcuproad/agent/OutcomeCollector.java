package org.kingcuproad.agent;

import java.io.ByteArrayOutputStream;
import net.openhft.hashing.LongHashFunction;
import org.kingcuproad.policy.claim.Outcome;
import org.kingcuproad.policy.stream.Bytes;

/** Collects the response of a run as the outcome for later retries; a body over the size limit is dropped. */
final class OutcomeCollector {

    private static final LongHashFunction DIGEST = LongHashFunction.xx3();

    private final boolean keepBody;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private int status;
    private boolean fits = true;
    private boolean complete;

    OutcomeCollector(boolean keepBody) {
        this.keepBody = keepBody;
    }

    void status(int received) {
        status = received;
    }

    void append(byte[] data) {
        fits = keepBody && fits && body.size() + data.length <= Outcome.MAX_BODY_BYTES;
        if (fits) {
            body.writeBytes(data);
        } else {
            body.reset();
        }
    }

    void complete() {
        complete = true;
    }

    /** Returns the outcome; without a status it is unknown whether the request was executed. */
    Outcome outcome() {
        if (status == 0) {
            return Outcome.withoutResponse();
        }
        if (!complete || !keepBody || !fits) {
            return new Outcome(status, 0, false, Bytes.EMPTY);
        }
        byte[] bytes = body.toByteArray();
        return Outcome.of(status, DIGEST.hashBytes(bytes), Bytes.wrap(bytes));
    }
}
