package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import maplerail.Router.Member;
import maplerail.Router.State;
import org.junit.jupiter.api.Test;

class CellSharesTest {
    private static final int DRAWS = 10_000;
    private static final int MAX_VISITS = 4; // of each engine for a choice

    private final SplittableRandom random = new SplittableRandom(1);

    /** Engines with the given numbers in cell 0, cell 1 and so on. */
    private static List<Member> engines(int... byCell) {
        List<Member> engines = new ArrayList<>();
        for (int cell = 0; cell < byCell.length; cell++) {
            for (int i = 0; i < byCell[cell]; i++)
                engines.add(new Member(engines.size() + 1, State.READY, 0, 0, cell, 1, 0));
        }
        return engines;
    }

    private double shareOfDraws(CellShares shares, int readerCell, int near) {
        return IntStream.range(0, DRAWS).filter(i -> shares.nearCell(readerCell, random) == near).count()
                / (double) DRAWS;
    }

    @Test
    void theReadersCellIsNearIfItHasItsShareOfWriters() {
        assertThat(shareOfDraws(new CellShares(engines(2, 2), engines(4, 4)), 0, 0)).isEqualTo(1);
        assertThat(shareOfDraws(new CellShares(engines(1, 3), engines(4, 4)), 0, 0)).isEqualTo(1);
    }

    @Test
    void aCellWithoutWritersIsNeverNear() {
        CellShares shares = new CellShares(engines(2, 2), engines(0, 4));
        assertThat(shareOfDraws(shares, 0, 1)).isEqualTo(1);
    }

    @Test
    void aCellWithFewWritersIsNearInProportionToItsWriters() {
        // Half the readers and a quarter of the writers: half of its writes should go to other cells.
        CellShares shares = new CellShares(engines(2, 2), engines(2, 6));
        assertThat(shareOfDraws(shares, 0, 0)).isBetween(0.47, 0.53);
    }

    /** Guards against a cost that grows with the square of the number of engines. */
    @Test
    void eachEngineIsLookedAtAFewTimesPerChoice() {
        int cells = 640;
        int[] twoReaders = IntStream.range(0, cells).map(cell -> 2 + cell % 2).toArray();
        int[] threeWriters = IntStream.range(0, cells).map(cell -> 3 - cell % 2).toArray();
        AtomicLong visits = new AtomicLong();
        List<Member> readers = counting(engines(twoReaders), visits);
        List<Member> writers = counting(engines(threeWriters), visits);
        int choices = 100;
        for (int i = 0; i < choices; i++) new CellShares(readers, writers).nearCell(1, random);
        assertThat(visits.get()).isLessThanOrEqualTo((long) choices * MAX_VISITS * (readers.size() + writers.size()));
    }

    /** A list that counts how often an element is looked at. */
    private static List<Member> counting(List<Member> engines, AtomicLong visits) {
        return new AbstractList<>() {
            @Override
            public Member get(int index) {
                visits.incrementAndGet();
                return engines.get(index);
            }

            @Override
            public int size() {
                return engines.size();
            }
        };
    }

    @Test
    void otherCellsAreNearInProportionToTheirSurplus() {
        // Surpluses of 0.1 and 0.3.
        CellShares shares = new CellShares(engines(4, 3, 3), engines(0, 4, 6));
        assertThat(shareOfDraws(shares, 0, 1)).isBetween(0.22, 0.28);
    }
}
