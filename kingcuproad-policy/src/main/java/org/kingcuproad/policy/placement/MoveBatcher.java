package org.kingcuproad.policy.placement;

import java.util.ArrayList;
import java.util.List;
import org.kingcuproad.model.PlacementSettings;

/** Divides plans into batches of moves, each of which leaves every expert with at least one replica. */
final class MoveBatcher {

    private static final int MS_PER_SECOND = 1000;

    private final PlacementSettings settings;
    private final int maxMovesPerBatch;

    MoveBatcher(PlacementSettings settings, PlacementTuning tuning) {
        this.settings = settings;
        long bytes = settings.weightStoreBytesPerSecond() * tuning.batchSeconds();
        this.maxMovesPerBatch = (int) Math.max(1, Math.min(Integer.MAX_VALUE, bytes / settings.expertBytes()));
    }

    /**
     * Selects the moves of the next batch. Whole layers are preferred; a layer is split only if it is too large for a
     * batch of its own.
     *
     * @param map the map in force
     * @param targets the layers that remain to be changed, the most valuable first; not empty
     * @param nowMs current time, in milliseconds
     * @return the batch
     */
    MoveBatch nextBatch(ExpertMap map, List<LayerTarget> targets, long nowMs) {
        List<SlotMove> moves = new ArrayList<>();
        for (LayerTarget target : targets) {
            List<SlotMove> layerMoves = map.movesTo(target.layer(), target.slots());
            if (moves.size() + layerMoves.size() <= maxMovesPerBatch) {
                moves.addAll(layerMoves);
            } else if (moves.isEmpty()) {
                moves.addAll(selectMoves(map, target.layer(), layerMoves));
            }
        }
        long bytes = moves.size() * settings.expertBytes();
        long loadMs = Math.ceilDiv(bytes * MS_PER_SECOND, settings.weightStoreBytesPerSecond());
        return new MoveBatch(map.withMoves(moves), moves, bytes, nowMs, nowMs + loadMs);
    }

    /**
     * Selects moves that leave every expert at least one replica. Moves that depend on each other in a cycle, such as a
     * swap of two experts with one replica each, cannot be made one at a time; all moves of the layer then form one
     * batch, whose loading takes longer than the limit.
     */
    private List<SlotMove> selectMoves(ExpertMap map, int layer, List<SlotMove> candidates) {
        int[] slots = map.layer(layer);
        int[] replicas = map.replicas(layer);
        List<SlotMove> selected = new ArrayList<>();
        boolean progress = true;
        while (progress && selected.size() < maxMovesPerBatch) {
            progress = false;
            for (SlotMove move : candidates) {
                int replacedExpert = slots[move.slot()];
                if (selected.size() < maxMovesPerBatch
                        && replacedExpert != move.expert()
                        && replicas[replacedExpert] > 1) {
                    replicas[replacedExpert]--;
                    replicas[move.expert()]++;
                    slots[move.slot()] = move.expert();
                    selected.add(move);
                    progress = true;
                }
            }
        }
        return selected.isEmpty() ? candidates : selected;
    }
}
