package org.kingcuproad.gateway;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.kingcuproad.policy.gateway.HeadVerdict;
import org.kingcuproad.policy.gateway.JsonDocument;
import org.kingcuproad.policy.gateway.ResponseFraming;

/** Assembles the response to one call, whose body is a JSON document, from the parts that a connection decodes. */
final class ReplyAssembler {

    /**
     * Maximum size of a response. Objects are at most one megabyte and a listing about one; the rest is for names and
     * punctuation.
     */
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    /** Bytes of a chunk besides its content; a body of one-byte chunks is six times as long as its content. */
    private static final int MIN_FRAME_BYTES = 5;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private ResponseFraming framing = ResponseFraming.NO_BODY;
    private int status;
    private int informationalResponses;
    private int receivedBytes;
    private boolean skipping;
    private boolean keepAlive;
    private boolean complete;

    /**
     * Adds the next part.
     *
     * @param part the part; it is not released
     * @return why it can't belong to the response to the call, or empty if it may
     */
    Optional<String> add(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            return Optional.of("malformed response: " + part.decoderResult().cause());
        }
        if (complete) {
            return Optional.of("second response");
        }
        Optional<String> fault = part instanceof HttpResponse head ? addHead(head) : Optional.empty();
        return fault.isEmpty() && part instanceof HttpContent content ? addContent(content) : fault;
    }

    private Optional<String> addHead(HttpResponse head) {
        return switch (HeadVerdict.ofCall(ResponseHeads.withoutIds(head))) {
            case HeadVerdict.Answer answer -> {
                framing = answer.framing();
                status = head.status().code();
                keepAlive = HttpUtil.isKeepAlive(head) && framing != ResponseFraming.CONNECTION;
                yield Optional.empty();
            }
            case HeadVerdict.Informational informational -> {
                skipping = true;
                informationalResponses++;
                yield informationalResponses > HeadVerdict.Informational.MAX_RESPONSES
                        ? Optional.of("informational responses without end")
                        : Optional.empty();
            }
            case HeadVerdict.LateCopy copy -> Optional.of("response to another call");
            case HeadVerdict.Improper improper -> Optional.of(improper.reason());
        };
    }

    private Optional<String> addContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return Optional.empty();
        }
        receivedBytes += MIN_FRAME_BYTES + content.content().readableBytes();
        if (receivedBytes > MAX_RESPONSE_BYTES) {
            return Optional.of("response of more than " + MAX_RESPONSE_BYTES + " bytes");
        }
        body.writeBytes(ByteBufUtil.getBytes(content.content()));
        complete = last;
        return last && framing == ResponseFraming.CONNECTION && !JsonDocument.isWhole(body.toByteArray())
                ? Optional.of("the connection ended within the response")
                : Optional.empty();
    }

    /** Returns whether the response has been read to its end. */
    boolean complete() {
        return complete;
    }

    /** Returns whether the server will respond to another call on the connection. */
    boolean keepAlive() {
        return keepAlive;
    }

    /** Returns the response, once it is complete. */
    HttpReply.Response response() {
        return new HttpReply.Response(status, body.toByteArray());
    }
}
