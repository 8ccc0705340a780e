package maplerail.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import maplerail.Router.Member;

/** The distribution of readers and writers over the cells, which decides whose writers count as near to a reader. */
public final class CellShares {
    private final List<Member> writers;
    private final Map<Integer, Double> readerShares;
    private final Map<Integer, Double> writerShares;

    /** Creates the shares for these readers and writers; there must be at least one writer. */
    public CellShares(List<Member> readers, List<Member> writers) {
        this.writers = writers;
        this.readerShares = shares(readers);
        this.writerShares = shares(writers);
    }

    /**
     * The cell that counts as near to a reader: the reader's own cell, or, where that has few writers, sometimes another
     * one drawn at random, so that all writers get the same load. Guards against nodes that never see the writers full;
     * harms where the cells' readers have unequal loads.
     */
    public int nearCell(int readerCell, SplittableRandom random) {
        if (random.nextDouble() * share(readerCell, readerShares) >= -surplus(readerCell)) return readerCell;
        // The minimum of exponential variates: each cell is drawn with a probability proportional to its surplus.
        return Rendezvous.min(writers, w -> -Math.log(random.nextDouble()) * share(w.cell(), writerShares)
                / Math.max(0, surplus(w.cell())), Member::engine, 0).cell();
    }

    /** How far a cell's share of the writers exceeds its share of the readers. */
    private double surplus(int cell) {
        return share(cell, writerShares) - share(cell, readerShares);
    }

    private static double share(int cell, Map<Integer, Double> shares) {
        return shares.getOrDefault(cell, 0.0);
    }

    /** Returns the part of the engines that is in each cell. */
    private static Map<Integer, Double> shares(List<Member> engines) {
        Map<Integer, Double> shares = new LinkedHashMap<>();
        for (Member engine : engines) shares.merge(engine.cell(), 1.0, Double::sum);
        shares.replaceAll((cell, count) -> count / engines.size());
        return shares;
    }
}
