package maplerail.policy;

import java.util.List;
import java.util.SplittableRandom;
import maplerail.Router.Member;

/** The distribution of readers and writers over the cells, which decides whose writers count as near to a reader. */
public final class CellShares {
    private final List<Member> readers;
    private final List<Member> writers;

    /** Creates the shares for these readers and writers; there must be at least one writer. */
    public CellShares(List<Member> readers, List<Member> writers) {
        this.readers = readers;
        this.writers = writers;
    }

    /**
     * The cell that counts as near to a reader: the reader's own cell, or, where that has few writers, sometimes another
     * one drawn at random, so that all writers get the same load. Guards against nodes that never see the writers full;
     * harms where the cells' readers have unequal loads.
     */
    public int nearCell(int readerCell, SplittableRandom random) {
        if (random.nextDouble() * share(readerCell, readers) >= -surplus(readerCell)) return readerCell;
        // The minimum of exponential variates: each cell is drawn with a probability proportional to its surplus.
        return Rendezvous.min(writers, w -> -Math.log(random.nextDouble()) * share(w.cell(), writers)
                / Math.max(0, surplus(w.cell())), Member::engine, 0).cell();
    }

    /** How far a cell's share of the writers exceeds its share of the readers. */
    private double surplus(int cell) {
        return share(cell, writers) - share(cell, readers);
    }

    private static double share(int cell, List<Member> engines) {
        return engines.stream().filter(m -> m.cell() == cell).count() / Math.max(1.0, engines.size());
    }
}
