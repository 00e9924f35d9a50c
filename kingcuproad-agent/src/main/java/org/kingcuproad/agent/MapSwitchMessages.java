package org.kingcuproad.agent;

import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.mapswitch.PeerQuery;
import org.kingcuproad.policy.mapswitch.PeerReply;
import org.kingcuproad.policy.mapswitch.PeerState;
import org.kingcuproad.policy.mapswitch.PrepareMap;
import org.kingcuproad.policy.mapswitch.SettleMap;
import org.kingcuproad.policy.mapswitch.SwitchId;
import org.kingcuproad.wire.proto.MapSwitchId;
import org.kingcuproad.wire.proto.PrepareMapRequest;
import org.kingcuproad.wire.proto.PromiseState;
import org.kingcuproad.wire.proto.QueryPromiseRequest;
import org.kingcuproad.wire.proto.QueryPromiseResponse;
import org.kingcuproad.wire.proto.RankStatus;
import org.kingcuproad.wire.proto.SettleMapRequest;

/** Converts map switch messages between their protobuf and policy types. */
final class MapSwitchMessages {

    private MapSwitchMessages() {}

    static PrepareMap prepare(PrepareMapRequest request) {
        SwitchId id = new SwitchId(request.getMapVersion(), request.getSwitchStep());
        return new PrepareMap(request.getFence(), id, request.getView(), request.getIncarnation());
    }

    static SettleMap settle(SettleMapRequest request) {
        SwitchId id = new SwitchId(request.getMapVersion(), request.getSwitchStep());
        return new SettleMap(id, request.getView(), request.getIncarnation(), request.getCommit());
    }

    static PeerQuery query(QueryPromiseRequest request) {
        SwitchId id =
                request.getMapVersion() == 0 ? null : new SwitchId(request.getMapVersion(), request.getSwitchStep());
        return new PeerQuery(request.getFrom(), request.getView(), request.getIncarnation(), request.getRound(), id);
    }

    static QueryPromiseRequest query(String group, PeerQuery query) {
        QueryPromiseRequest.Builder request = QueryPromiseRequest.newBuilder()
                .setGroup(group)
                .setFrom(query.from())
                .setView(query.view())
                .setIncarnation(query.incarnation())
                .setRound(query.round());
        SwitchId id = query.id();
        if (id != null) {
            request.setMapVersion(id.mapVersion()).setSwitchStep(id.step());
        }
        return request.build();
    }

    /** Converts a reply; returns null if this version does not know its state. */
    static @Nullable PeerReply reply(QueryPromiseResponse response) {
        PeerState state = switch (response.getState()) {
            case PROMISE_STATE_PROMISED -> new PeerState.Promised();
            case PROMISE_STATE_NOT_PROMISED -> new PeerState.NotPromised();
            case PROMISE_STATE_COMMITTED -> new PeerState.Committed();
            case PROMISE_STATE_ABORTED -> new PeerState.Aborted();
            case PROMISE_STATE_STATUS -> status(response.getStatus());
            case PROMISE_STATE_OTHER_INCARNATION -> new PeerState.OtherIncarnation(response.getIncarnation());
            case PROMISE_STATE_OTHER_VIEW -> new PeerState.OtherView();
            case PROMISE_STATE_UNSPECIFIED, UNRECOGNIZED -> null;
        };
        return state == null ? null : new PeerReply(response.getFrom(), response.getView(), response.getRound(), state);
    }

    static QueryPromiseResponse reply(PeerReply reply, long incarnation) {
        QueryPromiseResponse.Builder response = QueryPromiseResponse.newBuilder()
                .setIncarnation(incarnation)
                .setFrom(reply.from())
                .setView(reply.view())
                .setRound(reply.round())
                .setPromised(reply.state() instanceof PeerState.Promised)
                .setState(state(reply.state()));
        if (reply.state() instanceof PeerState.Status status) {
            response.setStatus(status(status));
        }
        return response.build();
    }

    private static PromiseState state(PeerState state) {
        return switch (state) {
            case PeerState.Promised ignored -> PromiseState.PROMISE_STATE_PROMISED;
            case PeerState.NotPromised ignored -> PromiseState.PROMISE_STATE_NOT_PROMISED;
            case PeerState.Committed ignored -> PromiseState.PROMISE_STATE_COMMITTED;
            case PeerState.Aborted ignored -> PromiseState.PROMISE_STATE_ABORTED;
            case PeerState.Status ignored -> PromiseState.PROMISE_STATE_STATUS;
            case PeerState.OtherIncarnation ignored -> PromiseState.PROMISE_STATE_OTHER_INCARNATION;
            case PeerState.OtherView ignored -> PromiseState.PROMISE_STATE_OTHER_VIEW;
        };
    }

    private static PeerState.Status status(RankStatus status) {
        return new PeerState.Status(
                status.hasPending() ? id(status.getPending()) : null,
                status.hasCommitted() ? id(status.getCommitted()) : null,
                status.getBaseMap(),
                status.getClosedStep(),
                status.getHighestFence());
    }

    private static RankStatus status(PeerState.Status status) {
        RankStatus.Builder builder = RankStatus.newBuilder()
                .setBaseMap(status.baseMap())
                .setClosedStep(status.closedStep())
                .setHighestFence(status.highestFence());
        SwitchId pending = status.pending();
        if (pending != null) {
            builder.setPending(id(pending));
        }
        SwitchId committed = status.committed();
        if (committed != null) {
            builder.setCommitted(id(committed));
        }
        return builder.build();
    }

    private static SwitchId id(MapSwitchId id) {
        return new SwitchId(id.getMapVersion(), id.getSwitchStep());
    }

    private static MapSwitchId id(SwitchId id) {
        return MapSwitchId.newBuilder()
                .setMapVersion(id.mapVersion())
                .setSwitchStep(id.step())
                .build();
    }
}
