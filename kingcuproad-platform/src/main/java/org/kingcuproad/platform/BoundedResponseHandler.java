package org.kingcuproad.platform;

import java.io.IOException;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.HttpResponseBodyPart;

/** Collects a response up to a maximum size; a larger one fails. */
final class BoundedResponseHandler extends AsyncCompletionHandlerBase {

    private final long maxBodyBytes;
    private long receivedBytes;

    BoundedResponseHandler(long maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
        receivedBytes += part.length();
        if (receivedBytes > maxBodyBytes) {
            throw new IOException("the response body exceeds " + maxBodyBytes + " bytes");
        }
        return super.onBodyPartReceived(part);
    }
}
