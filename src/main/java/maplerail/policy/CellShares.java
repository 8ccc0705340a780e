package maplerail.policy;

import java.util.List;
import java.util.SplittableRandom;
import maplerail.Router.Member;

/** How readers and writers are spread over the cells, and which cell's writers count as near to a reader. */
public final class CellShares {
    private final List<Member> readers;
    private final List<Member> writers;

    /** Makes the shares of these readers and of these writers, of which there must be one. */
    public CellShares(List<Member> readers, List<Member> writers) {
        this.readers = readers;
        this.writers = writers;
    }

    /**
     * The cell that counts as near to a reader: its own, or where that has few writers so often another that all
     * writers get as much. Guards against nodes that never see them full; harms where cells read unequally.
     */
    public int nearCell(int own, SplittableRandom random) {
        if (random.nextDouble() * share(own, readers) >= -spare(own)) return own;
        // A race of exponential times: each cell wins as often as its spare share says.
        return Rendezvous.least(writers, w -> -Math.log(random.nextDouble()) * share(w.cell(), writers)
                / Math.max(0, spare(w.cell())), Member::engine, 0).cell();
    }

    /** By how much a cell's share of the writers is above its share of the readers. */
    private double spare(int cell) {
        return share(cell, writers) - share(cell, readers);
    }

    private static double share(int cell, List<Member> among) {
        return among.stream().filter(m -> m.cell() == cell).count() / Math.max(1.0, among.size());
    }
}
