package org.kingcuproad.gateway;

import io.netty.channel.ChannelFuture;
import io.netty.util.internal.PlatformDependent;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.gateway.MemoryAccount;
import org.kingcuproad.runtime.log.DecisionLog;

/** Memory that the gateway holds for requests and responses. All methods are called on the event loop. */
final class HeldMemory {

    /** Size of the blocks in which large bodies lie. */
    static final int BLOCK_BYTES = 64 << 10;

    private final MemoryAccount account;
    private final ProcessMetrics metrics;
    private final DecisionLog log;
    private final Deque<ByteBuffer> idleBlocks = new ArrayDeque<>();
    private final Deque<ClientConnection> awaitingClients = new ArrayDeque<>();

    HeldMemory(MemoryAccount account, ProcessMetrics metrics, DecisionLog log) {
        this.account = account;
        this.metrics = metrics;
        this.log = log;
    }

    /** Creates an instance whose limit follows from the memory of the process. */
    static HeldMemory ofProcess(ProcessMetrics metrics, DecisionLog log) {
        MemoryAccount account = MemoryAccount.ofProcess(
                PlatformDependent.estimateMaxDirectMemory(),
                Runtime.getRuntime().maxMemory());
        return new HeldMemory(account, metrics, log);
    }

    MemoryAccount account() {
        return account;
    }

    /** Returns whether a client waits until there is memory for its request body. */
    boolean bodiesWait() {
        return !awaitingClients.isEmpty();
    }

    /** Adds a client that waits until there is memory for its request body. */
    void await(ClientConnection client) {
        awaitingClients.addLast(client);
    }

    /** Decides again about bodies that wait, in the order in which their requests arrived. */
    void admitBodies(long nowMs) {
        while (!awaitingClients.isEmpty() && !awaitingClients.getFirst().stillAwaitsMemory(nowMs)) {
            awaitingClients.removeFirst();
        }
    }

    /** Records that a request was refused because there is no memory for its body. */
    void onBodyRefused(long bodyBytes) {
        metrics.count("refused_" + ErrorKind.OVERLOADED.label());
        log.event("request body refused")
                .field("bodyBytes", bodyBytes)
                .field("heldBytes", account.heldBytes())
                .field("limitBytes", account.limitBytes())
                .write();
    }

    /** Takes a block of direct memory, which must have been reserved. */
    ByteBuffer takeBlock() {
        ByteBuffer idle = idleBlocks.pollLast();
        return idle == null ? ByteBuffer.allocateDirect(BLOCK_BYTES) : idle;
    }

    void giveBack(ByteBuffer block) {
        idleBlocks.addLast(block);
    }

    /** Counts bytes until they have been written. */
    void holdUntilWritten(int bytes, ChannelFuture written) {
        if (!written.isDone()) {
            account.add(bytes);
            written.addListener(done -> account.remove(bytes));
        }
    }
}
