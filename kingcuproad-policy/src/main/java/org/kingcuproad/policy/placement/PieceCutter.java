package org.kingcuproad.policy.placement;

import java.util.ArrayList;
import java.util.List;
import org.kingcuproad.model.PlacementSettings;

/** Cuts plans into pieces, each of which leaves every expert with a replica. */
final class PieceCutter {

    private static final int MS_PER_SECOND = 1000;

    private final PlacementSettings settings;
    private final int mostMoves;

    PieceCutter(PlacementSettings settings, PlacementTuning tuning) {
        this.settings = settings;
        long bytes = settings.weightStoreBytesPerSecond() * tuning.pieceSeconds();
        this.mostMoves = (int) Math.max(1, Math.min(Integer.MAX_VALUE, bytes / settings.expertBytes()));
    }

    /**
     * Cuts the next piece.
     *
     * @param map the map in force
     * @param targets the layers left to change, the most valuable first; not empty
     * @param nowMs current time, in milliseconds
     * @return the piece
     */
    MapPiece next(ExpertMap map, List<LayerTarget> targets, long nowMs) {
        List<SlotMove> moves = new ArrayList<>();
        for (LayerTarget target : targets) {
            List<SlotMove> layer = map.movesTo(target.layer(), target.slots());
            if (moves.size() + layer.size() <= mostMoves) {
                moves.addAll(layer);
            } else if (moves.isEmpty()) {
                moves.addAll(part(map, target.layer(), layer));
            }
        }
        long bytes = moves.size() * settings.expertBytes();
        long loadMs = Math.ceilDiv(bytes * MS_PER_SECOND, settings.weightStoreBytesPerSecond());
        return new MapPiece(map.withMoves(moves), moves, bytes, nowMs, nowMs + loadMs);
    }

    /**
     * Takes moves that leave every expert a replica. Moves that depend on each other in a cycle, such as an exchange of
     * two single replicas, cannot be taken one by one; they go out together and the piece lasts longer.
     */
    private List<SlotMove> part(ExpertMap map, int layer, List<SlotMove> all) {
        int[] slots = map.layer(layer);
        int[] replicas = map.replicas(layer);
        List<SlotMove> part = new ArrayList<>();
        boolean progress = true;
        while (progress && part.size() < mostMoves) {
            progress = false;
            for (SlotMove move : all) {
                int old = slots[move.slot()];
                if (part.size() < mostMoves && old != move.expert() && replicas[old] > 1) {
                    replicas[old]--;
                    replicas[move.expert()]++;
                    slots[move.slot()] = move.expert();
                    part.add(move);
                    progress = true;
                }
            }
        }
        return part.isEmpty() ? all : part;
    }
}
