package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DeficitCountersTest {
    private static final int CLIENT = 1;
    private static final int OTHER = 2;
    private static final double QUANTUM = 40_000;

    private final DeficitCounters counters = new DeficitCounters();
    private final DeficitCounters.ReaderCounters reader = counters.newReader();

    @Test
    void growsByAQuantumWhenNothingIsLeft() {
        assertThat(reader.credit(CLIENT)).isZero();
        counters.growIfSpent(CLIENT, 0);
        assertThat(reader.credit(CLIENT)).isEqualTo(QUANTUM);
        assertThat(reader.credit(OTHER)).isZero();
    }

    @Test
    void doesNotGrowWhileCreditIsLeft() {
        counters.growIfSpent(CLIENT, 1);
        assertThat(reader.credit(CLIENT)).isZero();
    }

    @Test
    void growsByAsManyQuantaAsMakeTheCreditPositive() {
        reader.charge(CLIENT, 2.5 * QUANTUM);
        counters.growIfSpent(CLIENT, reader.credit(CLIENT));
        assertThat(reader.credit(CLIENT)).isEqualTo(0.5 * QUANTUM);
    }

    @Test
    void chargesOnlyTheClientAndTheReaderThatAreNamed() {
        counters.growIfSpent(CLIENT, 0);
        counters.growIfSpent(OTHER, 0);
        DeficitCounters.ReaderCounters second = counters.newReader();
        reader.charge(CLIENT, 100);
        assertThat(reader.credit(CLIENT)).isEqualTo(QUANTUM - 100);
        assertThat(reader.credit(OTHER)).isEqualTo(QUANTUM);
        assertThat(second.credit(CLIENT)).isEqualTo(QUANTUM);
    }

    @Test
    void givesANewcomerAQuantumHoweverMuchWasGrantedBefore() {
        reader.charge(CLIENT, 10 * QUANTUM);
        counters.growIfSpent(CLIENT, reader.credit(CLIENT));
        assertThat(counters.newReader().credit(CLIENT)).isEqualTo(QUANTUM);
    }
}
