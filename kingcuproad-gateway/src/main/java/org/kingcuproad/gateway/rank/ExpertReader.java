package org.kingcuproad.gateway.rank;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.SerialHttpConnection;
import org.kingcuproad.policy.lockstep.ChoiceSample;
import org.kingcuproad.policy.lockstep.ChoiceSampler;
import org.kingcuproad.policy.lockstep.RankState;

/**
 * Reads the choice counters of the experts and the list of held experts from the engine on the same VM, one call at a
 * time.
 */
final class ExpertReader {

    /** The engine on the same VM responds within milliseconds, or a tenth of a second if the processor is busy. */
    private static final long CALL_TIMEOUT_MS = 300;

    private static final byte[] NO_BODY = new byte[0];

    private final EngineDialect dialect;
    private final ReplyReader replyReader;
    private final SerialHttpConnection connection;
    private ChoiceSampler sampler = new ChoiceSampler();
    private @Nullable RankExperts heldExperts;
    private boolean callInProgress;

    ExpertReader(EngineDialect dialect, ReplyReader replyReader, EventLoop eventLoop, InetSocketAddress engine) {
        this.dialect = dialect;
        this.replyReader = replyReader;
        this.connection = new SerialHttpConnection(eventLoop, engine);
    }

    /** Discards all data, since a newly formed group has other counters and experts. */
    void reset() {
        sampler = new ChoiceSampler();
        heldExperts = null;
    }

    /** Returns the experts that the engine holds in a state, if they have been read for its epoch and map version. */
    Optional<RankExperts> heldExperts(RankState state) {
        return Optional.ofNullable(heldExperts).filter(experts -> experts.matches(state.epoch(), state.mapVersion()));
    }

    /** Reads the experts that the engine holds, unless a call is in progress. */
    void readHeldExperts(long epoch, Runnable onRead) {
        if (callInProgress) {
            return;
        }
        callInProgress = true;
        // The list doesn't say which epoch it belongs to.
        connection.callOnNewConnection(HttpMethod.GET, dialect.expertsTarget(), NO_BODY, CALL_TIMEOUT_MS, reply -> {
            callInProgress = false;
            replyReader.read(reply, "experts", dialect::readExperts).ifPresent(reported -> {
                Arrays.stream(reported.bySet()).forEach(Arrays::sort);
                heldExperts = new RankExperts(epoch, reported.mapVersion(), reported.bySet());
                onRead.run();
            });
        });
    }

    /**
     * Samples the choices since the last sample, unless a call is in progress.
     *
     * @param onSample receives the sample; not called for the first counters, nor if the call fails
     * @return whether the counters are being read
     */
    boolean sample(Consumer<ChoiceSample> onSample) {
        if (callInProgress) {
            return false;
        }
        callInProgress = true;
        connection.call(HttpMethod.GET, dialect.countersTarget(), NO_BODY, CALL_TIMEOUT_MS, reply -> {
            callInProgress = false;
            replyReader
                    .read(reply, "counters", dialect::readCounters)
                    .flatMap(sampler::sample)
                    .ifPresent(onSample);
        });
        return true;
    }

    void close() {
        connection.close();
    }
}
