package org.kingcuproad.entry.request;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.model.Execution;
import org.kingcuproad.policy.stream.Bytes;
import org.kingcuproad.policy.stream.HeaderField;
import org.kingcuproad.policy.stream.ResponseFrame;
import org.kingcuproad.runtime.trace.Tracing;
import org.kingcuproad.wire.proto.Ack;
import org.kingcuproad.wire.proto.Cancel;
import org.kingcuproad.wire.proto.Chunk;
import org.kingcuproad.wire.proto.Dispatch;
import org.kingcuproad.wire.proto.ExecuteRequest;
import org.kingcuproad.wire.proto.FenceRequest;
import org.kingcuproad.wire.proto.Head;
import org.kingcuproad.wire.proto.Header;
import org.kingcuproad.wire.proto.Resume;
import org.kingcuproad.wire.proto.RouteKind;

/** Builds the messages about a request that an entry sends to an agent, and converts those that it receives. */
final class AgentMessages {

    // Hop-by-hop headers (RFC 9110, section 7.6.1), the caller's credential, and headers that the agent sets itself.
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "content-length",
            "upgrade",
            "te",
            "host",
            "expect",
            "authorization",
            Tracing.TRACEPARENT,
            ResponseSink.REQUEST_ID_HEADER);

    private AgentMessages() {}

    static ExecuteRequest dispatch(RequestContext context, Attempt attempt, int priority, long nowNs) {
        Dispatch.Builder dispatch = Dispatch.newBuilder()
                .setRequestId(context.requestId())
                .setAttempt(attempt.number)
                .setIncarnation(attempt.incarnation)
                .setDocumentRevision(context.revision())
                .setDeadlineMs(Math.max(1, TimeUnit.NANOSECONDS.toMillis(context.deadlineNs() - nowNs)))
                .setRouteKind(routeKind(context.target()))
                .setIdempotent(context.target().idempotent())
                .setIdempotencyKey(context.target().idempotent() ? "" : context.idempotencyKey())
                .setMethod(context.exchange().method())
                .setPath(context.exchange().target())
                .setBody(ByteString.copyFrom(context.exchange().body()))
                .setWorkspace(context.workspace())
                .setPriority(priority)
                .setTraceparent(Tracing.traceparent(attempt.span))
                .addAllHeaders(forwardedHeaders(context.exchange().headers()));
        return ExecuteRequest.newBuilder().setDispatch(dispatch).build();
    }

    static ExecuteRequest resume(RequestContext context, Attempt attempt) {
        Resume.Builder resume = Resume.newBuilder()
                .setRequestId(context.requestId())
                .setAttempt(attempt.number)
                .setIncarnation(attempt.incarnation)
                .setOffset(attempt.assembler.resumeOffset())
                .setHasHead(attempt.assembler.hasHead());
        return ExecuteRequest.newBuilder().setResume(resume).build();
    }

    static ExecuteRequest ack(long offset) {
        return ExecuteRequest.newBuilder()
                .setAck(Ack.newBuilder().setOffset(offset))
                .build();
    }

    static ExecuteRequest cancel(String reason) {
        return ExecuteRequest.newBuilder()
                .setCancel(Cancel.newBuilder().setReason(reason))
                .build();
    }

    static FenceRequest fence(RequestContext context, Attempt attempt) {
        return FenceRequest.newBuilder()
                .setRequestId(context.requestId())
                .setAttempt(attempt.number)
                .setIncarnation(attempt.incarnation)
                .build();
    }

    static ResponseFrame.Head head(Head head) {
        List<HeaderField> headers = head.getHeadersList().stream()
                .map(header -> new HeaderField(header.getName().toLowerCase(Locale.ROOT), header.getValue()))
                .toList();
        return new ResponseFrame.Head(head.getStatus(), headers);
    }

    static ResponseFrame.Chunk chunk(Chunk chunk) {
        return new ResponseFrame.Chunk(
                chunk.getOffset(), Bytes.wrap(chunk.getData().toByteArray()));
    }

    static Execution execution(org.kingcuproad.wire.proto.Execution execution) {
        return switch (execution) {
            case EXECUTION_NOT_RUN -> Execution.NOT_RUN;
            case EXECUTION_RAN -> Execution.RAN;
            case EXECUTION_UNKNOWN, EXECUTION_UNSPECIFIED, UNRECOGNIZED -> Execution.UNKNOWN;
        };
    }

    private static RouteKind routeKind(Target target) {
        return switch (target) {
            case Target.ModelTarget model -> RouteKind.ROUTE_KIND_MODEL;
            case Target.ServiceTarget service -> RouteKind.ROUTE_KIND_SERVICE;
        };
    }

    private static List<Header> forwardedHeaders(HttpHeaders headers) {
        return headers.entries().stream()
                .filter(AgentMessages::isForwarded)
                .map(header -> Header.newBuilder()
                        .setName(header.getKey())
                        .setValue(header.getValue())
                        .build())
                .toList();
    }

    private static boolean isForwarded(Map.Entry<String, String> header) {
        String name = header.getKey().toLowerCase(Locale.ROOT);
        return !NOT_FORWARDED.contains(name) && !name.startsWith("x-http2-");
    }
}
