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

/** Reads what the engine on the same VM counts of its experts, and which of them it holds. One call at a time. */
final class EngineCounters {

    /** The engine on the same VM answers in milliseconds, but a busy processor may take a tenth of a second. */
    private static final long CALL_TIMEOUT_MS = 300;

    private static final byte[] NO_BODY = new byte[0];

    private final EngineDialect dialect;
    private final ReplyReader replies;
    private final SerialHttpConnection connection;
    private ChoiceSampler sampler = new ChoiceSampler();
    private @Nullable RankExperts held;
    private boolean calling;

    EngineCounters(EngineDialect dialect, ReplyReader replies, EventLoop eventLoop, InetSocketAddress engine) {
        this.dialect = dialect;
        this.replies = replies;
        this.connection = new SerialHttpConnection(eventLoop, engine);
    }

    /** Forgets everything, since the group has formed anew. */
    void forget() {
        sampler = new ChoiceSampler();
        held = null;
    }

    /** Returns the experts that the engine holds in a state, if they have been read. */
    Optional<RankExperts> held(RankState state) {
        return Optional.ofNullable(held).filter(experts -> experts.matches(state.epoch(), state.mapVersion()));
    }

    /** Reads the experts that the engine holds, unless a call is in progress. */
    void readHeld(long epoch, Runnable onRead) {
        if (calling) {
            return;
        }
        calling = true;
        connection.call(HttpMethod.GET, dialect.expertsTarget(), NO_BODY, CALL_TIMEOUT_MS, reply -> {
            calling = false;
            replies.read(reply, "experts", dialect::readExperts).ifPresent(told -> {
                Arrays.stream(told.bySet()).forEach(Arrays::sort);
                held = new RankExperts(epoch, told.mapVersion(), told.bySet());
                onRead.run();
            });
        });
    }

    /**
     * Samples what was chosen since the last call, unless a call is in progress.
     *
     * @param onSample receives the sample; not called for the first counters
     * @return whether the counters are being read
     */
    boolean sample(Consumer<ChoiceSample> onSample) {
        if (calling) {
            return false;
        }
        calling = true;
        connection.call(HttpMethod.GET, dialect.countersTarget(), NO_BODY, CALL_TIMEOUT_MS, reply -> {
            calling = false;
            replies.read(reply, "counters", dialect::readCounters)
                    .flatMap(sampler::sample)
                    .ifPresent(onSample);
        });
        return true;
    }

    void close() {
        connection.close();
    }
}
